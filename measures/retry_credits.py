"""Measures which limit stops retries while all servers shed at random.

The retry budgets of all instances run on a simulated clock, without a network.
Each server sheds the same share of its arrivals, whatever its load. Loans of
credits take no time, so that what they lose is not due to delays. Runs are
deterministic.
"""

import argparse
import collections
from pathlib import Path
import sys

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'libs/citronshelf_instance/tests'))

import budget_model  # noqa: E402

# The service with the most requests of a deployment without accounts.
INSTANCES = 128
RATE_PER_S = 243.0
SLACK = 212.0
SHED_SHARE = 0.55
MAX_SERVERS = 2
CALM_S = 20.0
SETTINGS = {
    'credits expire': budget_model.SETTINGS,
    'credits are kept': budget_model.KEEPING,
}


class Episode:
    """Requests to one service whose servers shed a share of the arrivals.

    Attributes
    ----------
    counts : Counter
        Requests, those refused in the end, retries, and the denied retries by
        the limit that stopped them.
    """

    def __init__(self, *, settings, attempts: int, seed: int):
        self.fleet = budget_model.FleetModel(
            INSTANCES, seed=seed, slack=SLACK, settings=settings
        )
        self.attempts = attempts
        self.counts = collections.Counter()

    def run(self, seconds: float, share: float) -> collections.Counter:
        """Send requests for some time; return the counts of this time."""
        self.counts = collections.Counter()
        fleet = self.fleet
        for _ in range(round(RATE_PER_S * seconds)):
            fleet.clock.advance(1 / RATE_PER_S)
            self.send(fleet.rng.randrange(INSTANCES), share)
        return self.counts

    def send(self, instance: int, share: float) -> None:
        """Send one request and its retries."""
        rng = self.fleet.rng
        self.counts['requests'] += 1
        self.fleet.request(instance, refused=False)
        for _ in range(self.attempts - 1):
            if rng.random() >= share:
                return
            if not self.fleet.repeat(instance):
                self.counts['refused'] += 1
                self.counts[self.denying_limit()] += 1
                return
            self.counts['retries'] += 1
        if rng.random() < share:
            self.counts['refused'] += 1
            self.counts['attempts'] += 1

    def denying_limit(self) -> str:
        """Return why a retry found no credit."""
        budgets = self.fleet.budgets
        if any(budget.count_credits() for budget in budgets):
            return 'loans'
        return 'no credit left'


def report(name: str, attempts: int, seconds: float, share: float) -> str:
    """Return a row of the table: one episode after a calm time."""
    totals = collections.Counter()
    excess = []
    for seed in range(1, 4):
        episode = Episode(
            settings=SETTINGS[name], attempts=attempts, seed=seed
        )
        episode.run(CALM_S, 0.0)
        totals += episode.run(seconds, share)
        excess.append(episode.fleet.largest_excess())
    requests = totals['requests']
    columns = ['refused', 'retries', 'no credit left', 'loans', 'attempts']
    cells = [f'{totals[column] / requests:.3f}' for column in columns]
    return ' | '.join(
        [name, str(attempts), f'{share}', f'{seconds:.0f}', *cells]
        + [f'{max(excess):.0f}']
    )


def main() -> None:
    """Print a table for several lengths of the episode."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--share', type=float, default=SHED_SHARE)
    options = parser.parse_args()
    print(
        'budget | attempts | shed | seconds | refused | retries |'
        ' no credit left | loans | attempts | excess over the bound'
    )
    for share in (0.1, 0.2, options.share):
        for seconds in (5.0, 12.0, 30.0):
            for name in SETTINGS:
                for attempts in (MAX_SERVERS, 4):
                    print(report(name, attempts, seconds, share))


if __name__ == '__main__':
    main()

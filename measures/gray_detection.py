"""How soon a gray server is avoided, and how often a sound one is suspected.

One of the simulated servers of ``gray_placement`` becomes gray; the figures
are for instances that pool what they see and for those that do not.
"""

import argparse
import itertools
import logging
import statistics
from typing import NamedTuple

import gray_placement

from citronshelf_instance import registrations

GRAY_FROM_S = 20.0
GRAY_FOR_S = 10.0
RATE = 60.0
# The server is avoided from the first moment after which it gets less than a
# tenth of an even share for this long.
WINDOW_S = 1.0
AVOIDED_SHARE = 0.1
SAMPLE_S = 0.1


class Kind(NamedTuple):
    """How a server is gray.

    Attributes
    ----------
    name : str
    error_share : float
        Share of its requests that fail at once.
    work_factor : float
        How much longer it works than a sound one.
    """

    name: str
    error_share: float
    work_factor: float


SOUND = Kind('sound', 0.0, 1.0)
KINDS = (
    Kind('errors 0.9', 0.9, 1.0),
    Kind('errors 0.45', 0.45, 1.0),
    Kind('slow x5', 0.0, 5.0),
    SOUND,
)


class Watch:
    """Notes how often a sound server is suspected by an instance."""

    def __init__(self, region: gray_placement.Region):
        self.region = region
        self.samples = self.suspected = 0
        self.sample()

    def sample(self) -> None:
        """Look at every belief about every sound server."""
        region = self.region
        region.simulation.after(SAMPLE_S, self.sample)
        for instance in region.instances:
            for state in instance.directory.servers.values():
                server = region.servers[state.registration.address.port]
                if server.is_failing or server.work_factor > 1.0:
                    continue
                self.samples += 1
                failing = state.evidence.failure_probability
                self.suspected += (
                    failing >= registrations.SUSPECTED_PROBABILITY
                )


def make_gray(server: gray_placement.Server, kind: Kind) -> None:
    """Begin to fail in one way."""
    server.is_failing = True
    server.error_share = kind.error_share
    server.work_factor = kind.work_factor


def avoided_after_s(server: gray_placement.Server) -> float:
    """Return when a gray server was avoided, at most ``GRAY_FOR_S``."""
    even = RATE / gray_placement.SERVERS * WINDOW_S
    times = [at for at in server.received_s if at >= GRAY_FROM_S]
    for at in [GRAY_FROM_S, *times]:
        later = [t for t in times if at < t <= at + WINDOW_S]
        if len(later) <= AVOIDED_SHARE * even:
            return min(at - GRAY_FROM_S, GRAY_FOR_S)
    return GRAY_FOR_S


def measure(kind: Kind, *, pooled: bool, seeds: int) -> str:
    """Return one row of figures."""
    took_s, received, shares = [], [], []
    for seed in range(seeds):
        region = gray_placement.Region(
            seed=seed, rate=RATE, idempotent=True, pooled=pooled
        )
        watch = Watch(region)
        server = region.servers[0]
        region.simulation.after(GRAY_FROM_S, make_gray, server, kind)
        region.simulation.run(GRAY_FROM_S + GRAY_FOR_S)
        took_s.append(avoided_after_s(server))
        received.append(sum(t >= GRAY_FROM_S for t in server.received_s))
        shares.append(watch.suspected / watch.samples)
    avoided = (
        f'avoided after {statistics.median(took_s):5.2f} s'
        f' (most {max(took_s):5.2f})'
    )
    if kind is SOUND:
        # What its gaps would be called is chance.
        avoided = 'for comparison'.ljust(len(avoided))
    return (
        f'{kind.name:12} {"pooled" if pooled else "local":7} {avoided}'
        f'  requests there {statistics.mean(received):5.1f}'
        f'  sound suspected {statistics.mean(shares):.4f}'
    )


def main() -> None:
    """Print a row for each kind."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=10)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for kind, pooled in itertools.product(KINDS, (True, False)):
        print(measure(kind, pooled=pooled, seeds=options.seeds), flush=True)


if __name__ == '__main__':
    main()

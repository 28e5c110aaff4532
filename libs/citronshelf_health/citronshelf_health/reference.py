"""Rates of the rest of the pool, to which a server is compared."""

from typing import NamedTuple

from citronshelf_health import evidence
from citronshelf_health import policy as policies

# Requests of the present interval are few; they are shrunk towards the long
# window as if it had contributed this many.
INTERVAL_PRIOR_REQUESTS = 10.0
WHOLE_POOL = ''


class Group(NamedTuple):
    """Servers whose rates are comparable.

    Attributes
    ----------
    stream : Stream
    region : str
        Region of the servers for SLOW, where the distance to the store
        counts; `WHOLE_POOL` otherwise.
    """

    signal: evidence.Signal
    region: str = WHOLE_POOL


class PoolRates:
    """Windows and counts of the present interval, summed over a pool.

    Only servers that may get work contribute; a server's part is taken out
    when it is ejected.
    """

    def __init__(self, *, policy: policies.HealthPolicy):
        self.policy = policy
        self.windows: dict[Group, evidence.Window] = {}
        self.interval_counts: dict[Group, evidence.Counts] = {}

    def add(self, now: float, group: Group, counts: evidence.Counts) -> None:
        """Add what one server contributes in the present interval."""
        self.window(now, group).add(counts)
        previous = self.interval_counts.get(group, evidence.NO_COUNTS)
        self.interval_counts[group] = previous.plus(*counts)

    def window(self, now: float, group: Group) -> evidence.Window:
        """Return the window of a group, aged to the given time."""
        window = self.windows.get(group)
        if window is None:
            window = self.windows[group] = evidence.Window(now)
        window.decay(now, self.policy)
        return window

    def reference(
        self,
        now: float,
        group: Group,
        own: evidence.Window,
        own_interval: evidence.Counts,
    ) -> float | None:
        """Return the rate of bad requests of the rest of a group.

        It is the highest of the rates over the long window, the short one
        and the present interval: when a store starts to fail for everyone,
        the windows still remember good times, and every server would look
        faulty against them.

        Parameters
        ----------
        now : float
        group : Group
        own : Window
            Contribution of the server under test, aged to `now`.
        own_interval : Counts
            Its contribution to the present interval.

        Returns
        -------
        float or None
            None when the rest has too little evidence to be a reference.
        """
        window = self.window(now, group)
        rest = window.long.minus(own.long)
        if rest.requests < self.policy.min_reference_requests:
            return None
        prior = self.prior(group.signal.kind)
        long = shrunk_rate(rest, prior, self.policy.prior_requests)
        short = window.short.minus(own.short)
        interval = self.interval_counts.get(group, evidence.NO_COUNTS)
        rest_interval = interval.minus(own_interval)
        return max(
            prior,
            long,
            shrunk_rate(short, long, INTERVAL_PRIOR_REQUESTS),
            shrunk_rate(rest_interval, long, INTERVAL_PRIOR_REQUESTS),
        )

    def prior(self, kind: evidence.FaultKind) -> float:
        """Return the rate assumed of a healthy pool."""
        match kind:
            case evidence.FaultKind.ERRORS:
                return self.policy.error_prior
            case evidence.FaultKind.SLOW:
                return self.policy.slow_prior
            case evidence.FaultKind.UNREACHABLE:
                return self.policy.unreachable_prior


def shrunk_rate(
    counts: evidence.Counts, prior_rate: float, prior_requests: float
) -> float:
    """Return the rate of some counts, shrunk towards another rate."""
    return (counts.bad + prior_rate * prior_requests) / (
        counts.requests + prior_requests
    )

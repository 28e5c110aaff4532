"""Bad rates of the rest of a pool, the reference for each server."""

from typing import NamedTuple

from citronshelf_health import evidence
from citronshelf_health import policy as policies

# The short window and the current interval hold few requests. Their rates are
# shrunk towards that of the long window, which counts as this many requests.
INTERVAL_PRIOR_REQUESTS = 10.0
WHOLE_POOL = ''


class Group(NamedTuple):
    """Signal of servers whose rates are comparable.

    Attributes
    ----------
    signal : Signal
    region : str
        For SLOW, the region of the servers, since the distance to the data
        store affects their latency; `WHOLE_POOL` otherwise, and as the
        fallback for SLOW.
    """

    signal: evidence.Signal
    region: str = WHOLE_POOL


class PoolRates:
    """Windows and counts of the current interval, summed over a pool.

    Only servers that may receive work contribute. The contribution of a
    server to the windows is subtracted when its evidence is dropped, as after
    an ejection.
    """

    def __init__(self, *, policy: policies.HealthPolicy):
        self.policy = policy
        self.windows: dict[Group, evidence.Window] = {}
        self.interval_counts: dict[Group, evidence.Counts] = {}

    def add(self, now: float, group: Group, counts: evidence.Counts) -> None:
        """Add the counts of one server for the current interval."""
        self.window(now, group).add(counts)
        previous = self.interval_counts.get(group, evidence.NO_COUNTS)
        self.interval_counts[group] = previous.plus(*counts)

    def window(self, now: float, group: Group) -> evidence.Window:
        """Return the window of a group, decayed to the given time."""
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
        """Return the rate of bad requests in the rest of a group.

        This is the highest of the prior and the rates in the long window, the
        short window and the current interval. When the data store starts to
        fail for all servers, the windows still hold mostly good outcomes from
        before, and every server would look faulty against them.

        Parameters
        ----------
        now : float
        group : Group
        own : Window
            Contribution of the server under test, decayed to `now`.
        own_interval : Counts
            Its contribution to the current interval.

        Returns
        -------
        float or None
            None if the rest has too few requests to serve as a reference.
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
        """Return the rate assumed for a healthy pool."""
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
    """Return the rate of the counts, shrunk towards a prior rate."""
    return (counts.bad + prior_rate * prior_requests) / (
        counts.requests + prior_requests
    )

"""State that this instance keeps for each backend server."""

import math

from citronshelf_common import fleet

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# The view takes up to LEAVING_BOUND_S (5 s, see the tests) to mark the server
# as leaving.
DRAIN_EXCLUSION_S = 10.0
# Time constant of the decay from the last report to the mean of the group. A
# report is out of date once the requests that it counted have ended.
LOAD_DECAY_S = 0.1
# Weight of one report in the moving average of a group.
REPORT_WEIGHT = 0.05
# Time constant of the decay of a group's load since its last report.
GROUP_LOAD_DECAY_S = 1.0


class GroupLoad:
    """Mean load per server of one group, caused by other instances.

    A group is the servers for short work or those for long work of one pool.
    The load of a group without reports decays to 0, so that its servers are
    used again and send new reports.
    """

    __slots__ = ('value', 'reported_at')

    def __init__(self):
        self.value = 0.0
        self.reported_at = 0.0

    def record(self, other_load: float, now: float) -> None:
        """Add the load derived from one report to the moving average."""
        self.value += REPORT_WEIGHT * (other_load - self.value)
        self.reported_at = now

    def mean(self, now: float) -> float:
        """Return the mean load at a time, in requests per server."""
        since_report_s = max(0.0, now - self.reported_at)
        return self.value * math.exp(-since_report_s / GROUP_LOAD_DECAY_S)


class ServerLoadState:
    """Outstanding requests, reported load and backoff of one server.

    Parameters
    ----------
    view : fleet.ServerView
    slots : int
        Number of requests that it runs concurrently; replaced by the number
        that it reports.
    rank : int
        Rank of the server in this instance's rendezvous order; the servers
        with the lowest ranks form the instance's subset.
    long_rank : int
        Rank by which the servers for long work are selected; the same on
        every instance.
    """

    __slots__ = (
        'view',
        'slots',
        'rank',
        'long_rank',
        'outstanding',
        'outstanding_long',
        'other_load',
        'reported_at',
        'backoff_s',
        'backoff_until',
        'draining_until',
    )

    def __init__(
        self, *, view: fleet.ServerView, slots: int, rank: int, long_rank: int
    ):
        self.view = view
        self.slots = slots
        self.rank = rank
        self.long_rank = long_rank
        self.outstanding = 0
        self.outstanding_long = 0
        self.other_load = 0.0
        self.reported_at = None
        self.backoff_s = 0.0
        self.backoff_until = float('-inf')
        self.draining_until = float('-inf')

    @property
    def server_id(self) -> str:
        """Return the identifier of the server."""
        return self.view.server.server_id

    def is_available(self, now: float) -> bool:
        """Return whether the server is neither backed off nor draining."""
        return self.backoff_until <= now and self.draining_until <= now

    def load(self, now: float, group: GroupLoad) -> float:
        """Return the estimated number of requests on the server.

        Sum of this instance's outstanding requests and an estimate of those
        from other instances, which decays from the last report to the mean of
        the server's group, for short or for long work.
        """
        if self.reported_at is None:
            return self.outstanding + group.mean(now)
        weight = math.exp(-(now - self.reported_at) / LOAD_DECAY_S)
        mean = group.mean(now)
        other_load = mean + weight * (self.other_load - mean)
        return self.outstanding + other_load

    def begin(self, *, is_long: bool) -> None:
        """Count the start of one dispatch."""
        self.outstanding += 1
        self.outstanding_long += is_long

    def end(self, *, is_long: bool) -> None:
        """Count the end of one dispatch."""
        self.outstanding -= 1
        self.outstanding_long -= is_long

    def record_load(
        self, report: fleet.LoadReport, now: float, group: GroupLoad
    ) -> None:
        """Apply a load report.

        Call this after ``end`` of the dispatch whose response contains the
        report, so that this dispatch is not counted as outstanding.
        """
        self.slots = max(1, report.slots)
        self.other_load = max(
            0.0, report.busy + report.queue - self.outstanding
        )
        self.reported_at = now
        group.record(self.other_load, now)

    def record_shed(self, now: float, group: GroupLoad) -> None:
        """Assume full slots and one more request after a shed response."""
        self.other_load = (
            max(self.other_load, self.slots - self.outstanding) + 1.0
        )
        self.reported_at = now
        group.record(self.other_load, now)

    def record_refused(self, now: float) -> float:
        """Start a backoff after a refused connection.

        Returns
        -------
        float
            Backoff in s; doubles with each refusal up to ``MAX_BACKOFF_S``.
        """
        if now < self.backoff_until:
            # Concurrent dispatches that were all refused count once.
            return self.backoff_s
        doubled = max(INITIAL_BACKOFF_S, 2 * self.backoff_s)
        self.backoff_s = min(MAX_BACKOFF_S, doubled)
        self.backoff_until = now + self.backoff_s
        return self.backoff_s

    def clear_backoff(self) -> None:
        """End the backoff and reset its length, after a response."""
        self.backoff_s = 0.0
        self.backoff_until = float('-inf')

    def mark_draining(self, now: float) -> None:
        """Exclude the server for ``DRAIN_EXCLUSION_S``.

        By then its standing in the fleet view is LEAVING.
        """
        self.draining_until = now + DRAIN_EXCLUSION_S

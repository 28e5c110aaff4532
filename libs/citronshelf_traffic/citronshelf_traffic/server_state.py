"""What this instance knows of one backend server."""

import math

from citronshelf_common import fleet

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 8.0
# The view takes up to LEAVING_BOUND_S to say the same.
DRAIN_EXCLUSION_S = 10.0
# A report says little once the work it counted has ended; the estimate then
# returns to the mean of the pool.
LOAD_DECAY_S = 0.1
REPORT_WEIGHT = 0.05
GROUP_LOAD_DECAY_S = 1.0


class GroupLoad:
    """Mean load that others put on a server of one group of a pool.

    A group without reports is assumed to become idle, so that it is used
    and reports again.
    """

    __slots__ = ('value', 'reported_at')

    def __init__(self):
        self.value = 0.0
        self.reported_at = 0.0

    def record(self, other_load: float, now: float) -> None:
        """Add what one report says."""
        self.value += REPORT_WEIGHT * (other_load - self.value)
        self.reported_at = now

    def mean(self, now: float) -> float:
        """Return the mean load now."""
        since_report_s = max(0.0, now - self.reported_at)
        return self.value * math.exp(-since_report_s / GROUP_LOAD_DECAY_S)


class ServerState:
    """Own outstanding work, reported load and local marks of one server.

    Parameters
    ----------
    view : fleet.ServerView
    slots : int
        Requests that it runs at the same time, until it reports a number.
    rank : int
        Position of the server in this instance's rendezvous order; the
        lowest ranks are used first.
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
        """Return the identity of the server."""
        return self.view.server.server_id

    def is_available(self, now: float) -> bool:
        """Tell whether no local mark leaves the server out."""
        return self.backoff_until <= now and self.draining_until <= now

    def load(self, now: float, group: GroupLoad) -> float:
        """Return the estimated number of requests at the server."""
        if self.reported_at is None:
            return self.outstanding + group.mean(now)
        weight = math.exp(-(now - self.reported_at) / LOAD_DECAY_S)
        mean = group.mean(now)
        other_load = mean + weight * (self.other_load - mean)
        return self.outstanding + other_load

    def begin(self, *, is_long: bool) -> None:
        """Count one dispatch."""
        self.outstanding += 1
        self.outstanding_long += is_long

    def end(self, *, is_long: bool) -> None:
        """Count the end of one dispatch."""
        self.outstanding -= 1
        self.outstanding_long -= is_long

    def record_load(
        self, report: fleet.LoadReport, now: float, group: GroupLoad
    ) -> None:
        """Take a report, after the dispatch that brought it has ended."""
        self.slots = max(1, report.slots)
        self.other_load = max(
            0.0, report.busy + report.queue - self.outstanding
        )
        self.reported_at = now
        group.record(self.other_load, now)

    def record_shed(self, now: float, group: GroupLoad) -> None:
        """Take a shed answer: one request more than the server holds."""
        self.other_load = (
            max(self.other_load, self.slots - self.outstanding) + 1.0
        )
        self.reported_at = now
        group.record(self.other_load, now)

    def record_refused(self, now: float) -> float:
        """Leave the server out after a refused connection, in s."""
        if now < self.backoff_until:
            # Several dispatches that were refused at once are one sign.
            return self.backoff_s
        doubled = max(INITIAL_BACKOFF_S, 2 * self.backoff_s)
        self.backoff_s = min(MAX_BACKOFF_S, doubled)
        self.backoff_until = now + self.backoff_s
        return self.backoff_s

    def clear_backoff(self) -> None:
        """Forget refused connections after an answer."""
        self.backoff_s = 0.0
        self.backoff_until = float('-inf')

    def mark_draining(self, now: float) -> None:
        """Leave the server out until the view says that it leaves."""
        self.draining_until = now + DRAIN_EXCLUSION_S

"""Lease of the fleet view and detection of process suspensions."""

from collections.abc import Callable

VIEW_LEASE_S = 2.0
CONTROL_LOSS_NOT_READY_S = 10.0
SUSPENSION_GAP_S = 2.0
MAX_PENDING = 64


class ViewLease:
    """Tracks the age of the fleet view from the control daemon.

    The age of a view is counted from the request for it, not from its
    arrival: the response may have been queued while this process was
    suspended.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds, including time in which the machine is
        suspended.
    """

    def __init__(self, *, clock: Callable[[], float]):
        self.clock = clock
        self.requested_s: dict[int, float] = {}
        self.number = 0
        self.confirmed_s = float('-inf')
        self.last_tick_s = clock()

    def request_refresh(self) -> int:
        """Register a new request for the view and return its number.

        At more than ``MAX_PENDING`` pending refresh requests the oldest one
        is dropped.
        """
        self.number += 1
        self.requested_s[self.number] = self.clock()
        if len(self.requested_s) > MAX_PENDING:
            del self.requested_s[next(iter(self.requested_s))]
        return self.number

    def confirm(self, refresh_number: int) -> None:
        """Renew the lease when the response to a refresh request arrives.

        An update for no pending refresh request does not renew the lease.
        The request and all earlier ones are no longer pending.
        """
        requested_s = self.requested_s.get(refresh_number)
        if requested_s is None:
            return
        self.confirmed_s = max(self.confirmed_s, requested_s)
        self.requested_s = {
            number: at_s
            for number, at_s in self.requested_s.items()
            if number > refresh_number
        }

    def oldest_pending_s(self) -> float:
        """Return the age in s of the oldest pending refresh; 0.0 for none."""
        oldest_s = next(iter(self.requested_s.values()), self.clock())
        return self.clock() - oldest_s

    def age_s(self) -> float:
        """Return the age of the view in seconds; infinite if not confirmed."""
        return self.clock() - self.confirmed_s

    def is_fresh(self) -> bool:
        """Return whether the view may be used to dispatch work.

        False also if ``detect_suspension`` was last called more than
        ``SUSPENSION_GAP_S`` ago: the process was probably suspended.
        """
        if self.clock() - self.last_tick_s > SUSPENSION_GAP_S:
            return False
        return self.age_s() <= VIEW_LEASE_S

    def is_control_lost(self) -> bool:
        """Return whether the instance must not be ready for callers.

        That is the case if the view is older than
        ``CONTROL_LOSS_NOT_READY_S`` or has not been confirmed since the
        start or a suspension.
        """
        return self.age_s() > CONTROL_LOSS_NOT_READY_S

    def detect_suspension(self) -> float:
        """Detect a suspension since the previous call.

        Called at short intervals from the event loop. A gap longer than
        ``SUSPENSION_GAP_S`` counts as a suspension of the process: the view
        is then no longer confirmed, and pending refresh requests for it are
        discarded.

        Returns
        -------
        float
            Length of the suspension in seconds, 0.0 for none.
        """
        now = self.clock()
        gap_s = now - self.last_tick_s
        self.last_tick_s = now
        if gap_s <= SUSPENSION_GAP_S:
            return 0.0
        self.confirmed_s = float('-inf')
        self.requested_s.clear()
        return gap_s

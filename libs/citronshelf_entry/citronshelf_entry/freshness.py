"""Age of the view and detection of suspensions."""

from collections.abc import Callable

VIEW_LEASE_S = 2.0
CONTROL_LOSS_NOT_READY_S = 10.0
SUSPENSION_GAP_S = 2.0
MAX_PENDING = 64


class ViewLease:
    """Tells how old the view may be.

    A view is as old as the request for it, not as its arrival: it
    may have waited in a queue while this process was suspended.

    Parameters
    ----------
    clock : callable
        Seconds; counts while the machine is suspended.
    """

    def __init__(self, *, clock: Callable[[], float]):
        self.clock = clock
        self.requested_s: dict[int, float] = {}
        self.number = 0
        self.confirmed_s = float('-inf')
        self.last_tick_s = clock()

    def request_refresh(self) -> int:
        """Return the number of a new request for the view."""
        self.number += 1
        self.requested_s[self.number] = self.clock()
        if len(self.requested_s) > MAX_PENDING:
            del self.requested_s[next(iter(self.requested_s))]
        return self.number

    def confirm(self, refresh_number: int) -> None:
        """Note that a request was answered; unasked updates prove no age."""
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
        """Return how long the oldest open request has waited."""
        oldest_s = next(iter(self.requested_s.values()), self.clock())
        return self.clock() - oldest_s

    def age_s(self) -> float:
        """Return the age of the view."""
        return self.clock() - self.confirmed_s

    def is_fresh(self) -> bool:
        """Tell whether work may be dispatched under the view."""
        if self.clock() - self.last_tick_s > SUSPENSION_GAP_S:
            return False
        return self.age_s() <= VIEW_LEASE_S

    def is_lost(self) -> bool:
        """Tell whether callers should be sent to other instances."""
        return self.age_s() > CONTROL_LOSS_NOT_READY_S

    def detect_suspension(self) -> float:
        """Note that the event loop runs.

        Returns
        -------
        float
            Length of a suspension in seconds, 0.0 when there was none. The
            view is then no longer confirmed.
        """
        now = self.clock()
        gap_s = now - self.last_tick_s
        self.last_tick_s = now
        if gap_s <= SUSPENSION_GAP_S:
            return 0.0
        self.confirmed_s = float('-inf')
        self.requested_s.clear()
        return gap_s

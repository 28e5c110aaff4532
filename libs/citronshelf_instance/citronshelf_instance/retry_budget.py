"""Repeated dispatches, bounded by a share of the fresh requests."""

import collections

# Parts of the budget that are used. Instances that join or restart and
# requests that cross the ends of a window need the rest.
USABLE_RATIO_SHARE = 0.9
USABLE_SLACK_SHARE = 0.8


class RetryBudget:
    """This instance's part of one service's budget over the fleet.

    The fleet may repeat ``ratio`` of its fresh requests and ``slack`` more in
    any window. Every instance keeps to the ratio of its own requests and to an
    equal part of the slack, so that the sum holds while instances cannot
    reach each other. The slack only counts after the first window of a
    process: the one before it may have spent its part.

    Parameters
    ----------
    ratio : float
        Repeats for each fresh request.
    slack : float
        Repeats of the whole fleet in a window beyond the ratio.
    window_s : float
    slack_from_s : float
        Time from which the slack counts.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        slack_from_s: float,
        clock,
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.clock = clock
        self.slack_from_s = slack_from_s
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Count a new request of a caller."""
        now = self.clock()
        expire(self.requests, now - self.window_s)
        self.requests.append(now)

    def try_acquire(self, instances: int) -> bool:
        """Spend one repeat if the budget allows it.

        Parameters
        ----------
        instances : int
            Instances that share the slack, this one included.
        """
        now = self.clock()
        expire(self.requests, now - self.window_s)
        expire(self.retries, now - self.window_s)
        allowed = USABLE_RATIO_SHARE * self.ratio * len(self.requests)
        if now >= self.slack_from_s:
            allowed += USABLE_SLACK_SHARE * self.slack / max(1, instances)
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True


def expire(times: collections.deque, oldest: float) -> None:
    """Drop the times before a moment."""
    while times and times[0] < oldest:
        times.popleft()

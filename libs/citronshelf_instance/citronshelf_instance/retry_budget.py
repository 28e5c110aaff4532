"""Retry budget, as a share of the new requests."""

import collections

# Parts of the budget that are spent. The rest covers instances that join or
# restart and requests that cross the boundary of a window.
USABLE_RATIO_SHARE = 0.9
USABLE_SLACK_SHARE = 0.8


class RetryBudget:
    """This instance's part of the fleet's retry budget for one service.

    In any window, the fleet may retry ``ratio`` of its new requests and
    ``slack`` more. Every instance keeps to the ratio of its own requests and
    to an equal part of the slack, so that the total holds even while instances
    cannot reach each other. The slack counts only after the first window of a
    process, since its previous incarnation may have spent its part.

    Parameters
    ----------
    ratio : float
        Retries per new request.
    slack : float
        Retries of the whole fleet in a window beyond the ratio.
    window_s : float
    slack_from_s : float
        Monotonic time from which the slack counts.
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
        """Record a new request of a caller."""
        now = self.clock()
        expire(self.requests, now - self.window_s)
        self.requests.append(now)

    def try_spend(self, instances: int) -> bool:
        """Spend one retry; return False if the budget is exhausted.

        Parameters
        ----------
        instances : int
            Instances that share the slack, including this one.
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
    """Drop the times before ``oldest``."""
    while times and times[0] < oldest:
        times.popleft()

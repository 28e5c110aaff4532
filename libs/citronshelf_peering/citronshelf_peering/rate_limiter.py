"""Limits the rate of messages from each route."""

from collections.abc import Hashable

MESSAGES_PER_S = 100.0
BURST_MESSAGES = 200.0
# A refused message is charged as this number of valid ones.
REFUSED_COST_MESSAGES = 20.0
MAX_ROUTES = 4096


class RateLimiter:
    """Token bucket for each route.

    Above ``MAX_ROUTES``, the least recently used bucket is removed.

    Parameters
    ----------
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.buckets: dict[Hashable, tuple[float, float]] = {}
        self.dropped = 0

    def allow(self, route: Hashable) -> bool:
        """Charge one message; return whether it may be decoded."""
        return self.charge(route, 1.0)

    def charge_refused(self, route: Hashable) -> None:
        """Charge a route for a message that was refused after decoding."""
        self.charge(route, REFUSED_COST_MESSAGES)

    def charge(self, route: Hashable, cost: float) -> bool:
        """Remove tokens from a bucket; return whether it had at least one.

        A bucket with less than one token is not charged. The cost may exceed
        the tokens, which leaves the bucket negative.
        """
        now = self.clock()
        tokens, updated_at = self.buckets.pop(route, (BURST_MESSAGES, now))
        tokens = min(
            BURST_MESSAGES, tokens + (now - updated_at) * MESSAGES_PER_S
        )
        allowed = tokens >= 1.0
        if allowed:
            tokens -= cost
        else:
            self.dropped += 1
        self.buckets[route] = (tokens, now)
        if len(self.buckets) > MAX_ROUTES:
            del self.buckets[next(iter(self.buckets))]
        return allowed

"""Bounds the work that one route can cause."""

from collections.abc import Hashable

MESSAGES_PER_S = 100.0
BURST_MESSAGES = 200.0
# A refused message costs as much as this number of good ones.
REFUSED_COST_MESSAGES = 20.0
MAX_ROUTES = 4096


class RateLimiter:
    """Token bucket for each route.

    Parameters
    ----------
    clock : callable
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.buckets: dict[Hashable, tuple[float, float]] = {}
        self.dropped = 0

    def allow(self, route: Hashable) -> bool:
        """Tell whether a message of the route is read."""
        return self.charge(route, 1.0)

    def charge_refused(self, route: Hashable) -> None:
        """Charge a refused message."""
        self.charge(route, REFUSED_COST_MESSAGES)

    def charge(self, route: Hashable, cost: float) -> bool:
        """Take tokens of a route; a dropped message takes none."""
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

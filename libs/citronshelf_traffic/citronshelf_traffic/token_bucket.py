"""Token bucket on a clock that the caller reads."""


class TokenBucket:
    """Refills at a rate up to a depth.

    Parameters
    ----------
    rate : float
        Tokens per second.
    depth : float
        Most tokens it holds; it starts full.
    now : float
        Clock reading in s.
    """

    __slots__ = ('tokens', 'depth', 'rate', 'refilled_at')

    def __init__(self, *, rate: float, depth: float, now: float):
        self.rate = rate
        self.depth = depth
        self.tokens = depth
        self.refilled_at = now

    def refill(self, now: float) -> float:
        """Add what the time since the last reading earned."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.depth, self.tokens + elapsed * self.rate)
        self.refilled_at = max(now, self.refilled_at)
        return self.tokens

    def try_spend(self, amount: float, now: float) -> bool:
        """Take tokens if all of them are there."""
        if self.refill(now) < amount:
            return False
        self.tokens -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Take tokens even below zero, or give them back when negative."""
        self.refill(now)
        self.tokens = min(self.depth, self.tokens - amount)

    def wait_s(self, amount: float, now: float) -> float:
        """Return the time until so many tokens are there, in s."""
        missing = min(amount, self.depth) - self.refill(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float('inf')

    def is_full(self, now: float) -> bool:
        """Tell whether the bucket says the same as a new one."""
        return self.refill(now) >= self.depth

    def resize(self, *, rate: float, depth: float, now: float) -> None:
        """Change rate and depth; what was spent stays spent."""
        spent = self.depth - self.refill(now)
        self.rate = rate
        self.depth = depth
        self.tokens = max(-depth, depth - spent)

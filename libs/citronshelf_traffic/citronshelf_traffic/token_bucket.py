"""Token bucket that gets the time from its caller."""


class TokenBucket:
    """Token bucket with a refill rate and a depth.

    Parameters
    ----------
    rate : float
        Tokens per second.
    depth : float
        Maximum number of tokens; the bucket starts full.
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
        """Add the tokens earned since the last refill; return all tokens."""
        elapsed = max(0.0, now - self.refilled_at)
        self.tokens = min(self.depth, self.tokens + elapsed * self.rate)
        self.refilled_at = max(now, self.refilled_at)
        return self.tokens

    def try_spend(self, amount: float, now: float) -> bool:
        """Spend tokens if enough are available; return whether they were."""
        if self.refill(now) < amount:
            return False
        self.tokens -= amount
        return True

    def charge(self, amount: float, now: float) -> None:
        """Spend tokens even if the balance becomes negative.

        A negative amount returns tokens.
        """
        self.refill(now)
        self.tokens = min(self.depth, self.tokens - amount)

    def wait_s(self, amount: float, now: float) -> float:
        """Return the time until an amount of tokens is available, in s.

        The amount is limited to the depth. Returns infinity if tokens are
        missing and the rate is 0.
        """
        missing = min(amount, self.depth) - self.refill(now)
        if missing <= 0:
            return 0.0
        return missing / self.rate if self.rate > 0 else float('inf')

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is full, as a new one would be."""
        return self.refill(now) >= self.depth

    def resize(self, *, rate: float, depth: float, now: float) -> None:
        """Change rate and depth; spent tokens are not restored.

        The balance does not fall below ``-depth``.
        """
        spent = self.depth - self.refill(now)
        self.rate = rate
        self.depth = depth
        self.tokens = max(-depth, depth - spent)

"""Estimate of the overdispersion of slow responses."""

from citronshelf_health import evidence

BLOCK_S = 5.0
MIN_REQUESTS = 5.0
# Weight of the latest block in the moving average, whose time constant is
# about a minute.
BLOCK_WEIGHT = 0.08
# The deviation of a faulty server is unbounded. It must not raise the estimate
# so far that the tests of the whole pool, its own included, miss the fault.
MAX_DEVIATION = 25.0
INITIAL_FACTOR = 4.0
# With fewer servers, a block says little about how servers differ.
MIN_SERVERS = 2


class Dispersion:
    """Estimate of the overdispersion of one request class in a pool.

    A straggler delays the requests queued behind it, so the slow responses of
    a server come in bursts. A test that assumes independent responses would
    eject healthy servers, so its log-likelihood ratios are divided by
    `factor`.

    Attributes
    ----------
    factor : float
        Moving average, over blocks of `BLOCK_S`, of the ratio of the variance
        of the servers' counts of slow responses to the variance for
        independent responses; at least 1.
    """

    __slots__ = ('factor', 'block_started_at', 'blocks')

    def __init__(self, now: float):
        self.factor = INITIAL_FACTOR
        self.block_started_at = now
        self.blocks: dict[str, evidence.Counts] = {}

    def add(self, now: float, server_id: str, counts: evidence.Counts) -> None:
        """Add the counts of one server for the current interval."""
        if now - self.block_started_at >= BLOCK_S:
            self.end_block()
            self.block_started_at = now
        previous = self.blocks.get(server_id, evidence.NO_COUNTS)
        self.blocks[server_id] = previous.plus(*counts)

    def end_block(self) -> None:
        """Update the estimate from the counts of the finished block."""
        blocks = [
            b for b in self.blocks.values() if b.requests >= MIN_REQUESTS
        ]
        self.blocks = {}
        requests = sum(block.requests for block in blocks)
        bad = sum(block.bad for block in blocks)
        if len(blocks) < MIN_SERVERS or not 0 < bad < requests:
            return
        rate = bad / requests
        total = 0.0
        for block in blocks:
            variance = block.requests * rate * (1.0 - rate)
            deviation = (block.bad - block.requests * rate) ** 2 / variance
            total += min(deviation, MAX_DEVIATION)
        # Estimating the rate uses up one degree of freedom.
        block_factor = total / (len(blocks) - 1)
        change = BLOCK_WEIGHT * (block_factor - self.factor)
        self.factor = max(1.0, self.factor + change)

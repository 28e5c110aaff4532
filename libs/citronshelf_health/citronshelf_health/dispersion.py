"""How much more slow responses vary than independent ones would."""

from citronshelf_health import evidence

BLOCK_S = 5.0
MIN_REQUESTS = 5.0
# Share of the latest block in the estimate: a memory of about a minute.
BLOCK_WEIGHT = 0.08
# A faulty server deviates without limit; it must not hide itself by raising
# the estimate for its whole pool.
MAX_DEVIATION = 25.0
INITIAL_FACTOR = 4.0
# Blocks over few servers say little about how servers differ.
MIN_SERVERS = 2


class Dispersion:
    """Estimate of the overdispersion of one request class in a pool.

    A straggler delays the requests queued behind it, so slow responses of a
    server come in bursts. A test that counts them as independent ejects
    healthy servers; its log-likelihood ratios are divided by this factor.

    Attributes
    ----------
    factor : float
        Variance of the servers' counts of slow responses in a block, over
        that of independent responses; at least 1.
    """

    __slots__ = ('factor', 'block_started_at', 'blocks')

    def __init__(self, now: float):
        self.factor = INITIAL_FACTOR
        self.block_started_at = now
        self.blocks: dict[str, evidence.Counts] = {}

    def add(self, now: float, server_id: str, counts: evidence.Counts) -> None:
        """Add the outcomes of one server in the present interval."""
        if now - self.block_started_at >= BLOCK_S:
            self.end_block()
            self.block_started_at = now
        previous = self.blocks.get(server_id, evidence.NO_COUNTS)
        self.blocks[server_id] = previous.plus(*counts)

    def end_block(self) -> None:
        """Update the estimate from the servers' counts of one block."""
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
        # One degree of freedom is spent on the rate.
        present = total / (len(blocks) - 1)
        change = BLOCK_WEIGHT * (present - self.factor)
        self.factor = max(1.0, self.factor + change)

"""Counts reads and checks them against the platform's rate limit."""

MAX_READS_PER_SECOND = 2000


class ReadCounter:
    """Counts reads per clock second; a watch counts as one read.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    limit_per_second : int
        Number of reads allowed in one second.
    """

    def __init__(self, *, clock, limit_per_second: int = MAX_READS_PER_SECOND):
        self.clock = clock
        self.limit_per_second = limit_per_second
        self.second = 0
        self.reads_in_second = 0
        self.total = 0
        self.highest_per_second = 0

    def try_read(self) -> bool:
        """Count a read and return whether it is within the rate limit.

        Reads over the limit are counted, too.
        """
        second = int(self.clock())
        if second != self.second:
            self.second = second
            self.reads_in_second = 0
        self.reads_in_second += 1
        self.total += 1
        self.highest_per_second = max(
            self.highest_per_second, self.reads_in_second
        )
        return self.reads_in_second <= self.limit_per_second

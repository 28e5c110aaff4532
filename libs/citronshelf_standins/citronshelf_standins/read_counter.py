"""Counts reads against the platform's rate."""

MAX_READS_PER_SECOND = 2000


class ReadCounter:
    """Counts the reads of each second; a waiting watch is one read.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    limit_per_second : int
        Reads a second.
    """

    def __init__(self, *, clock, limit_per_second: int = MAX_READS_PER_SECOND):
        self.clock = clock
        self.limit_per_second = limit_per_second
        self.second = 0
        self.reads_in_second = 0
        self.total = 0
        self.highest_per_second = 0

    def count_read(self) -> bool:
        """Count one read and tell whether it is within the rate."""
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

"""Keeps recent latencies of each request class."""

import collections

MAX_SAMPLES = 200
# With fewer samples the 95th percentile is the largest sample or unreliable.
MIN_SAMPLES = 40
MAX_CLASSES = 4096
# The 95th percentile is recomputed after this number of new samples.
RECOMPUTE_INTERVAL_SAMPLES = 20


class RecentLatencies:
    """Most recent samples of one class and their 95th percentile."""

    def __init__(self):
        self.samples = collections.deque(maxlen=MAX_SAMPLES)
        self.cached_p95 = None
        self.new_samples = 0

    def record(self, seconds: float) -> None:
        """Add one sample in seconds."""
        self.samples.append(seconds)
        self.new_samples += 1
        if self.new_samples >= RECOMPUTE_INTERVAL_SAMPLES:
            self.cached_p95 = None

    def p95(self) -> float | None:
        """Return the 95th percentile in s.

        Returns None with fewer than ``MIN_SAMPLES`` samples.
        """
        count = len(self.samples)
        if count < MIN_SAMPLES:
            return None
        if self.cached_p95 is None:
            self.cached_p95 = sorted(self.samples)[int(0.95 * (count - 1))]
            self.new_samples = 0
        return self.cached_p95


class ClassLatencies:
    """Latencies by request class.

    Beyond ``MAX_CLASSES`` classes, the one added first is removed.
    """

    def __init__(self):
        self.classes = collections.OrderedDict()

    def record(self, request_class: str, seconds: float) -> None:
        """Add one sample of a class, in seconds."""
        recent = self.classes.get(request_class)
        if recent is None:
            recent = self.classes[request_class] = RecentLatencies()
            if len(self.classes) > MAX_CLASSES:
                self.classes.popitem(last=False)
        recent.record(seconds)

    def p95(self, request_class: str) -> float | None:
        """Return the 95th percentile of a class in s.

        Returns None for an unknown class and with too few samples.
        """
        recent = self.classes.get(request_class)
        return recent.p95() if recent else None

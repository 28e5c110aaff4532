"""Counters and histograms of an instance."""

import bisect
import collections

import aioprometheus

BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4)
HELP = {
    'requests': 'Requests of callers, by status',
    'dispatches': 'Dispatches to backend servers, by result',
    'hedges': 'Second dispatches of requests whose answer is overdue',
    'repeats_denied': 'Repeats that the retry budget did not allow',
}


class Histogram:
    """Counts of times by upper bound."""

    def __init__(self):
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.sum_s = 0.0

    def record(self, seconds: float) -> None:
        """Add one time."""
        self.counts[bisect.bisect_left(BOUNDS_S, seconds)] += 1
        self.sum_s += seconds


class InstanceMetrics:
    """Plain counters that become metrics only when they are read."""

    def __init__(self):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.times: dict[str, Histogram] = collections.defaultdict(Histogram)
        self.gauges = {}

    def count(self, name: str, label: str = '') -> None:
        """Add one to a counter."""
        self.counts[name, label] += 1

    def count_dispatch(self, result: str) -> None:
        """Count the result of one dispatch."""
        self.count('dispatches', result)

    def record_request(self, route: str, status: int, seconds: float) -> None:
        """Count one answered request and its time."""
        self.count('requests', str(status))
        self.times[route].record(seconds)

    def add_gauge(self, name: str, about: str, value) -> None:
        """Add a value that is read when the metrics are."""
        self.gauges[name] = (about, value)

    def render(self) -> tuple[bytes, dict]:
        """Return body and headers of the metrics in text form."""
        registry = aioprometheus.Registry()
        for name, about in HELP.items():
            counter = aioprometheus.Counter(
                f'citronshelf_{name}_total', about, registry=registry
            )
            for (known, label), value in self.counts.items():
                if known == name:
                    counter.set({'kind': label} if label else {}, value)
        for name, (about, value) in self.gauges.items():
            gauge = aioprometheus.Gauge(
                f'citronshelf_{name}', about, registry=registry
            )
            gauge.set({}, value())
        self.render_times(registry)
        return aioprometheus.render(registry, [])

    def render_times(self, registry) -> None:
        """Add the histogram of each route."""
        buckets = aioprometheus.Counter(
            'citronshelf_request_seconds_bucket',
            'Requests by time from their arrival, cumulative',
            registry=registry,
        )
        sums = aioprometheus.Counter(
            'citronshelf_request_seconds_sum',
            'Time of all requests',
            registry=registry,
        )
        for route, histogram in self.times.items():
            total = 0
            for bound, count in zip((*BOUNDS_S, '+Inf'), histogram.counts):
                total += count
                buckets.set({'route': route, 'le': str(bound)}, total)
            sums.set({'route': route}, histogram.sum_s)

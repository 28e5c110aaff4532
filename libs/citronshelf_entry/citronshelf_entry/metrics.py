"""Metrics of the entry daemon for ``/metrics``."""

import bisect
import collections
from collections.abc import Callable

import aioprometheus

BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5)
COUNTERS = {
    'requests': 'Requests of callers, by outcome',
    'dispatches': 'Dispatches to backend servers',
    'hedges': 'Second dispatches of stragglers',
    'forwards': 'Keyed requests sent to another instance',
    'keys_issued': 'Idempotency keys issued',
}


class EntryMetrics:
    """Plain counters that are rendered only when ``/metrics`` is read.

    Each request updates several counters, and incrementing a dictionary entry
    is much cheaper than updating a labelled collector.
    """

    def __init__(self):
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.bucket_counts = [0] * (len(BUCKETS_S) + 1)
        self.time_sum_s = 0.0
        self.gauges: dict[str, tuple[str, Callable[[], float]]] = {}

    def count(self, name: str, label: str = '') -> None:
        """Increment one of ``COUNTERS``; its ``kind`` label is ``label``."""
        self.counts[name, label] += 1

    def record_time(self, seconds: float) -> None:
        """Record the time from a request's head to the end of its response."""
        self.bucket_counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        self.time_sum_s += seconds

    def add_gauge(
        self, name: str, help_text: str, value: Callable[[], float]
    ) -> None:
        """Add a gauge whose value is computed when the metrics are read."""
        self.gauges[name] = (help_text, value)

    def render(self) -> tuple[bytes, dict]:
        """Return the body and headers of ``/metrics``."""
        registry = aioprometheus.Registry()
        for name, help_text in COUNTERS.items():
            counter = aioprometheus.Counter(
                f'citronshelf_entry_{name}_total', help_text, registry=registry
            )
            for (counted, label), value in self.counts.items():
                if counted == name:
                    labels = {'kind': label} if label else {}
                    counter.set(labels, value)
        for name, (help_text, value) in self.gauges.items():
            gauge = aioprometheus.Gauge(
                f'citronshelf_entry_{name}', help_text, registry=registry
            )
            gauge.set({}, value())
        self.render_times(registry)
        return aioprometheus.render(registry, [])

    def render_times(self, registry) -> None:
        """Add the cumulative histogram of request times."""
        counter = aioprometheus.Counter(
            'citronshelf_entry_request_seconds_bucket',
            'Requests by time, cumulative',
            registry=registry,
        )
        total = 0
        for bound, count in zip((*BUCKETS_S, '+Inf'), self.bucket_counts):
            total += count
            counter.set({'le': str(bound)}, total)
        seconds = aioprometheus.Counter(
            'citronshelf_entry_request_seconds_sum',
            'Time of all requests',
            registry=registry,
        )
        seconds.set({}, self.time_sum_s)

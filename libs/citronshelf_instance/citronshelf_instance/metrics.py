"""Counters and histograms of an instance."""

import aioprometheus

# Bounds of request times in seconds; targets of the users' routes lie between
# 0.4 and 1.5, their time limits at 1.5 and more.
BUCKET_BOUNDS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0]
COUNTER_HELP = {
    'requests': 'Requests of callers, by status',
    'dispatches': 'Dispatches to backend servers, by result',
    'hedges': 'Second dispatches of requests whose answer is overdue',
    'repeats_denied': 'Repeats that the retry budget did not allow',
}


class InstanceMetrics:
    """What the metrics page shows."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self.counters = {
            name: aioprometheus.Counter(
                f'citronshelf_{name}_total', help_text, registry=self.registry
            )
            for name, help_text in COUNTER_HELP.items()
        }
        self.times = aioprometheus.Histogram(
            'citronshelf_request_seconds',
            'Time from the arrival of a request to its answer',
            buckets=BUCKET_BOUNDS_S,
            registry=self.registry,
        )
        self.gauges = []

    def count(self, name: str, label: str = '') -> None:
        """Add one to a counter."""
        self.counters[name].inc({'kind': label} if label else {})

    def count_dispatch(self, result: str) -> None:
        """Count the result of one dispatch."""
        self.count('dispatches', result)

    def record_request(self, route: str, status: int, seconds: float) -> None:
        """Count one answered request and its time."""
        self.count('requests', str(status))
        self.times.observe({'route': route}, seconds)

    def add_gauge(self, name: str, help_text: str, value) -> None:
        """Add a value that is read when the metrics are."""
        gauge = aioprometheus.Gauge(
            f'citronshelf_{name}', help_text, registry=self.registry
        )
        self.gauges.append((gauge, value))

    def render(self) -> tuple[bytes, dict]:
        """Return body and headers of the metrics in text form."""
        for gauge, value in self.gauges:
            gauge.set({}, value())
        return aioprometheus.render(self.registry, [])

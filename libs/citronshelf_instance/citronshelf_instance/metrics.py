"""Metrics of an instance."""

import aioprometheus

# The users' routes have target times between 0.4 and 1.5 s and timeouts of at
# least 1.5 s.
BUCKET_BOUNDS_S = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0]
COUNTER_HELP = {
    'requests': 'Requests of callers, by status',
    'refusals': 'Requests refused without a dispatch, by status and reason',
    'callers': 'Requests by kind of caller: account or anonymous',
    'dispatches': 'Dispatches to backend servers, by result',
    'announcements': 'Announcements of servers in responses, by kind',
    'hedges': 'Second dispatches of requests whose answer is overdue',
    'hedges_denied': 'Second attempts that were not started, by reason',
    'hedges_won': 'Second attempts whose response was used',
    'responses_dropped': 'Responses ended because their memory was full',
    'quota': 'Requests of accounts with a limit, by decision',
    'admission_refusals': 'Requests refused by admission control, by reason',
    'repeats': 'Repeats that the retry budget paid for',
    'repeats_denied': 'Repeats that the retry budget did not allow',
}


class InstanceMetrics:
    """Registry of the metrics of one instance."""

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
        """Increment a counter, optionally with a ``kind`` label."""
        self.counters[name].inc({'kind': label} if label else {})

    def count_dispatch(self, result: str) -> None:
        """Count a dispatch by its result."""
        self.count('dispatches', result)

    def record_request(self, route: str, status: int, seconds: float) -> None:
        """Record the status and the duration of a request."""
        self.count('requests', str(status))
        self.times.observe({'route': route}, seconds)

    def record_refusal(self, status: int, reason: str) -> None:
        """Count a request that was refused without a dispatch."""
        labels = {'status': str(status), 'reason': reason}
        self.counters['refusals'].inc(labels)

    def add_gauge(self, name: str, help_text: str, value) -> None:
        """Add a gauge; ``value`` is called each time metrics are rendered."""
        gauge = aioprometheus.Gauge(
            f'citronshelf_{name}', help_text, registry=self.registry
        )
        self.gauges.append((gauge, value))

    def render(self) -> tuple[bytes, dict]:
        """Return body and headers of the metrics in the text format."""
        for gauge, value in self.gauges:
            gauge.set({}, value())
        return aioprometheus.render(self.registry, [])

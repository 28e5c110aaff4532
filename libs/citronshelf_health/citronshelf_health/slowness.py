"""Classification of responses as slow for their request class."""

import math
from typing import NamedTuple

from citronshelf_common import fleet

MEDIAN = 0.5
P95 = 0.95
# A response is slow if it takes longer than this multiple of the median. The
# p95 is not a suitable threshold: with heavy-tailed latencies, a server three
# times slower exceeds it only slightly more often, and with nearly constant
# latencies a server only 20% slower exceeds it all the time.
SLOW_FACTOR = 2.0
# Ratio of the bounds of a histogram bucket: 10% wide.
BUCKET_RATIO = 1.1
MIN_LATENCY_S = 0.0001
BUCKETS = 160
MAX_LATENCY_S = MIN_LATENCY_S * BUCKET_RATIO ** (BUCKETS - 1)
# The weight of a latency halves after this many later ones of the same key.
HALF_LIFE_RESPONSES = 700
# The median of fewer responses is too uncertain to classify others by.
MIN_CLASSIFIED_RESPONSES = 60
RECOMPUTE_INTERVAL_RESPONSES = 16
# New latencies get growing weights, which has the effect of decaying all
# buckets. The weights are rescaled at this limit, before they lose precision.
MAX_WEIGHT = 1e12


class LatencyHistogram:
    """Exponentially decayed histogram of latencies in logarithmic buckets.

    Attributes
    ----------
    threshold_s : float
        Latency above which a response is slow; infinite until
        `MIN_CLASSIFIED_RESPONSES` have been added.
    p95_s : float
        95th percentile; infinite until then, too.
    """

    __slots__ = ('weights', 'weight', 'added', 'threshold_s', 'p95_s')

    def __init__(self):
        self.weights = [0.0] * BUCKETS
        self.weight = 1.0
        self.added = 0
        self.threshold_s = math.inf
        self.p95_s = math.inf

    def add(self, seconds: float) -> None:
        """Add one latency, in s."""
        self.weights[bucket_of(seconds)] += self.weight
        self.weight *= 2.0 ** (1.0 / HALF_LIFE_RESPONSES)
        self.added += 1
        if self.weight > MAX_WEIGHT:
            self.weights = [w / self.weight for w in self.weights]
            self.weight = 1.0
        if self.added < MIN_CLASSIFIED_RESPONSES:
            return
        if self.added % RECOMPUTE_INTERVAL_RESPONSES == 0 or math.isinf(
            self.threshold_s
        ):
            self.threshold_s = SLOW_FACTOR * self.quantile_s(MEDIAN)
            self.p95_s = self.quantile_s(P95)

    def quantile_s(self, share: float) -> float:
        """Return the upper bound, in s, of the bucket with a quantile."""
        target_weight = share * sum(self.weights)
        cumulative_weight = 0.0
        for index, weight in enumerate(self.weights):
            cumulative_weight += weight
            if cumulative_weight >= target_weight:
                return MIN_LATENCY_S * BUCKET_RATIO ** (index + 1)
        return math.inf


class HistogramKey(NamedTuple):
    """Key of responses whose latencies are comparable."""

    request_class: str
    pool: str
    region: str


class SlowResponseClassifier:
    """Decides which responses are slow for their request class.

    The median covers the servers of a pool in one region, as observed by this
    instance, since the distance between regions is no fault of a server. If
    the data store slows down for all servers, the median rises with it.
    Responses to callers' bad requests (4xx) and of classes marked long must
    not be passed to `record_and_classify`.
    """

    def __init__(self):
        self.histograms: dict[HistogramKey, LatencyHistogram] = {}

    def record_and_classify(
        self, request_class: str, server: fleet.BackendServer, seconds: float
    ) -> bool:
        """Add one complete response; return whether it is slow.

        Parameters
        ----------
        request_class : str
        server : BackendServer
        seconds : float
            Time from dispatch to the end of the response.

        Returns
        -------
        bool
            Whether it took more than `SLOW_FACTOR` times the median of
            earlier responses; False until `MIN_CLASSIFIED_RESPONSES` of them.
        """
        key = HistogramKey(request_class, server.pool, server.location.region)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = self.histograms[key] = LatencyHistogram()
        is_slow = seconds > histogram.threshold_s
        histogram.add(seconds)
        return is_slow

    def p95_s(self, request_class: str, server: fleet.BackendServer) -> float:
        """Return the last computed p95 in s, or infinity before the first."""
        key = HistogramKey(request_class, server.pool, server.location.region)
        histogram = self.histograms.get(key)
        return math.inf if histogram is None else histogram.p95_s


def bucket_of(seconds: float) -> int:
    """Return the index of a latency's bucket; the outer two are open."""
    if not seconds > MIN_LATENCY_S:
        return 0
    if seconds >= MAX_LATENCY_S:
        return BUCKETS - 1
    return int(math.log(seconds / MIN_LATENCY_S) / math.log(BUCKET_RATIO))

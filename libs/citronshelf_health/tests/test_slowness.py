"""Tests of the classification of slow responses."""

import math
import random
import subprocess
import sys

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from citronshelf_common import fleet
from citronshelf_health import slowness


def make_server(region='r', pool='p'):
    return fleet.BackendServer(
        's',
        pool,
        fleet.Address('127.0.0.1', 9000),
        fleet.Location(region, 'a'),
    )


def classifier_after(latencies, server=make_server()):
    classifier = slowness.SlowResponseClassifier()
    for seconds in latencies:
        classifier.record_and_classify('c', server, seconds)
    return classifier


def heavy_tailed(count, factor=1.0, seed=1):
    rng = random.Random(seed)
    return [factor * rng.lognormvariate(-3.5, 0.8) for _ in range(count)]


def slow_share(classifier, latencies, server=make_server()):
    slow = [
        classifier.record_and_classify('c', server, seconds)
        for seconds in latencies
    ]
    return sum(slow) / len(slow)


def check_small_differences():
    """A server 20% slower than the others is not slow."""
    classifier = classifier_after([0.01] * 500)
    assert not classifier.record_and_classify('c', make_server(), 0.012)


class TestSlowResponseClassifier:
    """A response is slow above twice the median of comparable work."""

    def test_nothing_is_slow_before_enough_responses(self):
        classifier = classifier_after(
            [0.01] * (slowness.MIN_CLASSIFIED_RESPONSES - 1)
        )
        assert not classifier.record_and_classify('c', make_server(), 5.0)
        assert classifier.record_and_classify('c', make_server(), 5.0)

    def test_small_difference_is_not_slow(self):
        check_small_differences()

    def test_three_times_slower_with_a_heavy_tail(self):
        classifier = classifier_after(heavy_tailed(1000))
        usual = slow_share(classifier, heavy_tailed(200, seed=2))
        slower = slow_share(classifier, heavy_tailed(200, factor=3.0, seed=3))
        assert usual < 0.3 < 0.55 < slower

    def test_follows_a_store_that_slows_down_for_everyone(self):
        classifier = classifier_after(heavy_tailed(1000))
        slow_share(classifier, heavy_tailed(2000, factor=10.0, seed=2))
        assert slow_share(classifier, heavy_tailed(300, 10.0, seed=3)) < 0.3

    def test_regions_pools_and_classes_are_separate(self):
        classifier = classifier_after([0.01] * 100)
        for server in (make_server(region='q'), make_server(pool='o')):
            assert slow_share(classifier, [0.05] * 100, server) == 0.0
        assert not classifier.record_and_classify('other', make_server(), 9.0)

    def test_p95_is_accurate_to_a_bucket(self):
        classifier = classifier_after([n / 1000 for n in range(1, 101)] * 3)
        p95 = classifier.p95_s('c', make_server())
        assert 0.09 <= p95 <= 0.095 * slowness.BUCKET_RATIO**2
        assert classifier.p95_s('c', make_server(region='q')) == math.inf

    def test_weights_stay_in_range(self):
        classifier = classifier_after([0.01] * 60_000)
        assert not classifier.record_and_classify('c', make_server(), 0.012)
        assert classifier.record_and_classify('c', make_server(), 0.05)

    @settings(derandomize=True, database=None, max_examples=200)
    @given(st.floats(allow_nan=True, allow_infinity=True))
    def test_any_duration_has_a_bucket(self, seconds):
        assert 0 <= slowness.bucket_of(seconds) < slowness.BUCKETS

    def test_needs_no_network_library(self):
        # The entry daemon imports it on its data path.
        code = (
            'import sys, citronshelf_health.slowness;'
            'sys.exit(any(m in sys.modules for m in ("zmq", "tornado")))'
        )
        done = subprocess.run([sys.executable, '-c', code], check=False)
        assert done.returncode == 0


class TestMutations:
    """The check of small differences fails under each mutation."""

    @pytest.mark.parametrize('name', ['p95-instead-of-twice-the-median'])
    def test_is_caught(self, name, monkeypatch):
        monkeypatch.setattr(slowness, 'SLOW_FACTOR', 1.0)
        monkeypatch.setattr(slowness, 'MEDIAN', 0.95)
        with pytest.raises(AssertionError):
            check_small_differences()

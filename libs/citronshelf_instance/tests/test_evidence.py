"""Tests of the health estimates of a server."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronshelf_instance import evidence

SIGNALS = st.lists(
    st.tuples(
        st.floats(0, 20),
        st.sampled_from(evidence.HealthSignal),
        st.floats(0, 100),
    ),
    max_size=50,
)


def observe(known, signal, now, slowness=0.0):
    known.record(evidence.Observation('s1', signal, slowness), now)


class TestFailing:
    """Failures raise the probability; good responses and time lower it."""

    def test_two_failures_raise_the_probability(self):
        known = evidence.HealthEstimate(now=0.0)
        observe(known, evidence.HealthSignal.FAILED, 0.1)
        observe(known, evidence.HealthSignal.FAILED, 0.2)
        assert known.failure_probability > 0.95

    def test_one_failure_among_many_good_responses_is_forgotten(self):
        known = evidence.HealthEstimate(now=0.0)
        for n in range(10):
            observe(known, evidence.HealthSignal.GOOD, n / 10)
        observe(known, evidence.HealthSignal.FAILED, 1.1)
        after_failure = known.failure_probability
        for n in range(8):
            observe(known, evidence.HealthSignal.GOOD, 1.2 + n / 10)
        assert known.failure_probability < 0.1 < after_failure

    def test_recovers_without_requests(self):
        known = evidence.HealthEstimate(now=0.0)
        for n in range(5):
            observe(known, evidence.HealthSignal.FAILED, n / 10)
        assert known.failure_share(0.5) > 0.5
        new = evidence.HealthEstimate(now=0.0)
        usual = new.failure_share(0.0)
        assert known.failure_share(60.0) == pytest.approx(usual, rel=0.002)

    def test_shed_requests_do_not_change_the_probability(self):
        known = evidence.HealthEstimate(now=0.0)
        observe(known, evidence.HealthSignal.SHED, 0.0)
        assert known.failure_probability == pytest.approx(
            evidence.PRIOR_FAILURE_PROBABILITY
        )

    @given(SIGNALS)
    def test_stays_a_probability(self, signals):
        known = evidence.HealthEstimate(now=0.0)
        now = 0.0
        for gap, signal, slowness in signals:
            now += gap
            observe(known, signal, now, slowness)
            assert 0.0 <= known.failure_probability <= 1.0
            assert 0.0 < known.slowness <= evidence.MAX_SLOWNESS


class TestSlowness:
    """Slowness follows the observations and returns to normal."""

    def test_rises_with_slow_responses_and_decays(self):
        known = evidence.HealthEstimate(now=0.0)
        for n in range(10):
            observe(known, evidence.HealthSignal.GOOD, n / 10, slowness=5.0)
        assert known.slowness > 4.0
        known.advance(30.0)
        assert known.slowness == pytest.approx(1.0, abs=0.01)

"""Tests of the retry budget."""

import bisect

from hypothesis import given
from hypothesis import strategies as st
import pytest

import budget_model
from citronshelf_instance import retry_budget
from instance_builders import FakeClock

WINDOW_S = 10.0
EVENTS = st.lists(
    st.tuples(
        st.floats(0, 2),
        st.integers(0, 4),
        st.sampled_from(['request', 'retry']),
    ),
    max_size=200,
)


def make_budget(clock, slack=5.0, slack_from_s=0.0):
    return retry_budget.RetryBudget(
        ratio=0.2,
        slack=slack,
        window_s=WINDOW_S,
        slack_from_s=slack_from_s,
        clock=clock,
    )


class TestBudget:
    """Retries stay within the ratio and the instance's part of the slack."""

    def test_slack_is_shared(self):
        budget = make_budget(FakeClock(), slack=5.0)
        assert not budget.try_spend(instances=5)
        assert budget.try_spend(instances=4)
        assert not budget.try_spend(instances=4)

    def test_new_requests_earn_retries(self):
        budget = make_budget(FakeClock(), slack=0.0)
        for _ in range(12):
            budget.record_request()
        assert [budget.try_spend(1) for _ in range(3)] == [True, True, False]

    def test_requests_before_the_window_are_dropped(self):
        clock = FakeClock()
        budget = make_budget(clock)
        for _ in range(100):
            budget.record_request()
            clock.now += 1.0
        assert len(budget.requests) <= WINDOW_S + 1

    def test_restarted_process_has_no_slack_at_first(self):
        clock = FakeClock()
        budget = make_budget(clock, slack_from_s=clock.now + WINDOW_S)
        assert not budget.try_spend(1)
        clock.advance(WINDOW_S)
        assert budget.try_spend(1)

    def test_budget_is_restored_after_a_window(self):
        clock = FakeClock()
        budget = make_budget(clock, slack=1.25)
        assert budget.try_spend(1)
        clock.advance(WINDOW_S + 0.1)
        assert budget.try_spend(1)

    @given(EVENTS)
    def test_sum_over_instances_keeps_the_fleets_budget(self, events):
        clock = FakeClock()
        slack = 4.0
        budgets = [make_budget(clock, slack) for _ in range(5)]
        request_times_s, retry_times_s = [], []
        for gap, instance, kind in events:
            clock.advance(gap)
            if kind == 'request':
                budgets[instance].record_request()
                request_times_s.append(clock.now)
            elif budgets[instance].try_spend(len(budgets)):
                retry_times_s.append(clock.now)
                begin = clock.now - WINDOW_S
                in_window = len(retry_times_s) - bisect.bisect_left(
                    retry_times_s, begin
                )
                requests = len(request_times_s) - bisect.bisect_left(
                    request_times_s, begin
                )
                assert in_window <= 0.2 * requests + slack


class TestFleet:
    """The sum over the fleet holds whoever an instance knows."""

    # Guards against an instance that starts cut off, knows only itself and
    # takes the slack of the whole fleet.
    def test_starts_while_cut_off_spend_no_more_than_the_fleet_may(self):
        model = budget_model.FleetModel(36)
        everyone = range(36)
        model.run(everyone, rate=60, seconds=15, refused_share=0.05)
        for number in range(14):
            model.restart(number)
            model.known[number] = 1
        for number in range(14, 36):
            model.restart(number)
            model.known[number] = 22
        model.run(everyone, rate=60, seconds=12, refused_share=0.05)
        model.run(everyone, rate=83, seconds=8, refused_share=0.9)
        assert model.repeat_times_s
        assert model.largest_excess() <= 0

    # Guards against parts of a partitioned fleet that each take the whole.
    @pytest.mark.parametrize('size', [18, 12, 6, 1])
    def test_groups_that_do_not_know_each_other_keep_the_sum(self, size):
        model = budget_model.FleetModel(36)
        model.known = [size] * 36
        model.run(range(36), rate=60, seconds=20, refused_share=0.0)
        model.run(range(36), rate=83, seconds=20, refused_share=0.9)
        assert model.repeat_times_s
        assert model.largest_excess() <= 0

    # Guards against two instances that spend at different times the repeats
    # for the requests of the same callers.
    @pytest.mark.parametrize('seconds', [1.0, 1.8, 3.0, 5.0])
    def test_callers_that_move_do_not_pay_twice(self, seconds):
        model = budget_model.FleetModel(36)
        model.run(range(18), rate=120, seconds=20, refused_share=0.0)
        model.run(range(18), rate=120, seconds=seconds, refused_share=1.0)
        model.run(range(18, 36), rate=120, seconds=12, refused_share=1.0)
        assert model.repeat_times_s
        assert model.largest_excess() <= 0

    @given(st.integers(0, 2**32))
    def test_sum_holds_for_restarts_and_any_views(self, seed):
        model = budget_model.FleetModel(6, seed=seed, slack=15.0)
        rng = model.rng
        for _ in range(20):
            number = rng.randrange(6)
            model.restart(number)
            model.known[number] = rng.randint(1, 6)
            model.run(
                rng.sample(range(6), rng.randint(1, 6)),
                rate=rng.choice([2, 8, 30]),
                seconds=rng.uniform(0, 8),
                refused_share=rng.choice([0.0, 0.1, 1.0, 1.0]),
            )
        assert model.largest_excess() <= 0

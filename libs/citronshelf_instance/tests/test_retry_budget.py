"""Tests of the retry budget."""

import random

import hypothesis
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


def make_budget(clock, ratio=0.2):
    """Return a budget that has earned nothing yet."""
    budget = retry_budget.RetryBudget(
        settings=retry_budget.BudgetSettings(ratio, WINDOW_S),
        clock=clock,
        rng=random.Random(1),
    )
    budget.earned = 0.0
    return budget


def count_spent(budget):
    """Spend all credits; return how many there were."""
    return sum(iter(budget.try_spend, False))


class TestBudget:
    """Each retry is paid for by requests of the time before it."""

    def test_requests_earn_retries(self):
        budget = make_budget(FakeClock())
        for _ in range(100):
            budget.record_request()
        assert 0.7 * 20 <= count_spent(budget) <= 20

    # A restarted process does not know what its predecessor has spent.
    def test_restarted_process_has_no_credit(self):
        clock = FakeClock()
        for seed in range(20):
            budget = retry_budget.RetryBudget(
                settings=budget_model.SETTINGS,
                clock=clock,
                rng=random.Random(seed),
            )
            assert not budget.try_spend()

    # Guards against instances with less traffic than one credit needs, which
    # could never retry, or would all retry too much.
    def test_many_instances_with_one_request_earn_the_ratio_together(self):
        clock, rng = FakeClock(), random.Random(1)
        spent = 0
        for _ in range(2000):
            budget = retry_budget.RetryBudget(
                settings=budget_model.SETTINGS, clock=clock, rng=rng
            )
            budget.record_request()
            spent += budget.try_spend()
        assert 0.7 * 400 <= spent <= 400

    def test_credit_expires(self):
        clock = FakeClock()
        budget = make_budget(clock, ratio=2.0)
        budget.record_request()
        clock.advance(budget.settings.credit_life_s())
        assert not budget.try_spend()

    def test_first_credit_to_expire_is_spent_first(self):
        clock = FakeClock()
        budget = make_budget(clock)
        for seconds in (3.0, 1.0, 2.0):
            budget.add_credit(clock.now + seconds)
        assert budget.try_spend()
        clock.advance(1.5)
        assert count_spent(budget) == 2

    def test_requests_before_the_window_are_dropped(self):
        clock = FakeClock()
        budget = make_budget(clock)
        for _ in range(100):
            budget.record_request()
            clock.now += 1.0
        assert len(budget.requests) <= WINDOW_S + 1

    def test_changed_settings_apply_to_later_requests(self):
        clock = FakeClock()
        budgets = retry_budget.RetryBudgets(
            settings=retry_budget.BudgetSettings(0.0, WINDOW_S),
            clock=clock,
            rng=random.Random(1),
        )
        for ratio, spent in ((0.0, False), (2.0, True)):
            budgets.set_settings(retry_budget.BudgetSettings(ratio, WINDOW_S))
            budgets.get('ledger').record_request()
            assert budgets.get('ledger').try_spend() == spent

    @hypothesis.settings(deadline=None, derandomize=True)
    @given(EVENTS)
    def test_sum_over_instances_keeps_the_fleets_budget(self, events):
        model = budget_model.FleetModel(5, slack=4.0)
        for gap_s, instance, kind in events:
            model.clock.advance(gap_s)
            if kind == 'request':
                model.request(instance, refused=False)
            else:
                model.repeat(instance)
        assert model.largest_excess() <= 0


def run_starts_while_cut_off():
    """Return a fleet that restarted in a cut, before servers refused."""
    model = budget_model.FleetModel(36)
    everyone = range(36)
    model.run(everyone, rate=60, seconds=15, refused_share=0.05)
    for number in everyone:
        model.restart(number)
        model.groups[number] = number if number < 14 else 36
    model.run(everyone, rate=60, seconds=12, refused_share=0.05)
    model.run(everyone, rate=83, seconds=8, refused_share=0.9)
    return model


class TestFleet:
    """The sum over the fleet holds whoever an instance knows."""

    # Guards against an instance that starts cut off, knows only itself and
    # takes the slack of the whole fleet.
    def test_starts_while_cut_off_spend_no_more_than_the_fleet_may(self):
        model = run_starts_while_cut_off()
        assert model.repeat_times_s
        assert model.largest_excess() <= 0

    # Guards against parts of a partitioned fleet that each take the whole.
    @pytest.mark.parametrize('size', [18, 12, 6, 1])
    def test_groups_that_do_not_know_each_other_keep_the_sum(self, size):
        model = budget_model.FleetModel(36)
        model.groups = [number // size for number in range(36)]
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

    @hypothesis.settings(deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_sum_holds_for_restarts_and_any_views(self, seed):
        model = budget_model.FleetModel(6, seed=seed, slack=15.0)
        rng = model.rng
        for _ in range(20):
            number = rng.randrange(6)
            model.restart(number)
            model.groups[number] = rng.randrange(3)
            model.loss = rng.choice([0.0, 0.5])
            model.run(
                rng.sample(range(6), rng.randint(1, 6)),
                rate=rng.choice([2, 8, 30]),
                seconds=rng.uniform(0, 8),
                refused_share=rng.choice([0.0, 0.1, 1.0, 1.0]),
            )
        assert model.largest_excess() <= 0


class TestKeptCredits:
    """Credits without a time limit keep the sum within ratio and slack.

    They answer servers that all shed a share of their arrivals at random.
    """

    def test_window_has_the_kept_credits_and_the_ratio(self):
        clock = FakeClock()
        budget = make_budget(clock)
        budget.settings = budget_model.KEEPING
        for _ in range(100):
            budget.record_request()
        clock.advance(1000.0)
        assert count_spent(budget) == 1
        for _ in range(100):
            budget.record_request()
            count_spent(budget)
        assert len(budget.retries) <= 1.5 + 0.2 * 100

    # Guards against retries that stop although the fleet's bound has room.
    def test_more_is_retried_while_all_servers_shed(self):
        retries = []
        for settings in (budget_model.SETTINGS, budget_model.KEEPING):
            model = budget_model.FleetModel(
                128, slack=212.0, settings=settings
            )
            everyone = range(128)
            model.run(everyone, rate=243, seconds=20, refused_share=0.0)
            model.run(everyone, rate=243, seconds=12, refused_share=0.55)
            assert model.largest_excess() <= 0
            retries.append(len(model.repeat_times_s))
        assert retries[1] > 1.15 * retries[0]

    # Guards against groups of instances that each spend the whole slack.
    @pytest.mark.parametrize('size', [36, 18, 6, 1])
    def test_groups_keep_the_sum(self, size):
        model = budget_model.FleetModel(36, settings=budget_model.KEEPING)
        model.groups = [number // size for number in range(36)]
        model.run(range(36), rate=60, seconds=20, refused_share=0.0)
        model.run(range(36), rate=83, seconds=20, refused_share=0.9)
        assert model.repeat_times_s
        assert model.largest_excess() <= 0

    @pytest.mark.parametrize('seconds', [1.0, 3.0, 5.0])
    def test_callers_that_move_do_not_pay_twice(self, seconds):
        model = budget_model.FleetModel(36, settings=budget_model.KEEPING)
        model.run(range(18), rate=120, seconds=20, refused_share=0.0)
        model.run(range(18), rate=120, seconds=seconds, refused_share=1.0)
        model.run(range(18, 36), rate=120, seconds=12, refused_share=1.0)
        assert model.largest_excess() <= 0

    # Guards against a restarted process that spends the slack again. Each of
    # the six instances may keep 1.5 credits; 6 more are for the part of a
    # credit with which each of the restarted processes begins.
    @hypothesis.settings(deadline=None, derandomize=True)
    @given(st.integers(0, 2**32))
    def test_sum_holds_for_restarts_and_any_views(self, seed):
        model = budget_model.FleetModel(
            6, seed=seed, slack=15.0, settings=budget_model.KEEPING
        )
        rng = model.rng
        for _ in range(20):
            number = rng.randrange(6)
            model.restart(number)
            model.groups[number] = rng.randrange(3)
            model.loss = rng.choice([0.0, 0.5])
            model.run(
                rng.sample(range(6), rng.randint(1, 6)),
                rate=rng.choice([2, 8, 30]),
                seconds=rng.uniform(0, 8),
                refused_share=rng.choice([0.0, 0.1, 1.0, 1.0]),
            )
        assert model.largest_excess() <= 0

    def test_too_many_kept_credits_are_detected(self):
        settings = budget_model.KEEPING._replace(kept_credits=4.0)
        model = budget_model.FleetModel(36, settings=settings)
        model.run(range(36), rate=60, seconds=60, refused_share=0.0)
        model.run(range(36), rate=60, seconds=10, refused_share=1.0)
        assert model.largest_excess() > 0


def keep_lent_credits(budget):
    """Mutation: a lent credit stays with its lender."""
    budget.expire(budget.clock())
    return 1.0 if budget.expiries_s else None


class TestMutations:
    """The sum over the fleet is exceeded under each mutation."""

    def test_lent_credits_that_stay_are_detected(self, monkeypatch):
        monkeypatch.setattr(
            retry_budget.RetryBudget, 'pop_credit', keep_lent_credits
        )
        assert run_starts_while_cut_off().largest_excess() > 0

    @pytest.mark.parametrize(
        'method, value',
        [('credits_per_request', 0.5), ('credit_life_s', 60.0)],
    )
    def test_other_settings_are_detected(self, monkeypatch, method, value):
        monkeypatch.setattr(
            retry_budget.BudgetSettings, method, lambda settings: value
        )
        model = budget_model.FleetModel(36)
        model.run(range(36), rate=60, seconds=60, refused_share=0.0)
        model.run(range(36), rate=60, seconds=10, refused_share=1.0)
        assert model.largest_excess() > 0

    def test_credits_at_the_start_are_detected(self, monkeypatch):
        original = budget_model.FleetModel.restart

        def restart(model, number):
            original(model, number)
            for _ in range(10):
                model.budgets[number].add_credit(model.clock.now + 30.0)

        monkeypatch.setattr(budget_model.FleetModel, 'restart', restart)
        assert run_starts_while_cut_off().largest_excess() > 0

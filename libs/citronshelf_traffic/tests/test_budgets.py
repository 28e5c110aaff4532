"""Tests of retry and hedge budgets, account limits and the region link."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from citronshelf_traffic import accounts as accounts_module
from citronshelf_traffic import budgets
from citronshelf_traffic import token_bucket
from citronshelf_traffic import work as work_module

Ending = work_module.Ending
SETTINGS = settings(
    derandomize=True, database=None, max_examples=150, deadline=None
)
STEPS = st.lists(st.sampled_from(['fresh', 'spend']), max_size=200)


def check_share(steps):
    budget = budgets.RetryBudget(percent=10)
    fresh = spent = 0
    for step in steps:
        if step == 'fresh':
            budget.record_new_request()
            fresh += 1
        elif budget.try_spend():
            spent += 1
        assert spent <= fresh * 0.1 + 1e-6


def check_accounts(build, steps, instances=2, rate=4.0, burst=6):
    """Compare the admitted requests of each account with its limit."""
    limiter = accounts_module.AccountLimiter(
        accounts=build.accounts(rate, burst, big=(8.0, 20)),
        clock=build.clock,
        max_buckets=3,
    )
    limiter.set_entry_instances(instances)
    passed = {}
    for account, pause in steps:
        build.now += pause
        if limiter.admit(account).is_ok():
            passed[account] = passed.get(account, 0) + 1
        assert len(limiter.buckets) <= 3
        limit = limiter.accounts.limit_of(account)
        allowed = limit.burst + limit.requests_per_second * build.now
        # An account may use the shared bucket first and its own later.
        assert passed.get(account, 0) <= 2 * allowed / instances + 1e-6


ACCOUNT_STEPS = st.lists(
    st.tuples(
        st.sampled_from(['a', 'b', 'c', 'd', 'e', 'big']),
        st.sampled_from([0.0, 0.0, 0.05, 0.5]),
    ),
    max_size=120,
)


class TestRetryBudget:
    """Retries are a share of new requests and follow unexecuted ones."""

    @SETTINGS
    @given(STEPS)
    def test_share(self, steps):
        check_share(steps)

    def test_ten_requests_allow_one_retry(self):
        budget = budgets.RetryBudget(percent=10)
        for _ in range(10):
            assert not budget.try_spend()
            budget.record_new_request()
        assert budget.try_spend()

    def test_saved_retries_are_bounded(self):
        budget = budgets.RetryBudget(percent=100)
        for _ in range(1000):
            budget.record_new_request()
        assert (
            sum(budget.try_spend() for _ in range(100)) == budgets.MAX_BALANCE
        )

    @pytest.mark.parametrize(
        'ending', [Ending.FAILED, Ending.CANCELLED, Ending.ANSWERED]
    )
    def test_work_that_may_have_run_is_not_retried(self, build, ending):
        budget = budgets.RetryBudget(percent=100)
        budget.record_new_request()
        work = build.work()
        assert not budget.try_spend_retry(work, ending)
        assert not budgets.may_choose_again(
            ending, work, frozenset(), 0.0, budget
        )

    def test_server_choices_per_request_are_limited(self, build):
        budget = budgets.RetryBudget(percent=10)
        tried = frozenset(map(str, range(budgets.MAX_CHOICES - 1)))
        work = build.work()
        arguments = (Ending.SHED, work, frozenset('1'))
        assert budgets.may_choose_again(*arguments, 0.0, budget)
        assert not budgets.may_choose_again(
            Ending.SHED, work, tried, 0.0, budget
        )
        assert not budgets.may_choose_again(*arguments, 9.0, budget)

    @pytest.mark.parametrize(
        'ending, tried, free',
        [
            (Ending.SHED, 6, True),
            (Ending.DRAINING, 6, True),
            (Ending.REFUSED, 1, True),
            (Ending.REFUSED, 2, False),
            (Ending.NO_SERVER, 0, False),
        ],
    )
    def test_only_some_endings_spend_budget(self, build, ending, tried, free):
        names = frozenset(map(str, range(tried)))
        for saved in (0, 1):
            budget = budgets.RetryBudget(percent=100)
            budget.balance = saved
            assert budgets.may_choose_again(
                ending, build.work(), names, 0.0, budget
            ) == (free or saved == 1)
            assert budget.balance == (saved if free else 0)

    def test_check_detects_unlimited_budget(self, monkeypatch):
        monkeypatch.setattr(budgets.ShareBudget, 'can_spend', lambda b: True)
        with pytest.raises(AssertionError):
            check_share(['spend'])


class TestHedgeBudget:
    """Only idempotent stragglers are hedged, while no request waits."""

    def make_budget_with_latencies(self, build, percent=50):
        budget = budgets.HedgeBudget(percent=percent)
        work = build.work()
        for number in range(100):
            budget.record_latency(work, 0.01 * (number % 10 + 1))
            budget.record_new_request()
        return budget, work

    def test_hedges_stragglers_while_no_request_waits(self, build):
        budget, work = self.make_budget_with_latencies(build)
        assert budget.delay_s(work) == pytest.approx(0.1)
        assert not budget.try_spend_hedge(work, 0.05, is_busy=False)
        assert budget.try_spend_hedge(work, 0.2, is_busy=False)
        assert not budget.try_spend_hedge(work, 0.2, is_busy=True)

    def test_requests_that_are_never_hedged(self, build):
        budget, work = self.make_budget_with_latencies(build)
        assert budget.delay_s(work._replace(idempotent=False)) is None
        assert budget.delay_s(work._replace(request_class='new')) is None
        assert (
            self.make_budget_with_latencies(build, percent=0)[0].delay_s(work)
            is None
        )


class TestAccountLimiter:
    """No account exceeds its rate, and the buckets are bounded."""

    @SETTINGS
    @given(ACCOUNT_STEPS)
    def test_rate(self, steps):
        check_accounts(self.builder(), steps)

    @pytest.fixture(autouse=True)
    def keep_builder(self, builder):
        type(self).builder = builder

    def test_rate_is_divided_among_instances(self, build):
        limiter = accounts_module.AccountLimiter(
            accounts=build.accounts(50.0, 72), clock=build.clock
        )
        limiter.set_entry_instances(36)
        passed = [limiter.admit('a').is_ok() for _ in range(4)]
        assert passed == [True, True, False, False]
        assert limiter.admit('a').error.retry_after_s == pytest.approx(0.72)

    def test_catches_evicted_spent_bucket(self, build, monkeypatch):
        def evict(limiter, now):
            limiter.buckets.popitem(last=False)
            return True

        monkeypatch.setattr(accounts_module.AccountLimiter, 'evict', evict)
        steps = [(name, 0.0) for name in 'abcd' * 30]
        with pytest.raises(AssertionError):
            check_accounts(build, steps)

    def test_catches_undivided_rate(self, build, monkeypatch):
        monkeypatch.setattr(
            accounts_module.AccountLimiter,
            'set_entry_instances',
            lambda limiter, count: None,
        )
        with pytest.raises(AssertionError):
            check_accounts(build, [('a', 0.0)] * 20, instances=4)


class TestTokenBucket:
    """Spent tokens are not restored when the rate changes."""

    def test_resize_keeps_the_number_of_spent_tokens(self):
        bucket = token_bucket.TokenBucket(rate=1, depth=10, now=0)
        assert bucket.try_spend(8, 0)
        bucket.resize(rate=1, depth=20, now=0)
        assert bucket.tokens == 12
        bucket.resize(rate=1, depth=4, now=0)
        assert not bucket.try_spend(1, 0)


class TestRegionLink:
    """Requests stay within the share of the link; large bodies are denied."""

    def test_large_response_prevents_next_reservation(self, build):
        link = build.link()
        work = build.work(max_response_bytes=5_000_000)
        assert link.reserve(work).is_ok()
        link.record_response_size('issue', 3_000_000)
        assert link.reserve(work).error == 'body'

    def test_actual_size_is_charged(self, build):
        link = build.link(max_body_bytes=4096)
        link.record_response_size('issue', 100)
        reservation = link.reserve(build.work()).ok
        link.settle(reservation, 10_000_000)
        assert link.reserve(build.work()).error == 'budget'

    def test_policy_never_denies_reservations(self, build):
        assert build.link(policy='never').reserve(build.work()).is_error()

"""Retry budgets, paid for by the requests of callers."""

import bisect
import collections
import random
from typing import NamedTuple

# A credit that no retry needs is lost after this share of a window.
CREDIT_LIFE_SHARE = 0.25
# A lender that keeps credits may earn another one while a borrower holds the
# lent one, so that more are kept in all. Borrowers usually spend it at once.
BORROWED_LIFE_S = 0.2


class BudgetSettings(NamedTuple):
    """Settings of the fleet-wide retry budget of each service.

    Attributes
    ----------
    ratio : float
        Retries per new request.
    window_s : float
        Length of the windows in which the ratio must hold.
    kept_credits : float or None
        Credits that each instance may keep without a time limit, at least 1.
        A window can have this many retries of each instance above the ratio.
        If None, credits expire instead.
    """

    ratio: float
    window_s: float
    kept_credits: float | None = None

    def credit_life_s(self) -> float:
        """Return how long a credit may be spent, in seconds.

        For budgets that keep credits, this is the time for which a borrowed
        credit may be spent.
        """
        if self.kept_credits is not None:
            return BORROWED_LIFE_S
        return CREDIT_LIFE_SHARE * self.window_s

    def credits_per_request(self) -> float:
        """Return the credits that each request earns.

        If credits expire, a window can spend those of its own requests and of
        the requests in one ``credit_life_s`` before it.
        """
        if self.kept_credits is not None:
            return self.ratio
        return self.ratio / (1 + CREDIT_LIFE_SHARE)


class RetryBudget:
    """Retry credits of this instance for one service.

    In any window, the fleet may retry ``ratio`` of its new requests. Each
    request earns a part of a credit on the instance that got it, and each
    retry costs one that was earned recently. No two retries are paid for by
    the same request, so the total over the fleet holds without any knowledge
    of other instances: while they cannot reach each other, restart, or hand
    over their callers.

    With ``kept_credits`` the budget is a token bucket that is filled by
    requests. In any window an instance retries at most ``ratio`` of its
    requests in this window and ``kept_credits`` more.

    Parameters
    ----------
    settings : BudgetSettings
    clock : callable
        Monotonic seconds.
    rng : random.Random

    Attributes
    ----------
    earned : float
        Part of the next credit; with ``kept_credits``, all credits that this
        instance has earned and not spent.
    expiries_s : list of float
        Monotonic times at which the other credits expire, sorted.
    requests, retries : collections.deque of float
        Monotonic times within the last window, for logs.
    """

    def __init__(self, *, settings: BudgetSettings, clock, rng: random.Random):
        self.settings = settings
        self.clock = clock
        # Instances with few requests, and those that restart often, would
        # otherwise all lose the part that they have not completed.
        self.earned = rng.random()
        self.expiries_s: list[float] = []
        self.requests: collections.deque[float] = collections.deque()
        self.retries: collections.deque[float] = collections.deque()

    def record_request(self) -> None:
        """Record a new request of a caller, which earns a part of a credit."""
        now = self.clock()
        self.expire(now)
        self.requests.append(now)
        self.earned += self.settings.credits_per_request()
        if self.settings.kept_credits is not None:
            self.earned = min(self.earned, self.settings.kept_credits)
            return
        while self.earned >= 1:
            self.earned -= 1
            self.add_credit(now + self.settings.credit_life_s())

    def add_credit(self, expires_s: float) -> None:
        """Add a credit that may be spent before a monotonic time.

        It is kept without a time limit if ``kept_credits`` allows one more.
        """
        kept_credits = self.settings.kept_credits
        if kept_credits is not None and self.earned + 1 <= kept_credits:
            self.earned += 1
        else:
            bisect.insort(self.expiries_s, expires_s)

    def try_spend(self) -> bool:
        """Spend one credit on a retry; return False if there is none."""
        if self.pop_credit() is None:
            return False
        self.retries.append(self.clock())
        return True

    def pop_credit(self) -> float | None:
        """Remove a credit; return its remaining validity in seconds.

        Returns None if there is no credit.
        """
        now = self.clock()
        self.expire(now)
        if self.expiries_s:
            return self.expiries_s.pop(0) - now
        if self.settings.kept_credits is None or self.earned < 1:
            return None
        self.earned -= 1
        return self.settings.credit_life_s()

    def count_credits(self) -> int:
        """Return how many retries the budget could pay for now."""
        self.expire(self.clock())
        kept = 0 if self.settings.kept_credits is None else int(self.earned)
        return len(self.expiries_s) + kept

    def expire(self, now: float) -> None:
        """Drop expired credits and the times before the last window."""
        del self.expiries_s[: bisect.bisect_right(self.expiries_s, now)]
        for times_s in (self.requests, self.retries):
            while times_s and times_s[0] < now - self.settings.window_s:
                times_s.popleft()


class RetryBudgets:
    """Retry budgets by service.

    Parameters
    ----------
    settings : BudgetSettings
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(self, *, settings: BudgetSettings, clock, rng: random.Random):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.by_service: dict[str, RetryBudget] = {}

    def get(self, service: str) -> RetryBudget:
        """Return the budget of a service, created on first use."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = self.by_service[service] = RetryBudget(
                settings=self.settings, clock=self.clock, rng=self.rng
            )
        return budget

    def find(self, service: str) -> RetryBudget | None:
        """Return the budget of a service that had requests, or None."""
        return self.by_service.get(service)

    def set_settings(self, settings: BudgetSettings) -> None:
        """Change the settings; credits that are earned stay valid."""
        self.settings = settings
        for budget in self.by_service.values():
            budget.settings = settings

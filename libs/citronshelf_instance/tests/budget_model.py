"""Fleet of retry budgets without network, and the rule that it must keep."""

import bisect
import random

from citronshelf_instance import retry_budget
from citronshelf_instance import retry_loans
from instance_builders import FakeClock

RATIO = 0.2
SLACK = 58.0
WINDOW_S = 10.0
SETTINGS = retry_budget.BudgetSettings(RATIO, WINDOW_S)
KEEPING = SETTINGS._replace(kept_credits=1.5)
LENDERS = 16


class FleetModel:
    """Instances that get requests and repeat those that a server refused.

    Parameters
    ----------
    instances : int
    seed : int
    slack : float
    settings : BudgetSettings

    Attributes
    ----------
    groups : list of int
        Group of each instance; only instances of a group reach each other.
    loss : float
        Share of the credits that are lost on their way.
    request_times_s, repeat_times_s : list of float
    """

    def __init__(self, instances, *, seed=1, slack=SLACK, settings=SETTINGS):
        self.slack = slack
        self.settings = settings
        self.clock = FakeClock()
        self.rng = random.Random(seed)
        self.groups = [0] * instances
        self.loss = 0.0
        self.budgets = [None] * instances
        self.request_times_s = []
        self.repeat_times_s = []
        for number in range(instances):
            self.restart(number)

    def restart(self, number):
        """Start an instance, in place of its previous process if any."""
        self.budgets[number] = retry_budget.RetryBudget(
            settings=self.settings, clock=self.clock, rng=self.rng
        )

    def request(self, number, *, refused):
        """Let an instance get a request; repeat it if it is refused.

        Returns whether it was repeated.
        """
        self.request_times_s.append(self.clock.now)
        self.budgets[number].record_request()
        return refused and self.repeat(number)

    def repeat(self, number):
        """Repeat a request if the budget allows it; return whether it did."""
        allowed = self.budgets[number].try_spend() or self.borrow(number)
        if allowed:
            self.repeat_times_s.append(self.clock.now)
        return allowed

    def borrow(self, number):
        """Spend a credit of another instance; return whether one had any."""
        lenders = [
            other
            for other, group in enumerate(self.groups)
            if other != number and group == self.groups[number]
        ]
        rounds = [LENDERS]
        if self.settings.kept_credits is not None:
            rounds = [*retry_loans.FIRST_ASKED, LENDERS]
        for limit in rounds:
            asked = self.rng.sample(lenders, min(limit, len(lenders)))
            for lender in asked:
                valid_s = self.budgets[lender].pop_credit()
                if valid_s is not None and self.rng.random() >= self.loss:
                    self.budgets[number].add_credit(self.clock.now + valid_s)
            if self.budgets[number].try_spend():
                return True
        return False

    def run(self, numbers, *, rate, seconds, refused_share):
        """Send requests to random instances of ``numbers`` for a time."""
        for _ in range(round(rate * seconds)):
            self.clock.advance(1 / rate)
            self.request(
                self.rng.choice(numbers),
                refused=self.rng.random() < refused_share,
            )

    def largest_excess(self):
        """Return the most repeats above the allowed ones in any window."""
        return max(map(self.excess_from, self.repeat_times_s), default=0.0)

    def excess_from(self, begin_s):
        """Return how many repeats too many a window has from a time on.

        The requests are those of that window, of the one before it or of the
        one that begins half a window earlier, whichever has most.
        """
        requests = max(
            count_between(self.request_times_s, begin_s - back_s)
            for back_s in (0.0, WINDOW_S / 2, WINDOW_S)
        )
        repeats = count_between(self.repeat_times_s, begin_s)
        return repeats - (RATIO * requests + self.slack)


def count_between(times_s, begin_s):
    """Return how many of the sorted times lie in the window from a time."""
    end = bisect.bisect_left(times_s, begin_s + WINDOW_S)
    return end - bisect.bisect_left(times_s, begin_s)

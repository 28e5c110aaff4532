"""Fair shares of client accounts in what a priority class may send.

They answer one account that sends far more than usual: its requests are
refused before those of the others.
"""

import math
import random

# Time constant of the counts of requests.
COUNT_DECAY_S = 3.0
# Accounts whose decayed count is smaller are forgotten.
MIN_COUNT = 0.02
# Limit on the accounts that are counted at a time; others share one count.
MAX_ACCOUNTS = 1000
OTHER_ACCOUNTS = ''
# Less than this of the requests admitted means that an account is refused
# more than the others of its class.
OVER_SHARE = 0.7


class AccountCount:
    """Recent requests of one account in one priority class.

    Attributes
    ----------
    count : float
        Decayed number of requests.
    due : float
        Part of a request that may be admitted; it is spent from 1 on.
    is_over_share : bool
        It was last found to send far more than its fair share.
    """

    def __init__(self, *, due: float):
        self.count = 0.0
        self.due = due
        self.is_over_share = False


class FairShares:
    """Divides the admitted share of a class among its accounts.

    Parameters
    ----------
    rng : random.Random
    weight_of : callable
        Returns the weight of an account: usually its permitted rate.

    Attributes
    ----------
    level : float
        Requests in proportion to the weight that an account may send; those
        beyond it are refused.
    """

    def __init__(self, *, rng: random.Random, weight_of):
        self.rng = rng
        self.weight_of = weight_of
        self.accounts: dict[str, AccountCount] = {}
        self.updated_s = 0.0
        self.level = math.inf

    def record(self, account: str | None) -> str:
        """Count a request; return the name by which its account is counted."""
        name = account or OTHER_ACCOUNTS
        if name not in self.accounts:
            if len(self.accounts) >= MAX_ACCOUNTS:
                name = OTHER_ACCOUNTS
            if name not in self.accounts:
                self.accounts[name] = AccountCount(due=self.rng.random())
        self.accounts[name].count += 1.0
        return name

    def update(self, now: float, admitted_share: float) -> None:
        """Decay the counts and compute the level for a share to admit."""
        kept = math.exp(-max(0.0, now - self.updated_s) / COUNT_DECAY_S)
        self.updated_s = now
        for name, counted in list(self.accounts.items()):
            counted.count *= kept
            if counted.count < MIN_COUNT:
                del self.accounts[name]
        self.level = self.find_level(admitted_share)

    def find_level(self, admitted_share: float) -> float:
        """Return the level at which ``admitted_share`` is admitted.

        Each account gets its requests, or its weight times the level if that
        is less.
        """
        if admitted_share >= 1.0:
            return math.inf
        demands = [
            (counted.count, self.weight_of(name))
            for name, counted in self.accounts.items()
        ]
        total = sum(count for count, _ in demands)
        demands.sort(key=lambda demand: demand[0] / demand[1])
        left = admitted_share * total
        weight = sum(one_weight for _, one_weight in demands)
        for count, one_weight in demands:
            if count / one_weight * weight > left:
                return left / weight
            left -= count
            weight -= one_weight
        return math.inf

    def admitted_share(self, name: str, min_share: float) -> float:
        """Return the share of an account's requests to admit."""
        count = self.accounts[name].count
        if math.isinf(self.level) or not count:
            return 1.0
        return max(
            min_share, min(1.0, self.weight_of(name) * self.level / count)
        )

    def try_admit(self, name: str, share: float) -> bool:
        """Return whether a request is admitted, with ``share`` of them all.

        Admitted requests are spaced evenly, so that the share also holds for
        few requests.
        """
        counted = self.accounts[name]
        counted.due += share
        if counted.due < 1.0:
            return False
        counted.due -= 1.0
        return True

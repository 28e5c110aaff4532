"""Retry credits that instances lend each other."""

import asyncio
from collections.abc import Callable
import random

from citronshelf_instance import retry_budget

# A retry waits this long for a credit of the own region, and then of another.
# Messages take 2 ms and 42 ms there and back on the users' sites, and an
# instance may be busy for some time.
LOAN_TIMEOUT_S = 0.1
# After a request without success, none is sent for the service for this long:
# while all instances need credits, asking brings none.
LOAN_PAUSE_S = 0.1
# Instances that are asked first if each keeps credits without a time limit.
# Usually one of them has a credit; those of the others would be lost, since a
# borrowed credit expires soon.
FIRST_ASKED = (2, 6)


class PendingLoan:
    """A request for a credit that has been sent to other instances.

    Attributes
    ----------
    service : str
    asked_s : float
        Monotonic time at which it was sent.
    unanswered : int
        Instances that have not replied.
    decided : asyncio.Event
        Set when a credit has arrived or nobody has one.
    """

    def __init__(self, *, service: str, asked_s: float):
        self.service = service
        self.asked_s = asked_s
        self.unanswered = 0
        self.is_granted = False
        self.decided = asyncio.Event()


class RetryLoans:
    """Borrows retry credits from other instances and lends to them.

    A credit is removed from the lender's budget before it is sent, and is lost
    if the message is. So loans never add to the retries of the fleet.

    Parameters
    ----------
    budgets : RetryBudgets
    ask : callable
        Asks other instances for a credit, with the service, the number of the
        request, ``is_remote`` and ``limit``, the most instances to ask or
        None; returns how many were asked.
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        budgets: retry_budget.RetryBudgets,
        ask: Callable[..., int],
        clock,
        rng: random.Random,
    ):
        self.budgets = budgets
        self.ask = ask
        self.clock = clock
        # Replies to a previous process must not match a request of this one.
        self.last_number = rng.getrandbits(48)
        self.pending: dict[int, PendingLoan] = {}
        self.paused_until_s: dict[str, float] = {}

    async def borrow(self, service: str) -> None:
        """Try to add a credit of another instance to the budget.

        Instances of other regions are asked only if the own region has none.
        """
        now = self.clock()
        if now < self.paused_until_s.get(service, now):
            return
        for is_remote, limit in self.rounds():
            if await self.borrow_from(
                service, is_remote=is_remote, limit=limit
            ):
                return
        self.paused_until_s[service] = self.clock() + LOAN_PAUSE_S

    def rounds(self) -> list[tuple[bool, int | None]]:
        """Return ``is_remote`` and ``limit`` of the requests to send."""
        first = []
        if self.budgets.settings.kept_credits is not None:
            first = [(False, limit) for limit in FIRST_ASKED]
        return [*first, (False, None), (True, None)]

    async def borrow_from(
        self, service: str, *, is_remote: bool, limit: int | None = None
    ) -> bool:
        """Ask some instances; return whether one of them lent a credit.

        Returns once a credit has arrived, all instances that were asked have
        none, or after ``LOAN_TIMEOUT_S``.
        """
        self.last_number += 1
        number = self.last_number
        loan = self.pending[number] = PendingLoan(
            service=service, asked_s=self.clock()
        )
        try:
            loan.unanswered = self.ask(
                service, number, is_remote=is_remote, limit=limit
            )
            if loan.unanswered:
                async with asyncio.timeout(LOAN_TIMEOUT_S):
                    await loan.decided.wait()
        except TimeoutError:
            pass
        finally:
            del self.pending[number]
        return loan.is_granted

    def lend(self, service: str) -> float | None:
        """Remove a credit for another instance from the budget.

        Returns
        -------
        float or None
            Seconds for which it is still valid; None if there is none.
        """
        budget = self.budgets.find(service)
        return budget.pop_credit() if budget is not None else None

    def receive(self, number: int, valid_s: float | None) -> None:
        """Handle the reply of an instance to a request for a credit.

        Replies that arrive too late are ignored. The validity counts from the
        time of the request, so that no delay of a message extends it.
        """
        loan = self.pending.get(number)
        if loan is None:
            return
        loan.unanswered -= 1
        if valid_s is not None:
            loan.is_granted = True
            budget = self.budgets.get(loan.service)
            life_s = min(valid_s, budget.settings.credit_life_s())
            budget.add_credit(loan.asked_s + life_s)
        if loan.is_granted or loan.unanswered <= 0:
            loan.decided.set()

"""Tests of retry credits that instances lend each other."""

import asyncio
import random

import pytest

from citronshelf_instance import retry_budget
from citronshelf_instance import retry_loans
from citronshelf_traffic import virtual_loop

SETTINGS = retry_budget.BudgetSettings(0.2, 10.0)
SERVICE = 'ledger'


class Instance:
    """One instance whose requests for credits are kept in ``asked``."""

    def __init__(self, peers=4):
        self.remote_peers = 0
        self.clock = asyncio.get_running_loop().time
        self.peers = peers
        self.asked = []
        self.budgets = retry_budget.RetryBudgets(
            settings=SETTINGS, clock=self.clock, rng=random.Random(1)
        )
        self.loans = retry_loans.RetryLoans(
            budgets=self.budgets,
            ask=self.ask,
            clock=self.clock,
            rng=random.Random(1),
        )

    def ask(self, service, number, *, is_remote, limit):
        peers = self.remote_peers if is_remote else self.peers
        if peers:
            self.asked.append((service, number))
        return peers

    def reply(self, *validities_s):
        """Deliver replies to the last request."""
        for valid_s in validities_s:
            self.loans.receive(self.asked[-1][1], valid_s)

    async def borrow(self, replies, after_s=0.002):
        """Borrow while replies arrive after a time.

        Returns the seconds it took and whether there is a credit then.
        """
        began_s = self.clock()
        borrowing = asyncio.create_task(self.loans.borrow(SERVICE))
        await asyncio.sleep(after_s)
        self.reply(*replies)
        await borrowing
        elapsed_s = round(self.clock() - began_s, 3)
        return elapsed_s, self.budgets.get(SERVICE).try_spend()


def run(scenario):
    """Run a scenario with an instance in virtual time."""

    async def start():
        return await scenario(Instance())

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        return runner.run(start())


class TestBorrowing:
    """A retry waits a short time for a credit of another instance."""

    @pytest.mark.parametrize(
        'replies, elapsed_s, has_credit',
        [
            ((1.0,), 0.002, True),
            ((None, 1.0), 0.002, True),
            ((None, None, None, None), 0.002, False),
            ((None, None, None), retry_loans.LOAN_TIMEOUT_S, False),
        ],
    )
    def test_wait_ends_with_the_first_credit_or_the_last_reply(
        self, replies, elapsed_s, has_credit
    ):
        result = run(lambda instance: instance.borrow(replies))
        assert result == (elapsed_s, has_credit)

    def test_other_regions_are_asked_if_the_own_one_has_none(self):
        async def scenario(instance):
            instance.remote_peers = 2
            borrowing = asyncio.create_task(instance.loans.borrow(SERVICE))
            await asyncio.sleep(0.002)
            instance.reply(None, None, None, None)
            await asyncio.sleep(0.04)
            instance.reply(None, 1.5)
            await borrowing
            return len(instance.asked), instance.budgets.get(SERVICE)

        asked, budget = run(scenario)
        assert (asked, len(budget.expiries_s)) == (2, 1)

    def test_without_peers_there_is_no_wait(self):
        async def scenario(instance):
            instance.peers = 0
            began_s = instance.clock()
            await instance.loans.borrow(SERVICE)
            return instance.clock() - began_s

        assert run(scenario) == 0

    # Guards against messages without end while all instances need credits.
    def test_nobody_is_asked_for_a_while_after_a_failure(self):
        async def scenario(instance):
            for _ in range(10):
                await instance.borrow([None] * 4, after_s=0.0)
            asked = len(instance.asked)
            await asyncio.sleep(retry_loans.LOAN_PAUSE_S)
            return asked, await instance.borrow([1.0]), len(instance.asked)

        asked, (_, has_credit), asked_later = run(scenario)
        assert (asked, has_credit, asked_later) == (1, True, 2)

    def test_cancelled_request_leaves_nothing(self):
        async def scenario(instance):
            task = asyncio.create_task(instance.loans.borrow(SERVICE))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return instance.loans.pending

        assert run(scenario) == {}


class TestKeptCredits:
    """Lenders that keep credits are asked a few at a time."""

    # Guards against credits of many lenders that one retry uses up, since a
    # borrowed credit expires soon.
    def test_few_are_asked_first(self):
        async def scenario(instance):
            instance.budgets.set_settings(SETTINGS._replace(kept_credits=1.5))
            limits = []

            def ask(service, number, *, is_remote, limit):
                limits.append((is_remote, limit))
                return 0

            instance.loans.ask = ask
            await instance.loans.borrow(SERVICE)
            return limits

        assert run(scenario) == [
            *((False, limit) for limit in retry_loans.FIRST_ASKED),
            (False, None),
            (True, None),
        ]


class TestConservation:
    """Loans never add to the credits of the fleet."""

    def test_lent_credit_is_gone(self):
        async def scenario(instance):
            budget = instance.budgets.get(SERVICE)
            budget.add_credit(instance.clock() + 2.0)
            await asyncio.sleep(0.5)
            lent = [instance.loans.lend(SERVICE) for _ in range(2)]
            return lent, budget.try_spend()

        assert run(scenario) == ([1.5, None], False)

    def test_asking_for_an_unknown_service_creates_no_budget(self):
        async def scenario(instance):
            return instance.loans.lend('other'), instance.budgets.by_service

        assert run(scenario) == (None, {})

    # Guards against a message that is held up and extends the validity of a
    # credit, so that a later window spends it.
    def test_validity_counts_from_the_request(self):
        async def scenario(instance):
            borrowing = asyncio.create_task(instance.loans.borrow(SERVICE))
            await asyncio.sleep(0.09)
            instance.reply(0.08)
            await borrowing
            return instance.budgets.get(SERVICE).try_spend()

        assert run(scenario) is False

    def test_reply_after_the_timeout_is_ignored(self):
        async def scenario(instance):
            await instance.loans.borrow(SERVICE)
            instance.reply(2.0)
            return instance.budgets.get(SERVICE).try_spend()

        assert run(scenario) is False

    def test_longer_validity_than_own_credits_have_is_cut(self):
        async def scenario(instance):
            borrowing = asyncio.create_task(instance.loans.borrow(SERVICE))
            await asyncio.sleep(0)
            instance.reply(3000.0)
            await borrowing
            return instance.budgets.get(SERVICE).expiries_s

        assert run(scenario) == [SETTINGS.credit_life_s()]

"""Random histories of a fleet against the bound on an account's requests.

Answers an account that floods all instances while they are killed, started,
cut off, frozen or given lower limits. The oracle counts the requests that ran
in each window.
"""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from citronshelf_instance import quota
from citronshelf_instance import quota_coordinator
from citronshelf_instance import quota_ledger
import quota_model

NUMBERS = strategies.integers(0, quota_model.FUZZED_INSTANCES - 1)
SECONDS = strategies.sampled_from([0.05, 0.4, 1.0, 2.0, 3.0, 6.0])


class FleetMachine(stateful.RuleBasedStateMachine):
    """Faults and floods in any order; the bound holds after each step."""

    def __init__(self):
        super().__init__()
        self.flood = quota_model.Flood(quota_model.Node)

    @stateful.rule(seconds=SECONDS, share=strategies.sampled_from([1, 3, 24]))
    def send(self, seconds, share):
        self.flood.send(seconds, share)

    @stateful.rule(seconds=SECONDS)
    def wait(self, seconds):
        self.flood.fleet.advance(self.flood.fleet.now + seconds)

    @stateful.rule(number=NUMBERS)
    def kill(self, number):
        self.flood.fleet.kill(number)

    @stateful.rule()
    def start_all(self):
        self.flood.start_all()

    @stateful.rule(number=NUMBERS, seconds=SECONDS)
    def freeze(self, number, seconds):
        self.flood.fleet.freeze(number, seconds)

    @stateful.rule(parts=strategies.sampled_from([1, 2, 3, 24]))
    def cut(self, parts):
        self.flood.cut(parts)

    @stateful.rule(number=NUMBERS, is_sender=strategies.booleans())
    def cut_one_way(self, number, is_sender):
        self.flood.cut_one_way(number, is_sender=is_sender)

    @stateful.rule(loss=strategies.sampled_from([0.0, 0.1, 0.5]))
    def lose(self, loss):
        self.flood.fleet.loss = loss

    @stateful.rule(delay_s=strategies.sampled_from([0.0, 0.3, 2.5]))
    def delay(self, delay_s):
        self.flood.fleet.extra_delay_s = delay_s

    @stateful.rule(share=strategies.sampled_from([0.0, 0.5]))
    def shed(self, share):
        self.flood.fleet.not_run_share = share

    @stateful.rule(divisor=strategies.sampled_from([2, 20]))
    def lower(self, divisor):
        self.flood.lower(divisor)

    @stateful.invariant()
    def bound_holds(self):
        assert self.flood.worst() <= 0


FleetMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
)
TestFleetMachine = FleetMachine.TestCase


class TestHistories:
    """Histories by seed, as in ``measures/quota_model.py``."""

    @pytest.mark.parametrize('seed', range(10))
    def test_bound_holds(self, seed):
        assert quota_model.History(seed).run() <= 0


def grant_to_all(monkeypatch):
    """Coordinators ignore that instances without contact admit shares."""
    monkeypatch.setattr(
        quota_coordinator.Coordinator, 'fraction', lambda self, account: 1.0
    )


def start_full(monkeypatch):
    """New buckets are full as soon as most instances are in contact."""
    refill = quota_coordinator.SharedBucket.refill

    def refill_at_first(self, limit, capacity, fraction, now):
        refill(self, limit, capacity, fraction, now)
        if fraction > 0.5 and not hasattr(self, 'was_full'):
            self.was_full = True
            self.level = capacity

    monkeypatch.setattr(
        quota_coordinator.SharedBucket, 'refill', refill_at_first
    )


def lend_twice(monkeypatch):
    """Lent tokens don't count against the capacity."""
    lend = quota_coordinator.SharedBucket.lend

    def lend_uncounted(self, tokens):
        lent = lend(self, tokens)
        self.lent -= lent
        return lent

    monkeypatch.setattr(quota_coordinator.SharedBucket, 'lend', lend_uncounted)


def keep_shares(monkeypatch):
    """Tokens of equal shares never expire."""
    monkeypatch.setattr(quota_ledger, 'SHARE_LIFE_S', 1000.0)


def divide_by_few(monkeypatch):
    """Equal shares are divided among too few instances."""
    monkeypatch.setattr(quota.Fleet, 'share_divisor', lambda self: 8)


def keep_lower_tokens(monkeypatch):
    """Instances keep their tokens when a limit is lowered."""
    monkeypatch.setattr(
        quota_ledger.Ledger, 'return_tokens', lambda self, account: None
    )


class TestOracle:
    """The oracle notices faults that are put into the decisions."""

    @pytest.mark.parametrize(
        'fault, history',
        [
            (grant_to_all, 'partition'),
            (start_full, 'restarts'),
            (lend_twice, 'calm'),
            (keep_shares, 'isolation'),
            (divide_by_few, 'isolation'),
            (keep_lower_tokens, 'lowered'),
        ],
    )
    def test_fault_is_noticed(self, fault, history, monkeypatch):
        assert quota_model.scripted(history).worst() <= 0
        fault(monkeypatch)
        assert quota_model.scripted(history).worst() > 0

    def test_oracle_counts_windows_exactly(self):
        limit = quota.Limit(2.0, 0.0)
        own = quota.QuotaSettings(5.0, 0.0, 0.0)
        rng = random.Random(1)
        times_s = sorted(rng.uniform(0, 30) for _ in range(100))
        expected = max(
            sum(begin <= one <= begin + 5.0 for one in times_s) - 10.0
            for begin in times_s
        )
        assert quota_model.excess(times_s, limit, own) == expected

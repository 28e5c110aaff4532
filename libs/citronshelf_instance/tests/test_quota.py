"""Tests of the decisions on quotas over all instances."""

import random

import pytest

from citronshelf_instance import quota
from citronshelf_instance import quota_coordinator
from citronshelf_instance import quota_ledger

SETTINGS = quota.QuotaSettings(5.0, 0.25, 20.0)
LIMIT = quota.Limit(10.0, 5.0)
OWN = quota.name_key('i0')
OTHER = quota.name_key('i1')


class Pair:
    """Ledgers of instances that report to one coordinator.

    Parameters
    ----------
    clock : FakeClock
    count : int
        Ledgers.
    known : int
        Instances that the coordinator and the ledgers have known.
    """

    def __init__(self, clock, count=1, known=None, limit=LIMIT):
        self.clock = clock
        size = quota.Fleet(known or count, True)
        self.coordinator = quota_coordinator.Coordinator(
            key=OWN,
            settings=SETTINGS,
            limits={'a': limit},
            fleet=lambda: size,
        )
        self.ledgers = [
            quota_ledger.Ledger(
                key=OTHER,
                settings=SETTINGS,
                limits={'a': limit},
                fleet=lambda: size,
                rng=random.Random(number),
            )
            for number in range(count)
        ]
        for ledger in self.ledgers:
            ledger.set_candidates(frozenset({OWN}), clock())

    def exchange(self, number=0, *, is_reply_lost=False):
        """Send the report of a ledger, and its reply unless it is lost."""
        ledger = self.ledgers[number]
        report = ledger.make_report(OWN, self.clock())
        ledger.record_sent(OWN, report, self.clock())
        reply = self.coordinator.receive(number, report, self.clock())
        if reply is not None and not is_reply_lost:
            ledger.receive(OWN, reply, self.clock())
        return reply

    def settle(self, seconds=4.0):
        """Keep all ledgers in contact for a time."""
        for _ in range(round(seconds / 0.5)):
            self.clock.advance(0.5)
            for number in range(len(self.ledgers)):
                self.exchange(number)

    def admit(self, number=0, requests=1):
        """Return how many requests one ledger admits with its tokens."""
        return sum(
            isinstance(
                self.ledgers[number].decide('a', self.clock()), quota.Token
            )
            for _ in range(requests)
        )

    def wait(self, number=0, requests=1):
        """Let requests wait for a reply; return how many are admitted."""
        ledger = self.ledgers[number]
        ledger.decide('a', self.clock())
        usage = ledger.usages['a']
        usage.waiting = requests
        ledger.leases[OWN].changed.add('a')
        self.exchange(number)
        usage.waiting = 0
        return sum(
            isinstance(ledger.redecide('a', self.clock()), quota.Token)
            for _ in range(requests)
        )

    def bucket(self):
        return self.coordinator.buckets['a']


class TestGrants:
    """A coordinator grants the rate and the burst, over all instances."""

    # Guards against a coordinator that grants the burst again after it
    # replaced another one that has just granted it.
    def test_new_coordinator_starts_empty(self, clock):
        pair = Pair(clock)
        assert pair.wait() == 0
        pair.settle()
        assert pair.wait(requests=1000) <= 4 * LIMIT.rate_per_s

    @pytest.mark.parametrize('count', [1, 5, 30])
    def test_saturated_account_gets_its_rate(self, clock, count):
        pair = Pair(clock, count)
        pair.settle()
        for number in range(count):
            pair.wait(number, 1000)
        admitted = 0
        for step in range(100):
            clock.advance(0.1)
            admitted += pair.wait(step % count, 1000)
            for number in range(count):
                pair.exchange(number)
                admitted += pair.admit(number, 1000)
        assert admitted == pytest.approx(10.0 * LIMIT.rate_per_s, rel=0.05)

    def test_stock_is_the_capacity(self, clock):
        pair = Pair(clock, 5)
        pair.settle(60.0)
        admitted = sum(pair.wait(number, 1000) for number in range(5))
        capacity = LIMIT.capacity(SETTINGS)
        assert capacity - 1 <= admitted <= capacity
        assert capacity < LIMIT.allowed(SETTINGS) - 5 * LIMIT.rate_per_s

    def test_held_token_admits_without_a_message(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait()
        pair.settle()
        assert pair.admit() == 1

    def test_lower_limit_takes_tokens_back(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait()
        pair.settle()
        lower = {'a': quota.Limit(0.1, 0.0)}
        pair.coordinator.set_limits(lower)
        pair.ledgers[0].set_limits(lower)
        assert pair.admit(requests=10) == 0

    def test_account_unknown_to_the_coordinator_gets_equal_shares(self, clock):
        pair = Pair(clock, known=100)
        pair.coordinator.set_limits({})
        pair.settle()
        pair.wait()
        decision = pair.ledgers[0].decide('a', clock())
        assert not isinstance(decision, quota.MustAsk)
        assert 'a' in pair.ledgers[0].shares


class TestLostMessages:
    """Lost and late messages never add tokens."""

    def test_grant_in_a_lost_reply_is_repeated(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.ledgers[0].decide('a', clock())
        pair.ledgers[0].leases[OWN].changed.add('a')
        lost = pair.exchange(is_reply_lost=True).grants[0].granted
        pair.ledgers[0].leases[OWN].changed.add('a')
        assert pair.exchange().grants[0].granted == lost > 0

    # Guards against tokens that an instance spends long after its
    # coordinator counted them as spent.
    @pytest.mark.parametrize('lease_share', [0.9, 1.0])
    def test_tokens_are_void_without_replies(self, clock, lease_share):
        pair = Pair(clock, known=1000)
        pair.settle()
        pair.coordinator.divisor = 1
        lease = pair.ledgers[0].leases[OWN]
        lease.tallies['a'] = quota.Tally()
        lease.tallies['a'].granted = 5
        clock.advance(lease_share * quota.LEASE_S)
        assert bool(lease.spend('a', clock())) == (lease_share < 1)

    def test_late_reply_does_not_extend_the_lease(self, clock):
        pair = Pair(clock)
        ledger = pair.ledgers[0]
        report = ledger.make_report(OWN, clock())
        ledger.record_sent(OWN, report, clock())
        reply = pair.coordinator.receive(0, report, clock())
        sent_s = clock()
        clock.advance(1.5)
        ledger.receive(OWN, reply, clock())
        lease = ledger.leases[OWN]
        assert lease.valid_until_s == sent_s + quota.LEASE_S

    def test_restarted_coordinator_voids_tokens(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait()
        pair.settle()
        pair.coordinator = Pair(clock).coordinator
        assert not pair.exchange().is_known
        assert pair.admit(requests=5) == 0

    def test_outdated_report_is_ignored(self, clock):
        pair = Pair(clock)
        ledger = pair.ledgers[0]
        report = ledger.make_report(OWN, clock())
        assert pair.coordinator.receive(0, report, clock()).is_known
        assert pair.coordinator.receive(0, report, clock()) is None


class TestMissingContact:
    """Instances without contact admit shares that coordinators leave."""

    def test_coordinator_leaves_the_shares_of_others(self, clock):
        pair = Pair(clock, 30, known=120)
        pair.settle()
        assert pair.coordinator.fraction('a') == 0.25

    # Guards against two instances that both admit what belongs to one that
    # asks another coordinator.
    def test_instance_of_another_view_does_not_count(self, clock):
        pair = Pair(clock, 30)
        pair.settle()
        key = next(
            key
            for key in range(100)
            if quota.choose_coordinator('a', tuple(sorted((key, OWN)))) == key
        )
        pair.ledgers[0].set_candidates(frozenset({OWN, key}), clock())
        pair.settle(1.0)
        assert pair.coordinator.fraction('a') == pytest.approx(29 / 30)

    # Guards against an instance that counts at its coordinator while it hears
    # no reply and admits its share.
    def test_instance_that_gets_no_replies_does_not_count(self, clock):
        pair = Pair(clock, 30)
        pair.settle()
        for _ in range(4):
            clock.advance(0.5)
            for number in range(30):
                pair.exchange(number, is_reply_lost=number == 0)
        assert pair.ledgers[0].leases[OWN].is_silent(clock())
        assert pair.coordinator.fraction('a') == pytest.approx(29 / 30)

    @pytest.mark.parametrize(
        'largest, met, reported, divisor',
        [
            (3, True, 0, 3),
            (3, False, 0, 24),
            (3, True, 40, 40),
            (50, 0, 9, 50),
        ],
    )
    def test_divisor(self, largest, met, reported, divisor):
        assert quota.Fleet(largest, met).divisor(reported) == divisor

    def test_equal_shares_add_up_to_the_rate(self, clock):
        shares = [
            quota_ledger.EqualShare(rng=random.Random(number), now=clock())
            for number in range(100)
        ]
        admitted = 0
        for _ in range(1000):
            clock.advance(0.01)
            for share in shares:
                share.refill(0.1, clock())
                admitted += share.try_spend()
        assert admitted == pytest.approx(100, abs=20)

    # Guards against shares that pile up while an account is idle and are all
    # spent at once.
    @pytest.mark.parametrize('rate', [0.05, 1.0, 40.0])
    def test_equal_shares_do_not_pile_up(self, clock, rate):
        shares = [
            quota_ledger.EqualShare(rng=random.Random(number), now=clock())
            for number in range(200)
        ]
        clock.advance(1000.0)
        admitted = 0
        for share in shares:
            share.refill(rate, clock())
            while share.try_spend():
                admitted += 1
        expected = 200 * rate * quota_ledger.SHARE_LIFE_S
        assert admitted <= expected + 4 * expected**0.5

    def test_isolated_instance_is_no_coordinator_of_its_own(self, clock):
        ledger = quota_ledger.Ledger(
            key=OWN,
            settings=SETTINGS,
            limits={'a': quota.Limit(2400.0, 0.0)},
            fleet=lambda: quota.Fleet(1, False),
            rng=random.Random(1),
        )
        ledger.set_candidates(frozenset({OWN}), clock())
        ledger.decide('a', clock())
        clock.advance(0.5)
        assert ledger.decide('a', clock()) == quota.Token('a', None)


class TestGivingBack:
    """The token of a request that did not run admits another one."""

    def test_token_is_available_again(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait()
        pair.settle()
        token = pair.ledgers[0].decide('a', clock())
        held = token.tally.held()
        pair.ledgers[0].give_back(token)
        assert token.tally.held() == held + 1

    def test_token_of_an_ended_session_is_void(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait()
        pair.settle()
        token = pair.ledgers[0].decide('a', clock())
        clock.advance(quota.LEASE_S)
        pair.exchange()
        pair.ledgers[0].give_back(token)
        tally = pair.ledgers[0].leases[OWN].tallies.get('a')
        assert tally is None or tally.used == 0

    def test_idle_instance_returns_its_tokens(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait()
        pair.settle()
        assert pair.bucket().lent > 0
        pair.settle(quota_ledger.IDLE_S + 1.0)
        assert pair.bucket().lent == 0


class TestRefusals:
    """A refusal says when the request would be admitted."""

    def test_wait_is_the_time_to_the_next_token(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait(requests=1000)
        decision = pair.ledgers[0].decide('a', clock())
        assert isinstance(decision, quota.Refused)
        assert 0 < decision.wait_s <= SETTINGS.window_s
        level = pair.bucket().level
        assert decision.wait_s >= (1 - level) / LIMIT.rate_per_s

    # Guards against callers that were all told to return for the same token.
    def test_wait_grows_with_those_refused_before(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait(requests=45)
        first = pair.ledgers[0].decide('a', clock())
        for _ in range(20):
            pair.ledgers[0].decide('a', clock())
        pair.exchange()
        later = pair.ledgers[0].decide('a', clock())
        assert later.wait_s > first.wait_s + 10 / LIMIT.rate_per_s

    def test_refused_at_once_while_the_bucket_is_empty(self, clock):
        pair = Pair(clock)
        pair.settle()
        pair.wait(requests=1000)
        decisions = [pair.ledgers[0].decide('a', clock()) for _ in range(50)]
        assert all(isinstance(one, quota.Refused) for one in decisions)

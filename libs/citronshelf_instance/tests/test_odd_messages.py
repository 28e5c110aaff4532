"""Messages of instances whose values no instance sends."""

import asyncio

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import metrics
from citronshelf_instance import peer_messages
from citronshelf_instance import quota
from citronshelf_instance import quota_exchange
from instance_builders import FakeClock
from instance_builders import make_configuration
import peer_fleet

NAMES = strategies.sampled_from(['', 'i0', 'i1', 'i2', 'i9', 'x' * 128])
SERVER_IDS = strategies.sampled_from(['', 's1', 's2', 's9'])
AGES = strategies.sampled_from([0.0, 0.5, 19.9, 1e300, float('inf')])
REVISIONS = strategies.sampled_from([0, 1, 2, 2**62])
FLOATS = AGES | strategies.sampled_from([-1.0, -1e300, float('nan')])
MEMBERS = strategies.builds(
    peer_messages.Member,
    NAMES,
    NAMES,
    strategies.builds(
        fleet.Address,
        strategies.sampled_from(['127.0.0.1', '', 'x y']),
        strategies.sampled_from([7000, 7001, 7009, 0, -1, 2**63 - 1]),
    ),
    strategies.builds(
        fleet.Location,
        strategies.sampled_from(['kolkata', 'siliguri', '']),
        strategies.sampled_from(['z', 'y', '']),
    ),
    AGES,
)
MEMBER_LISTS = strategies.lists(MEMBERS, max_size=3).map(tuple)
OBSERVATIONS = strategies.lists(
    strategies.builds(
        evidence.Observation,
        SERVER_IDS,
        strategies.sampled_from(evidence.HealthSignal),
        FLOATS,
        FLOATS,
    ),
    max_size=3,
).map(tuple)
KEYS = strategies.sampled_from(
    [0, 2**32 - 1]
    + [peer_messages.member_key(one) for one in peer_fleet.make_members(3)]
)
AGE_MAPS = strategies.dictionaries(
    KEYS, strategies.sampled_from([0, 1, 10**9, 2**63]), max_size=3
)
DELTAS = strategies.builds(
    configuration.RegistrationDelta,
    REVISIONS,
    REVISIONS,
    strategies.dictionaries(SERVER_IDS, strategies.none(), max_size=2),
)
OPTIONAL_AGES = strategies.none() | AGES
TOKENS = strategies.sampled_from([0, 1, quota.MAX_TOKENS])
TOTALS = strategies.sampled_from([0, 1, quota.MAX_COUNT])
ACCOUNTS = strategies.sampled_from(['', 'a', 'b'])
QUOTA_KEYS = strategies.sampled_from([0, quota.name_key('i1')])
DEMANDS = strategies.lists(
    strategies.builds(
        quota.Demand, ACCOUNTS, TOTALS, TOTALS, TOKENS, TOKENS, TOKENS
    ),
    max_size=3,
).map(tuple)
GRANTS = strategies.lists(
    strategies.builds(
        quota.Grant,
        ACCOUNTS,
        TOTALS,
        strategies.sampled_from([0.0, 3600.0, float('nan'), float('inf')]),
    ),
    max_size=3,
).map(tuple)
MESSAGES = strategies.one_of(
    strategies.builds(peer_messages.Join, MEMBERS, REVISIONS),
    strategies.builds(
        peer_messages.Heartbeat, MEMBERS, REVISIONS, MEMBER_LISTS
    ),
    strategies.builds(peer_messages.MemberAges, MEMBERS, AGE_MAPS, AGE_MAPS),
    strategies.builds(
        peer_messages.MembersRequest,
        MEMBERS,
        strategies.lists(KEYS, max_size=3).map(tuple),
    ),
    strategies.builds(
        peer_messages.Evidence, MEMBERS, REVISIONS, OBSERVATIONS
    ),
    strategies.builds(
        peer_messages.EvidenceForZone, MEMBERS, REVISIONS, OBSERVATIONS
    ),
    strategies.builds(
        peer_messages.ServerLeaving, MEMBERS, SERVER_IDS, REVISIONS
    ),
    strategies.builds(
        peer_messages.ServerLeavingForZone, MEMBERS, SERVER_IDS, REVISIONS
    ),
    strategies.builds(peer_messages.FetchState, MEMBERS, REVISIONS),
    strategies.builds(
        peer_messages.ReaderReport,
        MEMBERS,
        REVISIONS,
        OPTIONAL_AGES,
        DELTAS,
        OPTIONAL_AGES,
    ),
    strategies.builds(
        peer_messages.RetryCreditRequest, MEMBERS, SERVER_IDS, REVISIONS
    ),
    strategies.builds(
        peer_messages.RetryCreditReply,
        MEMBERS,
        REVISIONS,
        strategies.none() | strategies.sampled_from([0.0, 3600.0]),
    ),
    strategies.builds(peer_messages.Leave, MEMBERS),
    strategies.builds(
        peer_messages.QuotaReport,
        KEYS,
        REVISIONS,
        REVISIONS,
        REVISIONS,
        strategies.sampled_from([1, 2**20]),
        strategies.lists(KEYS, max_size=3).map(tuple),
        DEMANDS,
    ),
    strategies.builds(
        peer_messages.QuotaReply,
        QUOTA_KEYS,
        REVISIONS,
        REVISIONS,
        strategies.booleans(),
        GRANTS,
    ),
)
PACKED = MESSAGES.map(peer_messages.CODEC.encode) | strategies.binary(
    max_size=40
)


def own_member(age_s):
    return peer_messages.Member(
        'i9',
        'n',
        fleet.Address('127.0.0.1', 7009),
        fleet.Location('kolkata', 'z'),
        age_s,
    )


def add_quotas(one):
    """Let an instance exchange the quota of an account."""
    account = configuration.Account('a', (), None, 1.0, 1.0)
    one.state.apply_configuration(
        make_configuration(revision=9, accounts=(account,)), 'test'
    )
    quotas = quota_exchange.QuotaExchange(
        own=one.own,
        settings=quota.QuotaSettings(5.0, 0.25, 20.0),
        state=one.state,
        members=one.members,
        links=one,
        metrics=metrics.InstanceMetrics(),
        rng=one.rng,
        clock=one.clock,
    )
    quotas.update_limits()
    one.on_quota_report = quotas.receive_report
    one.on_quota_reply = quotas.receive_reply
    return quotas


async def deliver(clock, messages):
    """Deliver messages to one instance and run its periodic work.

    Returns the errors of timers; other errors are raised.
    """
    errors = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    group = peer_fleet.Fleet(clock)
    await group.step(rounds=3)
    one = group.instances[1]
    quotas = add_quotas(one)
    for data in messages:
        one.receive(peer_fleet.FakeRoute(one.own.address), data)
        quotas.tick()
    await quotas.admit('a')
    await group.step(rounds=3)
    one.evidence.record(
        evidence.Observation('s1', evidence.HealthSignal.FAILED, 0.0)
    )
    await asyncio.sleep(0.01)
    quotas.close()
    one.close()
    return errors


class TestOddValues:
    """Guards against a message that ends the process that receives it."""

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(messages=strategies.lists(PACKED, min_size=1, max_size=6))
    def test_no_message_raises(self, messages):
        assert asyncio.run(deliver(FakeClock(), messages)) == []

    @pytest.mark.parametrize(
        'age_s', [float('nan'), float('inf'), 1e300], ids=str
    )
    def test_age_that_is_no_time_is_ignored(self, clock, age_s):
        heartbeat = peer_messages.Heartbeat(
            own_member(0.0), 1, (own_member(age_s)._replace(instance='i8'),)
        )

        async def run():
            data = peer_messages.CODEC.encode(heartbeat)
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            one = group.instances[1]
            one.receive(peer_fleet.FakeRoute(one.own.address), data)
            known = set(one.members.known)
            await group.step(rounds=3)
            return known

        assert 'i8' not in asyncio.run(run())

    @pytest.mark.parametrize('elapsed_s', [float('nan'), float('-inf'), -5.0])
    def test_server_is_not_in_use_for_ever(self, clock, elapsed_s):
        observation = evidence.Observation(
            's1', evidence.HealthSignal.GOOD, 1.0, elapsed_s
        )
        message = peer_messages.Evidence(own_member(0.0), 1, (observation,))

        async def run():
            data = peer_messages.CODEC.encode(message)
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            one = group.instances[1]
            one.receive(peer_fleet.FakeRoute(one.own.address), data)
            return one.state.directory.servers['s1'].last_used_s - clock()

        assert asyncio.run(run()) <= 0

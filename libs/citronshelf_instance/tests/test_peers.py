"""Tests of messages between instances, on links without delay."""

import asyncio
import random
from typing import NamedTuple

import pytest

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import published
from citronshelf_instance import reader_group
from citronshelf_instance import registrations
from instance_builders import make_configuration
from instance_builders import make_registration


class FakeRoute(NamedTuple):
    """Connection that an instance opened, at its other end."""

    address: fleet.Address


class FakeNetwork:
    """Delivers messages at once, except from and to unreachable addresses.

    On stale connections, which lead to a process that has ended without a
    close, messages get lost. They are (sender, receiver) addresses.
    """

    def __init__(self):
        self.links = {}
        self.unreachable = set()
        self.stale = set()
        self.sent = 0


class FakeLinks:
    """Links of one instance on a ``FakeNetwork``."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.on_message = None
        self.disconnected = []
        network.links[address] = self

    def connect(self, address):
        pass

    def disconnect(self, address):
        self.disconnected.append(address)
        self.network.stale.discard((self.address, address))

    def send(self, route, data):
        network = self.network
        is_reply = isinstance(route, FakeRoute)
        address = route.address if is_reply else route
        if network.unreachable & {address, self.address}:
            return False
        network.sent += 1
        if not is_reply and (self.address, address) in network.stale:
            return True
        end = network.links.get(address)
        if end is not None:
            source = self.address if is_reply else FakeRoute(self.address)
            asyncio.get_running_loop().call_soon(end.on_message, source, data)
        return end is not None


class Fleet:
    """Instances on one network; the first ``seeds`` of them are seeds."""

    def __init__(self, clock, count=6, seeds=2):
        self.clock = clock
        self.network = FakeNetwork()
        addresses = [
            fleet.Address('127.0.0.1', 7000 + n) for n in range(count)
        ]
        self.instances = [
            self.make(n, addresses[:seeds], addresses[n]) for n in range(count)
        ]

    def make(self, number, seeds, address):
        region = 'kolkata' if number % 3 else 'siliguri'
        own = peer_messages.Member(
            f'i{number}', 'n', address, fleet.Location(region, 'z'), 0.0
        )
        rng = random.Random(number)
        directory = registrations.Directory(clock=self.clock)
        state = published.PublishedState(
            directory=directory, clock=self.clock, rng=rng
        )
        entries = (make_registration('s1'), make_registration('s2'))
        state.replace(
            configuration.Snapshot(1, make_configuration(revision=1), entries),
            source='test',
        )
        members = membership.Membership(own=own, clock=self.clock, rng=rng)
        return peers.Peers(
            own=own,
            seeds=list(seeds),
            links=FakeLinks(self.network, address),
            state=state,
            members=members,
            readers=reader_group.ReaderGroup(
                members=members, list_age_s=state.age_s
            ),
            clock=self.clock,
            rng=rng,
        )

    async def step(self, seconds=0.5, rounds=1):
        """Run the periodic work of every instance ``rounds`` times.

        The clock advances by ``seconds`` before each round.
        """
        for _ in range(rounds):
            self.clock.advance(seconds)
            for one in self.instances:
                one.send_joins()
                one.members.expire()
                one.send_heartbeats()
                await asyncio.sleep(0)
            await asyncio.sleep(0.005)

    def counts(self):
        return [one.members.count() for one in self.instances]


def failure_probability(instance, server_id='s1'):
    return instance.state.directory.servers[
        server_id
    ].estimate.failure_probability


class TestMembership:
    """Instances find each other through the seeds."""

    def test_all_instances_become_members(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            return group.counts()

        assert asyncio.run(run()) == [6] * 6

    def test_one_seed_suffices(self, clock):
        async def run():
            group = Fleet(clock)
            group.network.unreachable.add(fleet.Address('127.0.0.1', 7000))
            await group.step(rounds=6)
            return group.counts()

        assert asyncio.run(run())[1:] == [5] * 5

    def test_unreachable_instance_expires(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            group.network.unreachable.add(fleet.Address('127.0.0.1', 7004))
            await group.step(seconds=2.0, rounds=14)
            return group.counts()

        counts = asyncio.run(run())
        assert [c for n, c in enumerate(counts) if n != 4] == [5] * 5

    def test_leaving_instance_is_removed_at_once(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            group.instances[4].leave()
            await asyncio.sleep(0.01)
            return 'i4' in group.instances[5].members.known

        assert not asyncio.run(run())

    def test_leaving_instance_does_not_return(self, clock):
        """It still runs until its requests have ended."""

        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            group.instances[0].leave()
            await group.step(rounds=6)
            return group.counts()

        assert asyncio.run(run())[1:] == [5] * 5

    def test_members_are_found_after_a_restart_of_all(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            again = Fleet(clock)
            await again.step(rounds=3)
            return again.counts()

        assert asyncio.run(run()) == [6] * 6


async def fleet_after_observation(clock, signal, slowness=0.0):
    """Return a fleet just after one instance made an observation."""
    group = Fleet(clock)
    await group.step(rounds=3)
    group.instances[1].record_observation(
        evidence.Observation('s1', signal, slowness)
    )
    await asyncio.sleep(2 * peers.URGENT_DELAY_S)
    return group


class TestEvidence:
    """Observations are sent to the instances of the region."""

    def test_failure_is_sent_at_once(self, clock):
        async def run():
            group = await fleet_after_observation(
                clock, evidence.HealthSignal.FAILED
            )
            return [failure_probability(one) for one in group.instances]

        probabilities = asyncio.run(run())
        same_region = [probabilities[n] for n in (2, 4, 5)]
        assert min(same_region) > 0.7
        assert (
            max(probabilities[0], probabilities[3])
            <= evidence.PRIOR_FAILURE_PROBABILITY
        )

    def test_repeated_failures_are_batched(self, clock, monkeypatch):
        """Failures that hardly change the probability are sent later."""
        monkeypatch.setattr(peers, 'EVIDENCE_DELAY_S', 60.0)

        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            sent_after_observation = []
            for _ in range(6):
                before = group.network.sent
                group.instances[1].record_observation(
                    evidence.Observation(
                        's1', evidence.HealthSignal.FAILED, 0.0
                    )
                )
                await asyncio.sleep(2 * peers.URGENT_DELAY_S)
                sent_after_observation.append(group.network.sent > before)
            return sent_after_observation

        sent_after_observation = asyncio.run(run())
        assert sent_after_observation[0]
        assert sent_after_observation[-1] is False

    def test_slow_response_is_sent_at_once(self, clock):
        async def run():
            group = await fleet_after_observation(
                clock, evidence.HealthSignal.GOOD, 5.0
            )
            servers = group.instances[2].state.directory.servers
            return servers['s1'].estimate.slowness

        assert asyncio.run(run()) > 2.0

    def test_usual_responses_are_batched(self, clock, monkeypatch):
        monkeypatch.setattr(peers, 'EVIDENCE_DELAY_S', 0.1)

        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            before = group.network.sent
            for _ in range(20):
                group.instances[1].record_observation(
                    evidence.Observation('s1', evidence.HealthSignal.GOOD, 1.0)
                )
            await asyncio.sleep(0.2)
            sent = group.network.sent - before
            return sent, failure_probability(group.instances[2])

        sent, probability = asyncio.run(run())
        assert sent == 3
        assert probability < 0.01

    def test_time_until_it_is_sent_counts(self, clock, monkeypatch):
        """A server that got nothing since must not count as in use.

        Guards against tests of silent servers that came up to a second late.
        """
        monkeypatch.setattr(peers, 'EVIDENCE_DELAY_S', 0.02)

        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            sent_s = clock()
            clock.advance(0.2)
            group.instances[1].record_observation(
                evidence.Observation(
                    's1', evidence.HealthSignal.GOOD, 1.0, elapsed_s=0.2
                )
            )
            clock.advance(0.9)
            await asyncio.sleep(0.05)
            states = [
                group.instances[number].state.directory.servers['s1']
                for number in (1, 2, 4, 5)
            ]
            return [state.last_used_s - sent_s for state in states]

        assert asyncio.run(run()) == pytest.approx([0.0] * 4)

    def test_no_observation_of_a_burst_is_lost(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            received = []
            other = group.instances[2]
            other.state.directory.record = lambda observation, source: (
                received.append(observation)
            )
            for number in range(1000):
                signal = evidence.HealthSignal.GOOD
                group.instances[1].record_observation(
                    evidence.Observation('s1', signal, 1.0 + number)
                )
            await asyncio.sleep(0.1)
            return received

        received = asyncio.run(run())
        assert [observation.slowness for observation in received] == [
            1.0 + number for number in range(1000)
        ]

    def test_shed_request_starts_a_backoff_at_peers(self, clock):
        async def run():
            group = await fleet_after_observation(
                clock, evidence.HealthSignal.SHED
            )
            servers = group.instances[2].state.directory.servers
            return servers['s1'].backoff_until_s - clock.now

        remaining_s = asyncio.run(run())
        assert remaining_s == pytest.approx(registrations.SHED_BACKOFF_S)

    def test_nothing_is_sent_after_close(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            group.instances[1].record_observation(
                evidence.Observation('s1', evidence.HealthSignal.FAILED, 0.0)
            )
            before = group.network.sent
            group.instances[1].close()
            await asyncio.sleep(2 * peers.URGENT_DELAY_S)
            return group.network.sent - before

        assert asyncio.run(run()) == 0

    def test_invalid_message_is_ignored(self, clock):
        async def run():
            group = Fleet(clock, count=2)
            group.instances[0].receive('route', b'\x00junk')
            group.instances[0].receive('route', b'')
            return group.instances[0].members.count()

        assert asyncio.run(run()) == 1


class TestAnnouncements:
    """An instance announces a new publication to others."""

    def test_change_is_announced_to_a_few_peers(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            received = []
            for one in group.instances:
                one.state.on_change = one.announce_change
                one.on_peer_revision = received.append
            changes = configuration.Changes(
                7, make_configuration(revision=7), {}
            )
            group.instances[1].state.apply(changes)
            await asyncio.sleep(0.02)
            return received

        received = asyncio.run(run())
        assert received == [7] * (
            peers.ANNOUNCEMENT_PEERS + peers.REMOTE_ANNOUNCEMENT_PEERS
        )


class TestReports:
    """Readers of the store report to the instances of their region."""

    @pytest.fixture(autouse=True)
    def small_groups(self, monkeypatch):
        monkeypatch.setattr(reader_group, 'MIN_SHARING_INSTANCES', 3)
        monkeypatch.setattr(reader_group, 'READERS', 1)

    def report(
        self,
        clock,
        delta,
        *,
        is_current=True,
        prepare=None,
        confirmed_ago_s=0.0,
    ):
        """Let the reader of each region report; return the instances.

        The store confirmed the reader's state ``confirmed_ago_s`` before.
        """

        async def run():
            group = Fleet(clock, count=9)
            await group.step(rounds=4)
            for one in group.instances:
                one.is_store_current = lambda: is_current
            if prepare is not None:
                prepare(group)
            for one in group.instances:
                if one.own.location.region == 'kolkata':
                    if one.readers.is_reader():
                        one.state.directory.confirm(confirmed_ago_s)
                    one.send_report(delta)
            await asyncio.sleep(0.02)
            return group.instances

        return asyncio.run(run())

    def of_region(self, instances, region):
        return [i for i in instances if i.own.location.region == region]

    def test_delta_reaches_the_region_of_its_reader(self, clock):
        delta = configuration.RegistrationDelta(1, 4, {'s2': None})
        instances = self.report(clock, delta)
        local = self.of_region(instances, 'kolkata')
        followers = [one for one in local if not one.readers.is_reader()]
        assert len(followers) == len(local) - 1
        for one in followers:
            assert list(one.state.directory.servers) == ['s1']
            assert one.readers.is_covered()
        for one in self.of_region(instances, 'siliguri'):
            assert list(one.state.directory.servers) == ['s1', 's2']
            assert not one.readers.is_covered()

    def test_reader_without_recent_response_covers_nobody(self, clock):
        limit_s = reader_group.FOLLOWER_AGE_LIMIT_S
        instances = self.report(clock, None, confirmed_ago_s=limit_s)
        assert not any(one.readers.is_covered() for one in instances)
        instances = self.report(clock, None, confirmed_ago_s=limit_s - 0.1)
        followers = [
            one
            for one in self.of_region(instances, 'kolkata')
            if not one.readers.is_reader()
        ]
        assert all(one.readers.is_covered() for one in followers)

    def test_nothing_is_reported_while_the_store_is_away(self, clock):
        instances = self.report(clock, None, is_current=False)
        assert not any(one.readers.is_covered() for one in instances)

    def test_delta_with_a_gap_before_it_must_be_read(self, clock):
        behind = []

        def observe(group):
            for one in group.instances:
                one.on_peer_revision = behind.append

        delta = configuration.RegistrationDelta(3, 4, {'s2': None})
        instances = self.report(clock, delta, prepare=observe)
        for one in instances:
            assert list(one.state.directory.servers) == ['s1', 's2']
            assert one.state.revision == 1
        followers = len(self.of_region(instances, 'kolkata')) - 1
        assert behind == [3] * followers

    def test_full_read_of_a_reader_shows_a_gap(self, clock):
        """It may hold changes that were not reported."""
        behind = []

        def read_again(group):
            for one in group.instances:
                one.on_peer_revision = behind.append
                if one.readers.is_reader():
                    one.state.replace(
                        configuration.Snapshot(9, None, ()), source='store'
                    )

        self.report(clock, None, prepare=read_again)
        assert behind
        assert set(behind) == {9}

    def test_revision_advances_while_nothing_changes(self, clock):
        def advance(group):
            for one in group.instances:
                if one.readers.is_reader():
                    one.state.apply(configuration.Changes(8, None, {}))

        instances = self.report(clock, None, prepare=advance)
        for one in self.of_region(instances, 'kolkata'):
            assert one.state.revision == 8
            assert list(one.state.directory.servers) == ['s1', 's2']

    def test_entries_that_lapsed_in_an_outage_are_kept(self, clock):
        def recover(group):
            for one in group.instances:
                if one.readers.is_reader():
                    one.state.directory.record_store_recovery()

        delta = configuration.RegistrationDelta(1, 4, {'s2': None})
        instances = self.report(clock, delta, prepare=recover)
        for one in self.of_region(instances, 'kolkata'):
            assert 's2' in one.state.directory.servers


class TestState:
    """An instance that cannot read the store fetches from another one."""

    def test_newer_state_is_applied(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            newer = configuration.Snapshot(
                9, make_configuration(revision=8), ()
            )
            for number in (2, 4, 5):
                group.instances[number].state.replace(newer, source='test')
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            return group.instances[1].state

        state = asyncio.run(run())
        assert (state.revision, state.configuration.revision) == (9, 8)
        assert state.directory.servers == {}

    def test_copy_names_a_configuration_that_could_not_be_read(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            newer = configuration.Snapshot(
                9, make_configuration(revision=5), (), unread_configuration=8
            )
            for number in (2, 4, 5):
                group.instances[number].state.replace(newer, source='test')
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            return group.instances[1].state

        state = asyncio.run(run())
        assert state.revision == 9
        assert state.lacks_configuration()

    def test_older_state_is_ignored(self, clock):
        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            newer = configuration.Snapshot(
                9, make_configuration(revision=8), ()
            )
            group.instances[1].state.replace(newer, source='test')
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            return group.instances[1].state.revision

        assert asyncio.run(run()) == 9


class TestStateAfterOutage:
    """Entries that lapsed in an outage of the store may still return.

    Guards against an instance without any server: it fetched the state from
    one that had read that all entries had lapsed.
    """

    def fetch(self, clock, prepare=lambda group: None, grace_s=0.0):
        """Return the state of an instance after it fetched from others.

        The others have read, after an outage, that all entries lapsed.
        """

        async def run():
            group = Fleet(clock)
            await group.step(rounds=3)
            for number in (2, 4, 5):
                state = group.instances[number].state
                state.directory.record_store_recovery()
                state.apply(
                    configuration.Changes(9, None, {'s1': None, 's2': None})
                )
            prepare(group)
            clock.advance(0.5)
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            clock.advance(grace_s)
            state = group.instances[1].state
            state.directory.drop_lapsed()
            return state

        return asyncio.run(run())

    def test_servers_stay_in_use(self, clock):
        state = self.fetch(clock)
        assert state.revision == 9
        assert len(state.directory.usable('ledger')) == 2

    def test_started_instance_uses_them(self, clock):
        def restart(group):
            one = group.instances[1]
            fresh = registrations.Directory(clock=clock)
            one.state = published.PublishedState(
                directory=fresh, clock=clock, rng=random.Random(1)
            )

        state = self.fetch(clock, restart)
        assert state.is_routable()
        assert len(state.directory.usable('ledger')) == 2

    def test_servers_leave_when_the_grace_period_of_the_sender_ends(
        self, clock
    ):
        grace_s = registrations.LAPSED_GRACE_S - 0.5
        assert self.fetch(clock, grace_s=grace_s).directory.servers == {}


class TestRestartAfterPowerLoss:
    """The others' connections to the ended process stay open for seconds.

    Guards against instances that had no configuration for 6 s after a loss
    of power while the store was down, though the others could send it.
    """

    async def restart(self, clock):
        """Return a fleet in which instance 1 has started anew.

        It knows no state, and nobody has noticed that its process ended.
        """
        group = Fleet(clock)
        await group.step(rounds=3)
        network = group.network
        old = group.instances[1]
        one = group.make(1, old.seeds, old.own.address)
        one.own = one.members.own = one.own._replace(nonce='n2')
        one.state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=random.Random(1),
        )
        group.instances[1] = one
        network.stale = {
            (other.own.address, one.own.address)
            for other in group.instances
            if other is not one
        }
        return group

    def test_state_is_fetched_over_a_new_connection(self, clock):
        async def run():
            group = await self.restart(clock)
            one = group.instances[1]
            one.send_joins()
            await asyncio.sleep(0.02)
            one.fetch_state()
            await asyncio.sleep(0.02)
            return one

        one = asyncio.run(run())
        assert one.members.count() == 6
        assert one.state.is_routable()

    def test_connection_that_leads_to_the_new_process_is_kept(self, clock):
        async def run():
            group = await self.restart(clock)
            group.network.stale = set()
            two, restarted = group.instances[2], group.instances[1].own
            clock.advance(0.5)
            join = peer_messages.Join(two.own, two.state.change_revision)
            two.send(restarted.address, join)
            await asyncio.sleep(0.02)
            return two.links.disconnected, two.members.known['i1'].member.nonce

        assert asyncio.run(run()) == ([], 'n2')

    def test_others_replace_their_connections(self, clock):
        async def run():
            group = await self.restart(clock)
            await group.step(rounds=2)
            return group.network.stale

        assert asyncio.run(run()) == set()

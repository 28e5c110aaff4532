"""Tests of how configurations are passed on, in virtual time."""

import asyncio

import pytest

from citronshelf_instance import configuration
from citronshelf_instance import configuration_exchange
from citronshelf_instance import peer_messages
from citronshelf_instance import reader_group
from instance_builders import make_configuration
from instance_builders import make_registration
from instance_builders import make_route
import virtual_fleet

# Of these, 1.2 s are the longest pause of a reader after a change.
APPLY_S = 2.5
ROUTES = tuple(make_route(name=f'r{n}', prefix=f'/r{n}/') for n in range(200))
NEXT_ROUTES = (*ROUTES[:100], *ROUTES[101:])


class CountingClient(virtual_fleet.SimulatedStoreClient):
    """Counts the responses that had a configuration."""

    def __init__(self, store):
        super().__init__(store)
        self.fetched = 0

    async def watch(self, after, wait_s):
        result = await super().watch(after, wait_s)
        if result.is_ok() and result.ok.configuration is not None:
            self.fetched += 1
        return result


class Region:
    """Instances of one region with several zones."""

    def __init__(self, instances):
        self.loop = asyncio.get_running_loop()
        self.network = virtual_fleet.SlowNetwork()
        self.store = virtual_fleet.SimulatedStore(
            make_configuration(*ROUTES, revision=1)
        )
        self.store.put(make_registration('s1'))
        self.clients, self.processes = [], []
        for number in range(instances):
            client = CountingClient(self.store)
            self.clients.append(client)
            self.processes.append(
                virtual_fleet.Process(
                    self.network,
                    number,
                    'n1',
                    client,
                    zone=f'z{number % 4}',
                )
            )
            self.processes[-1].start()

    def readers(self):
        return [one for one in self.processes if one.readers.is_reader()]

    async def time_in_force(self, processes=None):
        """Publish a version; return the time until it is in force."""
        self.store.publish(routes=NEXT_ROUTES)
        revision = self.store.revision
        began_s = self.loop.time()
        for process in processes or self.processes:
            while process.state.configuration.revision < revision:
                await asyncio.sleep(0.01)
                assert self.loop.time() - began_s < 20.0
        return self.loop.time() - began_s

    def fetched(self):
        return sum(client.fetched for client in self.clients)

    def sent(self, message_type):
        return [m for m in self.network.sent if type(m) is message_type]


def run_region(scenario, instances=64):
    """Run a scenario in virtual time; return its result."""

    async def run():
        region = Region(instances)
        await asyncio.sleep(15.0)
        try:
            return await scenario(region)
        finally:
            await virtual_fleet.stop_all(region.processes)

    return virtual_fleet.run_virtual(run())


class TestDistribution:
    """A version is fetched by the readers and passed on by instances."""

    @pytest.mark.parametrize('instances', [4, 18, 64])
    def test_only_readers_fetch_it(self, instances):
        """Guards against bytes between regions that grow with the fleet."""

        async def scenario(region):
            time_s = await region.time_in_force()
            await asyncio.sleep(5.0)
            return time_s, region.fetched(), len(region.readers())

        time_s, fetched, readers = run_region(scenario, instances)
        assert fetched <= readers + 1
        assert time_s <= 0.6

    def test_no_instance_sends_it_more_than_a_few_times(self):
        """Guards against a reader that sends it to its whole region."""

        async def scenario(region):
            await region.time_in_force()
            return [
                message.sender.instance
                for message in region.sent(
                    peer_messages.ConfigurationDifference
                )
            ]

        senders = run_region(scenario)
        assert len(senders) <= 64
        assert max(senders.count(name) for name in senders) <= 4

    def test_registrations_come_with_it(self):
        """Guards against a second read of what changed at the same time."""

        async def scenario(region):
            region.store.revision += 1
            entry = make_registration('s2')
            region.store.entries['s2'] = entry
            region.store.history.append((region.store.revision, 's2', entry))
            await region.time_in_force()
            await asyncio.sleep(0.05)
            return [
                (p.state.revision, 's2' in p.state.directory.servers)
                for p in region.processes
            ]

        assert set(run_region(scenario)) == {(4, True)}


class TestFailures:
    """A version gets everywhere in time when instances or messages fail."""

    def test_instance_that_got_nothing_asks_its_zone(self):
        """Guards against followers that all read the store instead."""

        async def scenario(region):
            for process in region.readers():
                exchange = process.peers.configurations
                exchange.pass_on = lambda transfer, targets: None
            time_s = await region.time_in_force()
            requests = region.sent(peer_messages.ConfigurationRequest)
            return time_s, len(requests), region.fetched()

        time_s, requests, fetched = run_region(scenario)
        assert time_s <= APPLY_S
        assert requests > 0
        assert fetched < 30

    @pytest.mark.parametrize('frozen', [1, 3, 6])
    def test_frozen_readers_delay_it_within_the_bound(self, frozen):
        """All six of a region are the worst case."""

        async def scenario(region):
            stopped = region.readers()[:frozen]
            for process in stopped:
                await process.stop()
                process.peers.links.on_message = lambda route, data: None
            running = [p for p in region.processes if p not in stopped]
            return await region.time_in_force(running)

        assert run_region(scenario) <= APPLY_S

    def test_silent_links_leave_the_store(self):
        async def scenario(region):
            region.network.silent_until_s = float('inf')
            return await region.time_in_force()

        assert run_region(scenario) <= APPLY_S

    def test_store_of_a_third_is_silent(self):
        """Such an instance gets the version from its region in time."""

        async def scenario(region):
            for client in region.clients[::3]:
                client.silent_from_s = region.loop.time()
            await asyncio.sleep(4.0)
            return await region.time_in_force()

        assert run_region(scenario) <= APPLY_S


class TestOrder:
    """An instance never goes back to an older version."""

    def transfer(self, region, revision, routes, **changes):
        exchange = region.processes[1].peers.configurations
        newest = make_configuration(*routes, revision=revision)
        exchange.prepare(None, newest)
        return exchange.copy._replace(**changes)

    @pytest.mark.parametrize('revision, in_force', [(0, 2), (1, 2), (9, 9)])
    def test_only_a_newer_version_is_applied(self, revision, in_force):
        async def scenario(region):
            process = region.processes[0]
            message = self.transfer(region, revision, NEXT_ROUTES)
            process.state.apply_configuration(
                make_configuration(revision=2), 'test'
            )
            process.peers.configurations.receive(message, None)
            return process.state.configuration.revision

        assert run_region(scenario, 4) == in_force

    def test_difference_without_its_base_is_replaced_by_a_copy(self):
        """Guards against a mix of two versions."""

        async def scenario(region):
            processes = region.processes
            newest = make_configuration(*NEXT_ROUTES, revision=9)
            sender = processes[1].peers.configurations
            base = make_configuration(*ROUTES, revision=8)
            processes[1].state.apply_configuration(newest, 'test')
            sender.prepare(base, newest)
            processes[0].peers.configurations.receive(
                sender.difference, processes[1].peers.own.address
            )
            before = processes[0].state.configuration.revision
            await asyncio.sleep(0.1)
            return before, processes[0].state.configuration == newest

        assert run_region(scenario, 4) == (1, True)

    def test_other_content_of_a_revision_is_refused(self):
        async def scenario(region):
            message = self.transfer(region, 9, NEXT_ROUTES)
            head = message.head._replace(digest=b'other')
            process = region.processes[0]
            exchange = process.peers.configurations
            exchange.receive(message._replace(head=head), None)
            return process.state.configuration.revision

        assert run_region(scenario, 4) == 1


class TestSeries:
    """Versions that are announced faster than they arrive."""

    def notice(self, region, revision):
        sender = region.processes[1].peers.own
        return peer_messages.ConfigurationNotice(sender, revision)

    def test_wait_does_not_begin_anew_with_each_version(self):
        """Guards against a wait that lasts as long as versions come."""

        async def scenario(region):
            exchange = region.processes[0].peers.configurations
            exchange.request = lambda target, known_revision: None
            began_s = region.loop.time()
            for revision in range(100, 130):
                exchange.receive_notice(self.notice(region, revision), None)
                await asyncio.sleep(0.1)
                if not exchange.is_expecting():
                    break
            return region.loop.time() - began_s

        limit_s = configuration_exchange.EXPECTED_S + 0.1
        assert run_region(scenario, 4) <= limit_s + 0.01

    def test_requests_are_sent_while_newer_versions_are_announced(self):
        """Guards against notices that cancel the requests each time."""

        async def scenario(region):
            exchange = region.processes[0].peers.configurations
            for revision in range(100, 110):
                exchange.receive_notice(
                    self.notice(region, revision),
                    region.processes[1].peers.own.address,
                )
                await asyncio.sleep(0.1)
            return exchange.requests

        assert run_region(scenario, 4) >= 2

    def test_relay_without_the_base_passes_on_what_it_applied(self):
        """Guards against a region that asks those who lack it as well.

        A difference was passed on by instances that could not apply it.
        Those behind them asked them for a copy, which they did not have.
        """

        async def scenario(region):
            relay, target, sender = region.processes[:3]
            newest = make_configuration(*NEXT_ROUTES, revision=9)
            base = make_configuration(*ROUTES, revision=8)
            sender.state.apply_configuration(newest, 'test')
            exchange = sender.peers.configurations
            exchange.prepare(base, newest)
            keys = (peer_messages.member_key(target.peers.own),)
            head = exchange.difference.head._replace(targets=keys)
            relay.peers.configurations.receive(
                exchange.difference._replace(head=head),
                sender.peers.own.address,
            )
            await asyncio.sleep(0.1)
            return [
                one.state.configuration == newest for one in (relay, target)
            ]

        assert run_region(scenario, 4) == [True, True]


class TestConfirmation:
    """What a transfer says of the age of the receiver's list."""

    def test_transfer_with_older_registrations_confirms_nothing(self):
        """Guards against lists that count as new and lack a change.

        The sender knew of a change after the version, and sent its own age.
        """

        async def scenario(region):
            sender, receiver = region.processes[:2]
            newest = make_configuration(*NEXT_ROUTES, revision=9)
            exchange = sender.peers.configurations
            exchange.delta = configuration.RegistrationDelta(2, 9, {})
            sender.state.apply_configuration(newest, 'test')
            exchange.prepare(None, newest)
            sender.state.apply(configuration.Changes(12, None, {'s1': None}))
            known = sender.state.configuration
            before_s = receiver.state.age_s()
            exchange.answer(
                peer_messages.ConfigurationRequest(receiver.peers.own, 0),
                receiver.peers.own.address,
            )
            await asyncio.sleep(0.05)
            is_applied = receiver.state.configuration == known
            return is_applied, receiver.state.age_s() > before_s

        assert run_region(scenario, 4) == (True, True)


class TestWaiting:
    """How long a missing version is expected from other instances."""

    def test_wait_ends_before_the_bound(self):
        expected_s = configuration_exchange.EXPECTED_S
        pause_s = reader_group.PAUSE_AFTER_CHANGE_S
        assert pause_s + expected_s + 0.4 <= APPLY_S
        assert max(configuration_exchange.REQUEST_TIMES_S) < expected_s

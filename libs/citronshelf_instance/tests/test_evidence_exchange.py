"""Tests of how observations reach a region, in virtual time."""

import asyncio
import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import evidence_exchange
from citronshelf_instance import peer_messages
from citronshelf_instance import reader_group
from citronshelf_instance import zone_relays
from instance_builders import make_configuration
from instance_builders import make_registration
import virtual_fleet
from virtual_fleet import run_virtual

ZONES = ('a', 'b', 'c', 'd')
START_S = 6.0
# Time within which all users of a server should know of its first failure.
KNOWN_WITHIN_S = 0.1
FAILURE = evidence.Observation('s1', evidence.HealthSignal.FAILED, 0.0)


async def start_region(network, count):
    """Start instances that are spread over the zones of one region."""
    places = [('r', ZONES[n % len(ZONES)]) for n in range(count)]
    processes = await virtual_fleet.start_peers(
        network, places, settle_s=START_S
    )
    for process in processes:
        process.state.replace(
            configuration.Snapshot(
                1, make_configuration(revision=1), (make_registration('s1'),)
            ),
            source='test',
        )
    network.sent.clear()
    return processes


def run_region(count, scenario):
    """Run a scenario with a started region."""

    async def run():
        network = virtual_fleet.SlowNetwork()
        processes = await start_region(network, count)
        try:
            return await scenario(network, processes)
        finally:
            await virtual_fleet.stop_all(processes)

    return run_virtual(run())


def knows_failure(process):
    server = process.state.directory.servers['s1']
    return server.estimate.failure_probability > 0.7


def count_records(processes):
    """Count the observations that each instance records from now on."""
    counts = collections.Counter()
    for process in processes:
        directory = process.state.directory

        def record(observation, source, directory=directory, of=process):
            counts[of.peers.own.instance] += 1
            return type(directory).record(directory, observation, source)

        directory.record = record
    return counts


def relays_of(processes, zone):
    """Return the processes that are the relays of a zone."""
    observer = next(p for p in processes if p.peers.own.location.zone != zone)
    names = {
        peer.member.instance
        for peer in observer.peers.zones.other_zones()[zone]
    }
    return [p for p in processes if p.peers.own.instance in names]


class TestReach:
    """Load pattern: one server of a large region starts to fail.

    Guards against regions in which only 64 instances learned of a failure, so
    that the others found it by failures of their own.
    """

    @pytest.mark.parametrize('count', [12, 30, 100])
    def test_all_instances_know_a_failure_soon(self, count):
        async def scenario(network, processes):
            processes[0].peers.evidence.record(FAILURE)
            await asyncio.sleep(KNOWN_WITHIN_S)
            return sum(knows_failure(process) for process in processes)

        assert run_region(count, scenario) == count

    def test_all_instances_know_a_leaving_server_soon(self):
        async def scenario(network, processes):
            first = processes[0]
            server = first.state.directory.servers['s1']
            first.state.directory.record_leaving(server, 'q1')
            first.peers.evidence.report_leaving(server)
            await asyncio.sleep(KNOWN_WITHIN_S)
            return [p.state.directory.count_leaving() for p in processes]

        assert run_region(100, scenario) == [1] * 100

    def test_usual_responses_reach_the_region_in_time(self):
        """Servers count as in use only if their responses are known."""

        async def scenario(network, processes):
            good = evidence.Observation('s1', evidence.HealthSignal.GOOD, 1.0)
            counts = count_records(processes)
            processes[0].peers.evidence.record(good)
            await asyncio.sleep(
                evidence_exchange.EVIDENCE_DELAY_S + KNOWN_WITHIN_S
            )
            return counts

        assert list(run_region(30, scenario).values()) == [1] * 30


class TestTraffic:
    """Load pattern: many instances see failures at the same time."""

    def test_one_message_goes_to_each_other_zone(self):
        async def scenario(network, processes):
            processes[0].peers.evidence.record(FAILURE)
            await asyncio.sleep(KNOWN_WITHIN_S)
            return network.sent

        sent = run_region(60, scenario)
        kinds = collections.Counter(map(type, sent))
        assert kinds[peer_messages.EvidenceForZone] == len(ZONES) - 1

    def test_relays_merge_a_burst(self):
        """An instance gets fewer messages than there are observations."""

        async def scenario(network, processes):
            observers = [
                p for p in processes if p.peers.own.location.zone != 'a'
            ]
            counts = count_records(processes)
            for process in observers:
                process.peers.evidence.record(FAILURE)
            await asyncio.sleep(KNOWN_WITHIN_S)
            merged = [
                message
                for message in network.sent
                if isinstance(message, peer_messages.Evidence)
                and message.sender.location.zone == 'a'
            ]
            return counts, len(merged), len(observers)

        counts, merged, observers = run_region(40, scenario)
        assert set(counts.values()) == {observers}
        receivers = 40 / len(ZONES) - 1
        assert merged <= zone_relays.RELAYS * receivers

    def test_connections_do_not_grow_with_the_other_zones(self):
        async def scenario(network, processes):
            await asyncio.sleep(30.0)
            return [len(p.peers.links.connected_s) for p in processes]

        connections = sorted(run_region(100, scenario))
        # Readers report to the region, and all instances to seeds.
        special = reader_group.READERS + virtual_fleet.SEEDS
        relays = (len(ZONES) - 1) * zone_relays.RELAYS
        allowed = 100 / len(ZONES) + relays + special
        assert connections[-special - 1] <= allowed


class TestRelays:
    """Relays may end or be cut off at any time."""

    def test_another_relay_replaces_one_that_ended(self):
        async def scenario(network, processes):
            ended = [relays_of(processes, zone)[0] for zone in 'bcd']
            for process in ended:
                await process.stop()
                del network.links[process.peers.own.address]
            running = [p for p in processes if p not in ended]
            first = next(
                p for p in running if p.peers.own.location.zone == 'a'
            )
            first.peers.evidence.record(FAILURE)
            await asyncio.sleep(KNOWN_WITHIN_S)
            return sum(map(knows_failure, running)), len(running)

        knowing, running = run_region(40, scenario)
        assert knowing == running

    def test_zone_without_reachable_relays_hears_of_itself(self):
        """A zone that is cut off still shares what its instances see."""

        async def scenario(network, processes):
            own = [p for p in processes if p.peers.own.location.zone == 'a']
            for process in processes:
                if process not in own:
                    del network.links[process.peers.own.address]
            own[0].peers.evidence.record(FAILURE)
            await asyncio.sleep(KNOWN_WITHIN_S)
            return sum(map(knows_failure, own)), len(own)

        knowing, count = run_region(40, scenario)
        assert knowing == count

    def test_instance_without_members_records_its_own(self):
        async def scenario(network, processes):
            processes[0].peers.evidence.record(FAILURE)
            await asyncio.sleep(KNOWN_WITHIN_S)
            return knows_failure(processes[0])

        assert run_region(1, scenario)

    def test_restarted_relay_passes_on_again(self):
        async def scenario(network, processes):
            relay = relays_of(processes, 'b')[0]
            number = int(relay.peers.own.instance[1:])
            await relay.stop()
            again = virtual_fleet.Process(
                network, number, 'n2', virtual_fleet.SilentStore(), 'r', 'b'
            )
            again.state.replace(relay.state.snapshot(), source='test')
            again.tasks = [asyncio.create_task(again.peers.run())]
            await asyncio.sleep(START_S)
            counts = count_records([again, *processes])
            message = peer_messages.EvidenceForZone(
                processes[0].peers.own, 1, (FAILURE,)
            )
            again.peers.evidence.relay(message)
            await asyncio.sleep(KNOWN_WITHIN_S)
            await again.stop()
            return counts

        counts = run_region(24, scenario)
        assert sum(counts.values()) == 24 / len(ZONES)


class TestAnyMembership:
    """Instances may see different members, and messages may get lost.

    Compares the exchange with a plain model: whatever is lost, no instance
    records an observation more often than it was made.
    """

    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(
        forgotten=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 11), strategies.integers(0, 11)
            ),
            max_size=30,
        ),
        ended=strategies.sets(strategies.integers(0, 11), max_size=4),
        observers=strategies.lists(
            strategies.integers(0, 11), min_size=1, max_size=8
        ),
    )
    def test_observation_is_recorded_at_most_once(
        self, forgotten, ended, observers
    ):
        async def scenario(network, processes):
            for number, other in forgotten:
                processes[number].peers.members.remove(f'i{other}')
            for number in ended:
                del network.links[virtual_fleet.address(number)]
            counts = count_records(processes)
            for number in observers:
                processes[number].peers.evidence.record(FAILURE)
            await asyncio.sleep(KNOWN_WITHIN_S)
            return counts

        counts = run_region(12, scenario)
        assert max(counts.values()) <= len(observers)
        own = collections.Counter(f'i{number}' for number in observers)
        assert all(counts[name] >= own[name] for name in own)

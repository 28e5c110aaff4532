"""Bytes that instances send to find each other, in virtual time."""

import asyncio

import pytest

from citronshelf_instance import peer_messages
from citronshelf_instance import peers
import virtual_fleet
from virtual_fleet import run_virtual
from virtual_fleet import SEEDS

# Time in which all instances of a region find each other.
START_S = 4.0


async def start_region(network, count):
    """Start instances at the same moment; return them after START_S."""
    places = [('r', 'z')] * count
    return await virtual_fleet.start_peers(network, places, settle_s=START_S)


def count_lists(messages, members):
    """Return how many messages list half of the members or more."""
    return sum(
        isinstance(message, peer_messages.Heartbeat)
        and len(message.members) >= members / 2
        for message in messages
    )


class TestSimultaneousStart:
    """Load pattern: all instances of a region start at the same moment.

    Guards against a region in which each pair of instances sent a list of all
    members: 360 KB an instance at 146, growing with the square of the region.
    """

    async def measure(self, count):
        network = virtual_fleet.SlowNetwork()
        processes = await start_region(network, count)
        members = [process.peers.members.count() for process in processes]
        await virtual_fleet.stop_all(processes)
        sent_bytes = sum(
            len(peer_messages.CODEC.encode(message))
            for message in network.sent
        )
        return members, sent_bytes / count, network.sent

    def test_bytes_of_an_instance_grow_no_faster_than_the_region(self):
        small = run_virtual(self.measure(24))
        large = run_virtual(self.measure(96))
        assert large[1] <= 96 / 24 * small[1]

    @pytest.mark.parametrize('count', [6, 24, 96])
    def test_all_instances_find_each_other(self, count):
        members, _, _ = run_virtual(self.measure(count))
        assert members == [count] * count

    def test_each_instance_gets_a_few_lists(self):
        _, _, sent = run_virtual(self.measure(96))
        assert count_lists(sent, 96) <= 96 * (SEEDS + peers.LIST_PEERS)


class TestRestart:
    """Load pattern: one instance of a running region is replaced."""

    def test_restarted_instance_gets_a_few_lists(self):
        async def restart():
            network = virtual_fleet.SlowNetwork()
            processes = await start_region(network, 48)
            await processes[9].stop()
            network.sent.clear()
            again = virtual_fleet.Process(
                network, 9, 'n2', virtual_fleet.SilentStore()
            )
            again.tasks = [asyncio.create_task(again.peers.run())]
            await asyncio.sleep(START_S)
            count = again.peers.members.count()
            await virtual_fleet.stop_all([*processes, again])
            return count, count_lists(network.sent, 48)

        count, lists = run_virtual(restart())
        assert count == 48
        assert 0 < lists <= SEEDS + peers.LIST_PEERS

    def test_others_learn_of_the_new_process(self):
        async def restart():
            network = virtual_fleet.SlowNetwork()
            processes = await start_region(network, 48)
            await processes[9].stop()
            again = virtual_fleet.Process(
                network, 9, 'n2', virtual_fleet.SilentStore()
            )
            again.tasks = [asyncio.create_task(again.peers.run())]
            await asyncio.sleep(START_S)
            nonces = [
                process.peers.members.known['i9'].member.nonce
                for process in processes
                if process is not processes[9]
            ]
            await virtual_fleet.stop_all([*processes, again])
            return nonces

        assert run_virtual(restart()) == ['n2'] * 47

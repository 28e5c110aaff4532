"""Instances that start while the store is silent, in virtual time."""

import asyncio

import pytest

from citronshelf_instance import configuration
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import store_reader
from citronshelf_traffic import virtual_loop
from instance_builders import make_configuration
from instance_builders import make_registration
import virtual_fleet
from virtual_fleet import address
from virtual_fleet import SEEDS

INSTANCES = 30
# An instance asks no others while a read of the store may still succeed.
STATE_BOUND_S = store_reader.SLOW_READ_S + 0.5


def start_process(network, number, nonce):
    """Return an instance without a response of the store."""
    return virtual_fleet.Process(
        network, number, nonce, virtual_fleet.SilentStore()
    )


def set_state(process):
    process.state.replace(
        configuration.Snapshot(
            5, make_configuration(revision=1), (make_registration('s1'),)
        ),
        source='test',
    )


async def restart(numbers, *, ended=()):
    """Restart instances of a fleet in an outage; return times and messages.

    The instances in ``ended`` do not start again.
    """
    network = virtual_fleet.SlowNetwork()
    processes = [start_process(network, n, 'n1') for n in range(INSTANCES)]
    for process in processes:
        set_state(process)
        process.start()
    await asyncio.sleep(10.0)
    for number in (*numbers, *ended):
        await processes[number].stop()
        del network.links[address(number)]
    # The others still list the ended processes and try to reach them.
    network.sent.clear()
    started = [start_process(network, number, 'n2') for number in numbers]
    for process in started:
        process.start()
    times = await asyncio.gather(*(p.time_to_state() for p in started))
    for process in (*processes, *started):
        await process.stop()
    return times, network.sent


def run_restart(numbers, *, ended=()):
    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        return runner.run(restart(numbers, ended=ended))


class TestStartInOutage:
    """An instance asks others for the state until it has one.

    Guards against instances that answered 503 for up to 3 s, though others
    had the state: they asked one member every 0.5 s, also if it had no state
    or its connection was not established.
    """

    @pytest.mark.parametrize('number', range(SEEDS, SEEDS + 6))
    def test_one_instance_gets_the_state_soon(self, number):
        times, _ = run_restart([number])
        assert times[0] <= STATE_BOUND_S

    def test_instances_that_start_together_get_it_soon(self):
        times, _ = run_restart(range(1, INSTANCES - 5))
        assert max(times) <= STATE_BOUND_S

    def test_state_spreads_although_no_seed_has_it(self):
        """The others are found only when one of them sends a heartbeat."""
        times, _ = run_restart(range(INSTANCES - 5))
        assert max(times) <= 2 * peers.HEARTBEAT_INTERVAL_S

    def test_seeds_that_are_down_delay_it_little(self):
        times, _ = run_restart(range(10, 16), ended=(0, 1, 20, 21, 22))
        assert max(times) <= STATE_BOUND_S

    def test_few_messages_are_sent(self):
        times, sent = run_restart(range(10, 16))
        fetches = [
            message
            for message in sent
            if isinstance(message, peer_messages.FetchState)
            and message.sender.nonce == 'n2'
        ]
        assert len(fetches) <= 4 * len(times)

    def test_one_instance_sends_a_bounded_number_of_copies(self):
        """Many instances may start at once and ask the same one."""

        async def run():
            network = virtual_fleet.SlowNetwork()
            informed = start_process(network, 0, 'n1')
            set_state(informed)
            asking = start_process(network, 1, 'n2').peers
            message = peer_messages.FetchState(asking.own, 0)
            await asyncio.sleep(1.0)
            for _ in range(6400):
                informed.peers.handle(message, ('reply', address(1)))
            await asyncio.sleep(0.1)
            return len(network.sent)

        with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
            copies = runner.run(run())
        limit = peers.MAX_COPY_CREDIT_S / peers.COPY_INTERVAL_S + 1
        assert 1 <= copies <= limit

"""Instances that start while the store is silent, in virtual time."""

import asyncio
import random

from expression import Error
import pytest

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import peers
from citronshelf_instance import published
from citronshelf_instance import reader_group
from citronshelf_instance import registrations
from citronshelf_instance import store_reader
from citronshelf_traffic import virtual_loop
from instance_builders import make_configuration
from instance_builders import make_registration

INSTANCES = 30
SEEDS = 3
CONNECT_S = 0.06
DELIVERY_S = 0.01
CALL_TIMEOUT_S = 1.5
# An instance asks no others while a read of the store may still succeed.
STATE_BOUND_S = store_reader.SLOW_READ_S + 0.5


class SilentStore:
    """Store whose calls time out."""

    async def read_all(self):
        return await self.watch(0, 0.0)

    async def watch(self, after, wait_s):
        await asyncio.sleep(wait_s + CALL_TIMEOUT_S)
        return Error(
            store_reader.StoreFault(
                store_reader.ReadFault.NO_RESPONSE, 'silent'
            )
        )


class SlowNetwork:
    """Connections take ``CONNECT_S``, messages ``DELIVERY_S``.

    Connections to addresses without an instance are never established.
    """

    def __init__(self):
        self.links = {}
        self.sent = []


class SlowLinks:
    """Links of one instance on a ``SlowNetwork``."""

    def __init__(self, network, address):
        self.network = network
        self.address = address
        self.on_message = None
        self.connected_s = {}
        network.links[address] = self

    def connect(self, address):
        now = asyncio.get_running_loop().time()
        self.connected_s.setdefault(address, now + CONNECT_S)

    def disconnect(self, address):
        self.connected_s.pop(address, None)

    def send(self, route, data):
        loop = asyncio.get_running_loop()
        is_reply = isinstance(route, tuple) and route[0] == 'reply'
        address = route[1] if is_reply else route
        end = self.network.links.get(address)
        connected_s = self.connected_s.get(address, float('inf'))
        if end is None or not (is_reply or loop.time() >= connected_s):
            return False
        self.network.sent.append(peer_messages.CODEC.decode(data).ok)
        source = self.address if is_reply else ('reply', self.address)
        loop.call_later(DELIVERY_S, end.on_message, source, data)
        return True


class Process:
    """One instance with its peers and its reader of the store."""

    def __init__(self, network, number, nonce):
        self.loop = asyncio.get_running_loop()
        clock = self.loop.time
        rng = random.Random(number)
        own = peer_messages.Member(
            f'i{number}', nonce, address(number), fleet.Location('r', 'z'), 0.0
        )
        self.state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=rng,
        )
        members = membership.Membership(own=own, clock=clock, rng=rng)
        readers = reader_group.ReaderGroup(members=members, clock=clock)
        self.peers = peers.Peers(
            own=own,
            seeds=[address(seed) for seed in range(SEEDS)],
            links=SlowLinks(network, own.address),
            state=self.state,
            members=members,
            readers=readers,
            clock=clock,
            rng=rng,
        )
        self.reader = store_reader.StoreReader(
            store=SilentStore(),
            state=self.state,
            fetch_from_peers=self.peers.fetch_state,
            group=readers,
            send_report=self.peers.send_report,
            clock=clock,
            rng=rng,
        )
        self.peers.on_peer_revision = self.reader.handle_peer_revision
        self.peers.is_store_current = self.reader.is_current

    def start(self):
        self.tasks = [
            asyncio.create_task(self.peers.run()),
            asyncio.create_task(self.reader.run()),
        ]

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def time_to_state(self):
        """Return the seconds until requests can be routed."""
        began_s = self.loop.time()
        await self.state.wait_routable(10.0)
        return self.loop.time() - began_s


def address(number):
    return fleet.Address('127.0.0.1', 7000 + number)


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
    network = SlowNetwork()
    processes = [Process(network, n, 'n1') for n in range(INSTANCES)]
    for process in processes:
        set_state(process)
        process.start()
    await asyncio.sleep(10.0)
    for number in (*numbers, *ended):
        await processes[number].stop()
        del network.links[address(number)]
    # The others still list the ended processes and try to reach them.
    network.sent.clear()
    started = [Process(network, number, 'n2') for number in numbers]
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
            network = SlowNetwork()
            informed = Process(network, 0, 'n1')
            set_state(informed)
            asking = Process(network, 1, 'n2').peers
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

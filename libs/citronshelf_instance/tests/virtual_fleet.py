"""Instances with a simulated store and network, in virtual time."""

import asyncio
import random

from expression import Error
from expression import Ok

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

SEEDS = 3
CONNECT_S = 0.06
DELIVERY_S = 0.01
STORE_LATENCY_S = 0.02
CALL_TIMEOUT_S = 1.5
NO_RESPONSE = Error(
    store_reader.StoreFault(store_reader.ReadFault.NO_RESPONSE, 'silent')
)


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

    def is_receiving(self):
        return False


class SlowNetwork:
    """Connections take ``CONNECT_S``, messages ``DELIVERY_S``.

    Connections to addresses without an instance are never established.
    Messages are lost until ``silent_until_s``.
    """

    def __init__(self):
        self.links = {}
        self.sent = []
        self.silent_until_s = float('-inf')

    def delivery_s(self, source, target, size):
        """Return the time of a message of ``size`` bytes on its way."""
        return DELIVERY_S


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
        if loop.time() < self.network.silent_until_s:
            return True
        source = self.address if is_reply else ('reply', self.address)
        delivery_s = self.network.delivery_s(self.address, address, len(data))
        loop.call_later(delivery_s, end.on_message, source, data)
        return True


class Process:
    """One instance with its peers and its reader of the store."""

    def __init__(self, network, number, nonce, store, region='r', zone='z'):
        self.loop = asyncio.get_running_loop()
        clock = self.loop.time
        rng = random.Random(number)
        own = peer_messages.Member(
            f'i{number}',
            nonce,
            address(number),
            fleet.Location(region, zone),
            0.0,
        )
        self.state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=rng,
        )
        members = membership.Membership(own=own, clock=clock, rng=rng)
        readers = reader_group.ReaderGroup(
            members=members, list_age_s=self.state.age_s
        )
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
        self.readers = readers
        self.reader = store_reader.StoreReader(
            store=store,
            state=self.state,
            fetch_from_peers=self.peers.fetch_state,
            group=readers,
            send_report=self.peers.send_report,
            clock=clock,
            rng=rng,
        )
        self.peers.on_peer_revision = self.reader.handle_peer_revision
        self.peers.is_store_current = self.reader.is_current
        self.reader.on_unchanged = self.peers.send_report
        exchange = self.peers.configurations
        self.reader.share_configuration = exchange.share
        self.reader.expects_configuration = exchange.is_expecting
        self.reader.lacks_announced = exchange.lacks_announced
        exchange.on_applied = self.reader.end_superseded_watch

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


def run_virtual(scenario):
    """Run a scenario in virtual time and return its result."""
    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        return runner.run(scenario)


async def start_peers(network, places, *, settle_s):
    """Start instances that do not read the store.

    Parameters
    ----------
    network : SlowNetwork
    places : list of tuple of str
        Region and zone of each instance.
    settle_s : float
        Time after which their processes are returned.
    """
    processes = [
        Process(network, number, 'n1', SilentStore(), region, zone)
        for number, (region, zone) in enumerate(places)
    ]
    for process in processes:
        process.tasks = [asyncio.create_task(process.peers.run())]
    await asyncio.sleep(settle_s)
    return processes


async def stop_all(processes):
    for process in processes:
        await process.stop()


def address(number):
    return fleet.Address('127.0.0.1', 7000 + number)


class SimulatedStore:
    """Store with a history of registrations and of one configuration.

    Parameters
    ----------
    published : Configuration
    """

    def __init__(self, published):
        self.published = published
        self.revision = published.revision
        self.history = []
        self.entries = {}
        self.changed = asyncio.Event()

    def put(self, registration):
        """Write a registration."""
        self.revision += 1
        self.entries[registration.server_id] = registration
        self.history.append(
            (self.revision, registration.server_id, registration)
        )
        self.wake_watches()

    def remove(self, server_id):
        """Remove a registration."""
        self.revision += 1
        del self.entries[server_id]
        self.history.append((self.revision, server_id, None))
        self.wake_watches()

    def publish(self, **changes):
        """Publish another version of the configuration."""
        self.revision += 1
        self.published = self.published._replace(
            revision=self.revision, **changes
        )
        self.wake_watches()

    def wake_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def snapshot(self):
        return configuration.Snapshot(
            self.revision, self.published, tuple(self.entries.values())
        )

    def changes(self, after):
        """Return the changes after a revision."""
        changed = {
            server_id: registration
            for revision, server_id, registration in self.history
            if revision > after
        }
        is_newer = self.published.revision > after
        return configuration.Changes(
            self.revision, self.published if is_newer else None, changed
        )


class SimulatedStoreClient:
    """Client of one instance, whose path to the store may be silent.

    Attributes
    ----------
    silent_from_s : float
        Calls get no response from this time on,
    silent_until_s : float
        until this one.
    old_calls_end_s : float
        Calls that began before this time get no response.
    losses : int
        Calls that get no response from now on.
    calls : int
    """

    def __init__(self, store):
        self.store = store
        self.loop = asyncio.get_running_loop()
        self.silent_from_s = float('inf')
        self.silent_until_s = float('inf')
        self.old_calls_end_s = float('-inf')
        self.losses = 0
        self.calls = 0

    async def read_all(self):
        return await self.call(0.0, lambda: self.store.snapshot())

    async def watch(self, after, wait_s):
        return await self.call(
            wait_s, lambda: self.store.changes(after), after
        )

    async def read_newest(self, after):
        return await self.watch(after, 0.0)

    def is_receiving(self):
        return False

    async def call(self, wait_s, respond, after=None):
        """Return the response, or a fault after the timeout of the call."""
        self.calls += 1
        began_s = self.loop.time()
        is_lost = self.losses > 0
        self.losses -= is_lost
        await asyncio.sleep(STORE_LATENCY_S / 2)
        if after is not None and self.store.revision <= after:
            changed = self.store.changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        response = Ok(respond())
        await asyncio.sleep(STORE_LATENCY_S / 2)
        if is_lost or self.is_silent_to(began_s):
            due_s = began_s + wait_s + CALL_TIMEOUT_S
            await asyncio.sleep(max(0.0, due_s - self.loop.time()))
            return NO_RESPONSE
        return response

    def is_silent_to(self, began_s):
        """Return whether a call that began then gets no response."""
        is_old = began_s < self.old_calls_end_s <= self.loop.time()
        now = self.loop.time()
        return is_old or self.silent_from_s <= now < self.silent_until_s

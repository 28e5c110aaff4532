"""A fleet of ``Peering`` objects with simulated time, network and platform."""

import asyncio
import json
import random
import selectors
from typing import NamedTuple

from expression import Error
from expression import Ok

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_peering import neighbour_table
from citronshelf_peering import peering
from citronshelf_peering import shared_value

INSTANCES = (
    ('a1', 'east', 'e1'),
    ('a2', 'east', 'e1'),
    ('a3', 'east', 'e1'),
    ('b1', 'east', 'e2'),
    ('b2', 'east', 'e2'),
    ('c1', 'west', 'w1'),
    ('c2', 'west', 'w1'),
    ('c3', 'west', 'w1'),
)
QUEUE_MESSAGES = 64


class FakeSelector(selectors.SelectSelector):
    """Selector that advances simulated time instead of blocking."""

    now = 1000.0

    def select(self, timeout=None):
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class FakeTimeLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only while all tasks wait."""

    def __init__(self):
        self.fake = FakeSelector()
        super().__init__(self.fake)

    def time(self):
        return self.fake.now


class FakeTimers:
    """Timers of one instance; no wait returns while it is suspended."""

    def __init__(self, loop):
        self.loop = loop
        self.running = asyncio.Event()
        self.running.set()

    def clock(self):
        return self.loop.time()

    wall_clock = clock

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)
        await self.running.wait()

    async def wait(self, event, seconds):
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            pass
        await self.running.wait()


class FakeNet:
    """Network between instances with delay, loss and duplicated messages.

    At most one of two consecutive messages in one direction is lost. All
    messages are lost from ``source`` to ``target`` if the pair is in ``cuts``.
    """

    def __init__(self, loop, rng):
        self.loop = loop
        self.rng = rng
        self.instances = {}
        self.cuts = set()
        self.lost_before = set()
        self.lossy = True
        self.bytes = 0

    def transmit(self, source, target, route, data):
        pair = (source.name, target)
        self.bytes += len(data)
        if pair in self.cuts:
            return
        if self.lossy and pair not in self.lost_before:
            if self.rng.random() < 0.2:
                self.lost_before.add(pair)
                return
        self.lost_before.discard(pair)
        for _ in range(2 if self.lossy and self.rng.random() < 0.1 else 1):
            late = 0.3 if self.lossy and self.rng.random() < 0.05 else 0.03
            delay = self.rng.uniform(0.001, late)
            self.loop.call_later(delay, self.deliver, target, route, data)

    def deliver(self, target, route, data):
        instance = self.instances.get(target)
        if instance is not None:
            instance.links.deliver(route, data)


class FakeLinks:
    """Replaces ``links.ZmqLinks`` for one incarnation of an instance.

    While the instance is suspended, up to ``QUEUE_MESSAGES`` received messages
    are queued.
    """

    def __init__(self, instance, net):
        self.instance = instance
        self.net = net
        self.open = set()
        self.buffer = []
        self.on_message = lambda route, data: None

    @property
    def name(self):
        return self.instance.name

    async def run(self):
        await asyncio.Event().wait()

    def connect(self, address):
        self.open.add(address)

    def disconnect(self, address):
        self.open.discard(address)

    def send(self, route, data):
        own = self.instance.own
        if isinstance(route, fleet.Address):
            if route not in self.open:
                return False
            target = self.instance.names[route]
            sender_route = f'{own.peer.authority()}/{own.incarnation.nonce}'
            self.net.transmit(self, target, sender_route.encode(), data)
            return True
        authority, _, nonce = route.decode().partition('/')
        target = self.instance.names[address_of(authority)]
        instance = self.net.instances.get(target)
        if instance is None or instance.own.incarnation.nonce != nonce:
            return False
        if own.peer in instance.links.open:
            self.net.transmit(self, target, own.peer, data)
        return True

    def deliver(self, route, data):
        if self.instance.timers.running.is_set():
            self.on_message(route, data)
        elif len(self.buffer) < QUEUE_MESSAGES:
            self.buffer.append((route, data))

    def resume(self):
        waiting, self.buffer = self.buffer, []
        for route, data in waiting:
            self.on_message(route, data)


def address_of(authority):
    ip, _, port = authority.rpartition(':')
    return fleet.Address(ip, int(port))


class FakeResponse(NamedTuple):
    """Response of the platform; without a body if nothing has changed."""

    revision: int
    body: bytes | None


class FakePlatform:
    """Platform that keeps all revisions of its values.

    It may be unavailable, or serve the document as it was ``age`` revisions
    ago.
    """

    def __init__(self, loop):
        self.loop = loop
        self.history = {'document': [], 'instances': []}
        self.is_unavailable = False
        self.age = 0
        self.reads = 0

    def publish(self, name, body):
        versions = self.history[name]
        versions.append(shared_value.make_publication(len(versions) + 1, body))
        return versions[-1]

    def current(self, name):
        versions = self.history[name]
        age = self.age if name == 'document' else 0
        return versions[max(0, len(versions) - 1 - age)] if versions else None

    async def read(self, name, *, after, wait_ms):
        self.reads += 1
        until = self.loop.time() + wait_ms / 1000
        while True:
            await asyncio.sleep(0.01)
            if self.is_unavailable:
                return Error('away')
            value = self.current(name)
            if value is None:
                return Error('no value')
            if value.revision > after:
                return Ok(FakeResponse(value.revision, value.body))
            if self.loop.time() >= until:
                return Ok(FakeResponse(0, None))
            await asyncio.sleep(0.2)


class ParsedList(NamedTuple):
    """The parsed fleet list."""

    entries: tuple[fleet.EntryInstance, ...]


def check_document(body):
    if body.startswith(b'good'):
        return Ok(body)
    return Error(('not a good document',))


def check_list(body):
    return Ok(ParsedList(tuple(entry(*row) for row in json.loads(body))))


def entry(name, region, zone):
    number = [row[0] for row in INSTANCES].index(name)
    peer = fleet.Address('127.0.0.1', 7000 + number)
    return fleet.EntryInstance(name, peer, peer, fleet.Location(region, zone))


class FakeInstance:
    """One incarnation of an instance, and the listener of its ``Peering``."""

    def __init__(self, owner, name, number):
        self.fleet = owner
        self.name = name
        listed = entry(*next(row for row in INSTANCES if row[0] == name))
        self.own = neighbour_table.Identity(
            identity.Incarnation(name, 1_000_000 + number, f'{number:016x}'),
            listed.location,
            listed.peer,
            listed.peer,
        )
        self.names = owner.names
        self.timers = FakeTimers(owner.loop)
        self.links = FakeLinks(self, owner.net)
        self.pooled = {}
        self.revisions = []
        self.peering = owner.peering_class(
            identity=self.own,
            seeds=[entry(*INSTANCES[0]).peer, entry(*INSTANCES[5]).peer],
            links=self.links,
            timers=self.timers,
            rng=random.Random(number),
            platform=owner.platform,
            check_document=check_document,
            check_list=check_list,
            listener=self,
        )
        self.peering.evidence_pool.known_servers = frozenset(
            {'s1', 's2', 's3'}
        )
        self.task = owner.loop.create_task(self.peering.run())

    def on_change(self):
        revision = self.peering.document.revision()
        if not self.revisions or self.revisions[-1] != revision:
            self.revisions.append(revision)
            self.fleet.record_in_force(self, revision)

    def on_evidence(self, zone, source, counts):
        for row in counts:
            key = (zone, row.server_id)
            self.pooled[key] = self.pooled.get(key, 0) + row.good

    @property
    def is_suspended(self):
        return not self.timers.running.is_set()


class FakeFleet:
    """All instances; ``peering_class`` may be a mutation of ``Peering``."""

    def __init__(self, seed=0, peering_class=peering.Peering, names=None):
        self.loop = FakeTimeLoop()
        self.net = FakeNet(self.loop, random.Random(seed))
        self.platform = FakePlatform(self.loop)
        self.peering_class = peering_class
        self.names = {entry(*row).peer: row[0] for row in INSTANCES}
        self.incarnation_count = 0
        self.first_in_force = {}
        self.platform.publish('instances', json.dumps(INSTANCES).encode())
        self.platform.publish('document', b'good 1')
        for name in names or [row[0] for row in INSTANCES]:
            self.start(name)

    @property
    def instances(self):
        return self.net.instances

    @property
    def now(self):
        return self.loop.time()

    def start(self, name):
        self.incarnation_count += 1
        self.net.instances[name] = FakeInstance(
            self, name, self.incarnation_count
        )

    def stop(self, name):
        instance = self.net.instances.pop(name)
        instance.task.cancel()
        self.loop.run_until_complete(
            asyncio.gather(instance.task, return_exceptions=True)
        )

    def suspend(self, name):
        self.instances[name].timers.running.clear()

    def resume(self, name):
        instance = self.instances[name]
        instance.timers.running.set()
        instance.links.resume()

    def advance(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))
        for instance in self.instances.values():
            if instance.task.done():
                instance.task.result()

    def record_in_force(self, instance, revision):
        self.first_in_force.setdefault(revision, self.now)

    def running_instances(self):
        return [n for n in self.instances.values() if not n.is_suspended]

    def close(self):
        for name in list(self.instances):
            self.stop(name)
        self.loop.close()

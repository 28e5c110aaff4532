"""Two regions with a narrow link between them, in virtual time.

Responses of the store and messages between instances take up the link by
their size, so that whoever asks for more than it carries falls behind.
"""

import asyncio
import collections

from expression import Ok

from citronshelf_instance import configuration
from instance_builders import make_configuration
from instance_builders import make_registration
from instance_builders import make_route
import virtual_fleet

REGION_BYTES_PER_S = 30e6 / 8
REGION_LATENCY_S = 0.02
PROCESSING_S = 0.003
# A response is sent in parts, between which others have their turn.
PART_BYTES = 16 * 1024
REGISTRATION_BYTES = 400
# As in the adapter of the platform: a watch does not receive several versions.
SPARE_BYTES = 128 * 1024
NEAR, FAR = 'near', 'far'
ROUTES = tuple(make_route(name=f'r{n}', prefix=f'/r{n}/') for n in range(30))


class Link:
    """One direction of the link between the regions."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()
        self.free_s = 0.0
        self.bytes = 0

    def pass_through(self, size):
        """Return in how many seconds a message has passed."""
        self.bytes += size
        now = self.loop.time()
        self.free_s = max(now, self.free_s) + size / REGION_BYTES_PER_S
        return self.free_s - now + REGION_LATENCY_S


class LinkedNetwork(virtual_fleet.SlowNetwork):
    """Network of two regions."""

    def __init__(self):
        super().__init__()
        self.regions = {}
        self.between = {NEAR: Link(), FAR: Link()}

    def delivery_s(self, source, target, size):
        """Return the time of a message between two addresses."""
        region = self.regions[source]
        if region == self.regions[target]:
            return virtual_fleet.DELIVERY_S
        return self.between[region].pass_through(size)


class Store:
    """Store in the near region, which keeps all versions.

    Parameters
    ----------
    version_bytes : int
        Size of each version in a response.
    """

    def __init__(self, version_bytes):
        self.loop = asyncio.get_running_loop()
        self.version_bytes = version_bytes
        self.revision = 0
        self.versions = []
        self.published_s = {}
        self.registrations = {}
        self.changed = asyncio.Event()
        self.publish()
        self.register()

    def publish(self):
        """Publish a version in which one route differs."""
        self.revision += 1
        number = len(self.versions)
        routes = list(self.versions[-1].routes if self.versions else ROUTES)
        index = number % len(routes)
        routes[index] = routes[index]._replace(timeout_s=1.0 + number / 100)
        self.versions.append(
            make_configuration(
                *routes, revision=self.revision, version=self.revision
            )
        )
        self.published_s[self.revision] = self.loop.time()
        self.wake_watches()

    def register(self):
        """Register the server anew."""
        self.revision += 1
        self.registrations['s1'] = self.revision
        self.wake_watches()

    def wake_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def age_s(self, revision):
        """Return for how long a version has been outdated; 0 if it is not."""
        newer = [v.revision for v in self.versions if v.revision > revision]
        if not newer:
            return 0.0
        return self.loop.time() - self.published_s[newer[0]]


class StoreClient:
    """Client of one instance.

    Attributes
    ----------
    silent_until_s : float
        Calls get no response until this time.
    """

    def __init__(self, store, network, region):
        self.store = store
        self.network = network
        self.region = region
        self.loop = asyncio.get_running_loop()
        self.silent_until_s = float('-inf')
        self.calls = 0
        self.received_s = {}

    def is_receiving(self):
        last_s = max(self.received_s.values(), default=float('-inf'))
        return self.loop.time() - last_s < 0.4

    async def read_all(self):
        newest = self.store.versions[-1]
        snapshot = configuration.Snapshot(
            self.store.revision, newest, (make_registration('s1'),)
        )
        return await self.respond(Ok(snapshot), 1, 1)

    async def watch(self, after, wait_s):
        await self.wait_change(after, wait_s)
        versions = [v for v in self.store.versions if v.revision > after]
        if (len(versions) - 2) * self.store.version_bytes > SPARE_BYTES:
            return await self.read_newest(after)
        changed = self.changed_registrations(after)
        changes = configuration.Changes(
            self.store.revision, versions[-1] if versions else None, changed
        )
        return await self.respond(Ok(changes), len(versions), len(changed))

    async def read_newest(self, after):
        changed = await self.watch_registrations(after)
        if changed.is_error():
            return changed
        newest = self.store.versions[-1]
        if newest.revision <= after:
            newest = None
        return await self.respond(
            Ok(changed.ok._replace(configuration=newest)), 1, 0
        )

    async def watch_registrations(self, after):
        changed = self.changed_registrations(after)
        changes = configuration.Changes(self.store.revision, None, changed)
        return await self.respond(Ok(changes), 0, len(changed))

    def changed_registrations(self, after):
        return {
            server_id: make_registration(server_id)
            for server_id, revision in self.store.registrations.items()
            if revision > after
        }

    async def wait_change(self, after, wait_s):
        await asyncio.sleep(self.one_way_s())
        if self.store.revision <= after and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass

    def one_way_s(self):
        return REGION_LATENCY_S if self.region == FAR else 0.002

    async def respond(self, response, versions, registrations):
        """Return a response when its bytes have arrived, or a fault."""
        self.calls += 1
        if self.loop.time() < self.silent_until_s:
            await asyncio.sleep(virtual_fleet.CALL_TIMEOUT_S)
            return virtual_fleet.NO_RESPONSE
        size = (
            versions * self.store.version_bytes
            + registrations * REGISTRATION_BYTES
        )
        call = object()
        try:
            while size > 0:
                part = min(size, PART_BYTES)
                size -= part
                await asyncio.sleep(self.delivery_s(part))
                self.received_s[call] = self.loop.time()
        finally:
            self.received_s.pop(call, None)
        await asyncio.sleep(PROCESSING_S * versions)
        return response

    def delivery_s(self, size):
        if self.region == NEAR:
            return 0.002
        return self.network.between[NEAR].pass_through(size)


class Fleet:
    """Instances of both regions, some of which are restarted.

    Attributes
    ----------
    processes : dict of int to Process
        Running processes by the number of their instance.
    started_s : dict of int to float
    """

    def __init__(self, *, near, far, version_bytes):
        self.loop = asyncio.get_running_loop()
        self.network = LinkedNetwork()
        self.store = Store(version_bytes)
        self.near = near
        self.size = near + far
        self.processes = {}
        self.started_s = {}
        self.starts = collections.Counter()
        for number in range(self.size):
            self.start(number)

    def start(self, number):
        """Start an instance, or start it again."""
        region = NEAR if number < self.near else FAR
        address = virtual_fleet.address(number)
        self.network.regions[address] = region
        self.starts[number] += 1
        process = virtual_fleet.Process(
            self.network,
            number,
            f'n{self.starts[number]}',
            StoreClient(self.store, self.network, region),
            region,
            f'{region}{number % 2}',
        )
        self.processes[number] = process
        self.started_s[number] = self.loop.time()
        process.start()

    async def kill(self, number):
        """End an instance without notice."""
        process = self.processes.pop(number)
        del self.network.links[virtual_fleet.address(number)]
        for links in self.network.links.values():
            links.disconnect(virtual_fleet.address(number))
        await process.stop()

    def count_calls(self):
        """Return the calls to the store of the running processes."""
        return sum(
            process.reader.store.calls for process in self.processes.values()
        )

    def oldest_s(self, running_s):
        """Return the age of the most outdated version that is in force.

        Only at instances that have run for ``running_s`` seconds.
        """
        now = self.loop.time()
        return max(
            (
                self.store.age_s(process.state.configuration.revision)
                for number, process in self.processes.items()
                if now - self.started_s[number] >= running_s
                and process.state.configuration is not None
            ),
            default=0.0,
        )

"""Measures how a configuration gets to all instances, without a network.

The real readers, peers and distribution run in virtual time on links with
limited rates: 5 to 100 Mbit/s for an instance, 30 Mbit/s and 20 ms each way
between two regions. The store is in the first region. A link sends one message
after another, so a long one delays those behind it. Processing takes no time.
Runs are deterministic. Run it with ``PYTHONPATH`` on an earlier build to
compare.
"""

import argparse
import asyncio
import json
import logging
import random
import statistics

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

LINK_BITS_PER_S = (5e6, 10e6, 20e6, 50e6, 100e6)
REGION_BITS_PER_S = 30e6
REGION_LATENCY_S = 0.02
ZONE_LATENCY_S = 0.001
STORE_LATENCY_S = 0.004
ZONES = 4
CALL_TIMEOUT_S = 1.5
SETTLING_S = 25.0
CALM_S = 20.0
# Time between publications, and the share of routes that each one changes.
PUBLISHED_EVERY_S = 8.3
CHANGED_SHARE = 0.01
# A route of the published form has about this many bytes, in Base64 a third
# more.
ROUTE_BYTES = 214
EMPTY_RESPONSE_BYTES = 250
# A response that is abandoned stops after the part that is on its way.
PART_BYTES = 32 * 1024
NO_RESPONSE = Error(
    store_reader.StoreFault(store_reader.ReadFault.NO_RESPONSE, 'late')
)


class Link:
    """One direction of a link, which sends one message after another."""

    def __init__(self, bits_per_s):
        self.bits_per_s = bits_per_s
        self.free_s = 0.0
        self.bytes = 0

    def pass_through(self, now, size):
        """Return when a message of ``size`` bytes has passed."""
        self.bytes += size
        self.free_s = max(now, self.free_s) + 8 * size / self.bits_per_s
        return self.free_s


class Network:
    """Instances with their links and the link between regions."""

    def __init__(self, rng):
        self.loop = asyncio.get_running_loop()
        self.rng = rng
        self.nodes = {}
        self.between = {
            (0, 1): Link(REGION_BITS_PER_S),
            (1, 0): Link(REGION_BITS_PER_S),
        }

    def arrival_s(self, now, size, path):
        """Return when a message arrives at the end of a path.

        Parameters
        ----------
        now : float
        size : int
        path : tuple
            Uplink or None, region of the sender, region of the receiver,
            and downlink.
        """
        uplink, source, target, downlink = path
        if uplink is not None:
            now = uplink.pass_through(now, size)
        if source != target:
            now = self.between[source, target].pass_through(now, size)
            now += REGION_LATENCY_S
        return downlink.pass_through(now + ZONE_LATENCY_S, size)


class Links:
    """Links of one instance; connections are always established."""

    def __init__(self, network, address, region):
        self.network = network
        self.address = address
        self.region = region
        self.on_message = None
        rate = network.rng.choice(LINK_BITS_PER_S)
        self.uplink, self.downlink = Link(rate), Link(rate)
        network.nodes[address] = self

    def connect(self, address):
        """Do nothing."""

    def disconnect(self, address):
        """Do nothing."""

    def send(self, route, data):
        """Deliver a message; a route is an address."""
        end = self.network.nodes.get(route)
        if end is None:
            return False
        loop = self.network.loop
        path = (self.uplink, self.region, end.region, end.downlink)
        arrival_s = self.network.arrival_s(loop.time(), len(data) + 60, path)
        loop.call_at(arrival_s, end.on_message, self.address, data)
        return True


class Store:
    """Store with one configuration and a few registrations."""

    def __init__(self, routes):
        self.routes = routes
        self.published = configuration.Configuration(
            1, 1, tuple(routes), ('s',), configuration.CallerLimits()
        )
        self.size = len(routes) * ROUTE_BYTES * 4 // 3
        self.revision = 1
        self.changed = asyncio.Event()

    def publish(self, rng):
        """Publish a version with some changed routes."""
        routes = list(self.published.routes)
        for index in rng.sample(
            range(len(routes)), max(1, int(CHANGED_SHARE * len(routes)))
        ):
            changed_s = rng.uniform(1, 8)
            routes[index] = routes[index]._replace(timeout_s=changed_s)
        self.revision += 1
        self.published = self.published._replace(
            revision=self.revision,
            version=self.revision,
            routes=tuple(routes),
        )
        self.changed.set()
        self.changed = asyncio.Event()


class StoreClient:
    """Client of one instance, with the rules of the adapter's client."""

    def __init__(self, store, links):
        self.store = store
        self.links = links
        self.calls = 0
        self.arriving = 0
        self.versions = 0

    def is_receiving(self):
        """Return whether a large response is arriving."""
        return self.arriving > 0

    async def read_all(self):
        """Return the snapshot when its bytes have arrived."""
        self.calls += 1
        snapshot = configuration.Snapshot(
            self.store.revision, self.store.published, (make_server(),)
        )
        limit_s = self.links.network.loop.time() + CALL_TIMEOUT_S
        return await self.receive(snapshot, self.store.size, limit_s)

    async def watch_registrations(self, after):
        """Return no changes."""
        self.calls += 1
        changes = configuration.Changes(self.store.revision, None, {})
        return await self.receive(changes, EMPTY_RESPONSE_BYTES, float('inf'))

    async def read_newest(self, after):
        """Return the newest version, in two calls."""
        await self.watch_registrations(after)
        return await self.watch(after, 0.0)

    async def watch(self, after, wait_s):
        """Return changes when their bytes have arrived."""
        self.calls += 1
        limit_s = self.links.network.loop.time() + wait_s + CALL_TIMEOUT_S
        await asyncio.sleep(self.one_way_s())
        if self.store.revision <= after and wait_s > 0:
            try:
                async with asyncio.timeout(wait_s):
                    await self.store.changed.wait()
            except TimeoutError:
                pass
        newest, size = None, EMPTY_RESPONSE_BYTES
        if self.store.revision > after:
            newest, size = self.store.published, self.store.size
            self.versions += 1
        changes = configuration.Changes(self.store.revision, newest, {})
        return await self.receive(changes, size, limit_s)

    def one_way_s(self):
        """Return the time of a request on its way."""
        far_s = REGION_LATENCY_S if self.links.region else 0.0
        return STORE_LATENCY_S / 2 + far_s

    async def receive(self, response, size, limit_s):
        """Wait for a response; earlier builds end a call at ``limit_s``.

        A call that is cancelled stops receiving. Earlier builds let it run on,
        which the model does not show.
        """
        if hasattr(store_reader, 'TRANSFER_CHECK_S'):
            limit_s = float('inf')
        is_large = size > EMPTY_RESPONSE_BYTES
        self.arriving += is_large
        try:
            while size > 0:
                await self.receive_part(min(size, PART_BYTES))
                size -= PART_BYTES
                if self.links.network.loop.time() > limit_s:
                    return NO_RESPONSE
        finally:
            self.arriving -= is_large
        return Ok(response)

    async def receive_part(self, size):
        """Wait for a part of a response."""
        network = self.links.network
        now = network.loop.time()
        path = (None, 0, self.links.region, self.links.downlink)
        due_s = network.arrival_s(now, size, path)
        # The next part is on its way while this one arrives.
        far_s = REGION_LATENCY_S if self.links.region else 0.0
        is_last = size < PART_BYTES
        await asyncio.sleep(max(0.0, due_s - now - (not is_last) * far_s))


class Instance:
    """The real classes of one instance that learn of configurations."""

    def __init__(self, number, region, network, store, seeds):
        self.loop = network.loop
        clock = self.loop.time
        rng = random.Random(number)
        place = fleet.Location(f'r{region}', f'r{region}z{number % ZONES}')
        own = peer_messages.Member(
            f'i{number}', 'n', address(number), place, 0.0
        )
        links = Links(network, own.address, region)
        self.client = StoreClient(store, links)
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
            seeds=seeds,
            links=links,
            state=self.state,
            members=members,
            readers=readers,
            clock=clock,
            rng=rng,
        )
        self.reader = store_reader.StoreReader(
            store=self.client,
            state=self.state,
            fetch_from_peers=self.peers.fetch_state,
            group=readers,
            send_report=self.peers.send_report,
            clock=clock,
            rng=rng,
        )
        self.state.on_change = self.peers.announce_change
        self.peers.on_peer_revision = self.reader.handle_peer_revision
        self.peers.is_store_current = self.reader.is_current
        self.reader.on_unchanged = self.peers.send_report
        exchange = getattr(self.peers, 'configurations', None)
        if exchange is not None:
            self.reader.share_configuration = exchange.share
            self.reader.expects_configuration = exchange.is_expecting
            self.reader.lacks_announced = exchange.lacks_announced
            exchange.on_applied = self.reader.end_superseded_watch

    def start(self):
        """Start the tasks of the instance."""
        self.tasks = [
            self.loop.create_task(self.peers.run()),
            self.loop.create_task(self.reader.run()),
        ]


def address(number):
    """Return the address of an instance."""
    return fleet.Address('127.0.0.1', 7000 + number)


def make_server():
    """Return one registration."""
    return configuration.Registration(
        's1', 's', fleet.Address('127.0.0.1', 9), 'z', 4, False, 0.0, 1
    )


def make_routes(size):
    """Return the routes of a configuration of ``size`` published bytes."""
    return [
        configuration.Route(
            f'route-{n}-of-the-service',
            f'host-{n % 40}.example',
            f'/service/{n * 7919 % 100003}/path/',
            (configuration.WeightedService('s', 1.0),),
            n % 3 == 0,
            2,
            1.5,
            0.8,
            n % 3,
        )
        for n in range(size // ROUTE_BYTES)
    ]


async def measure(instances, size, versions, seed):
    """Return the figures of one fleet as a dict."""
    rng = random.Random(seed)
    network = Network(rng)
    store = Store(make_routes(size))
    seeds = [address(0), address(instances - 1)]
    fleet_of = [
        Instance(n, int(n >= instances // 2), network, store, seeds)
        for n in range(instances)
    ]
    for one in fleet_of:
        one.start()
    loop = network.loop
    await asyncio.sleep(SETTLING_S)
    calls = sum(one.client.calls for one in fleet_of)
    await asyncio.sleep(CALM_S)
    calm = (sum(one.client.calls for one in fleet_of) - calls) / CALM_S
    crossing = network.between[0, 1]
    calm_bytes, fetched = crossing.bytes, 0
    far = [one.client for one in fleet_of if one.client.links.region]
    times_s = []
    for _ in range(versions):
        await asyncio.sleep(rng.uniform(0, 2))
        fetched -= sum(client.versions for client in far)
        began_s = loop.time()
        store.publish(rng)
        missing = list(fleet_of)
        while missing and loop.time() - began_s < 30:
            await asyncio.sleep(0.01)
            late = [
                one
                for one in missing
                if one.state.configuration is None
                or one.state.configuration.revision < store.revision
            ]
            times_s += [loop.time() - began_s] * (len(missing) - len(late))
            missing = late
        await asyncio.sleep(PUBLISHED_EVERY_S)
        fetched += sum(client.versions for client in far)
    for one in fleet_of:
        for task in one.tasks:
            task.cancel()
    return {
        'instances': instances,
        'bytes': size,
        'calls_per_s': round(calm, 2),
        'median_s': round(statistics.median(times_s), 3),
        'largest_s': round(max(times_s), 3),
        'never': versions * instances - len(times_s),
        'fetched_in_far_region': round(fetched / versions, 1),
        'mb_between_regions': round(
            (crossing.bytes - calm_bytes) / versions / 1e6, 3
        ),
    }


def main():
    """Print one line of JSON for each fleet and size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--instances', type=int, nargs='+', default=[36])
    parser.add_argument('--bytes', type=int, nargs='+', default=[300_000])
    parser.add_argument('--versions', type=int, default=3)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for instances in options.instances:
        for size in options.bytes:
            with asyncio.Runner(
                loop_factory=virtual_loop.VirtualLoop
            ) as runner:
                figures = runner.run(
                    measure(instances, size, options.versions, options.seed)
                )
            print(json.dumps(figures), flush=True)


if __name__ == '__main__':
    main()

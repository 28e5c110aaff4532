"""Requests that must run once while servers fail by turns, in virtual time."""

import asyncio
import random

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import placement
from citronshelf_instance import zone_relays
from instance_builders import make_configuration
from instance_builders import make_registration
from instance_builders import make_route
import virtual_fleet
from virtual_fleet import run_virtual

ZONES = ('a', 'b', 'c', 'd')
# Load of the large site: instances and requests a second for each server.
INSTANCES_PER_SERVER = 1.3
REQUESTS_PER_SERVER = 2.0
WORK_S = 0.27
HEALTHY_MEAN_S = 22.0
FAILING_MEAN_S = 10.0
FAILING_ERROR_SHARE = 0.9
START_S = 6.0
WARM_UP_S = 5.0
MEASURED_S = 20.0
SMALL = 12
LARGE = 72
SMALL_SEEDS = range(6)
LARGE_SEEDS = range(2)
# A large region must lose no more than a small one. The allowance is for the
# chance of some thousand requests in all.
ALLOWANCE = 0.02


class TurningServer:
    """A server that fails and recovers by turns."""

    def __init__(self, rng):
        self.rng = rng
        self.is_failing = rng.random() < FAILING_MEAN_S / (
            FAILING_MEAN_S + HEALTHY_MEAN_S
        )

    async def run(self):
        while True:
            mean_s = FAILING_MEAN_S if self.is_failing else HEALTHY_MEAN_S
            await asyncio.sleep(self.rng.expovariate(1 / mean_s))
            self.is_failing = not self.is_failing

    def signal(self):
        """Return the outcome of a request that ends now."""
        if self.is_failing and self.rng.random() < FAILING_ERROR_SHARE:
            return evidence.HealthSignal.FAILED
        return evidence.HealthSignal.GOOD


class Region:
    """Instances, with their real exchange and placement, and servers."""

    def __init__(self, processes, seed):
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(seed)
        count = round(len(processes) / INSTANCES_PER_SERVER)
        names = [f's{number}' for number in range(count)]
        self.servers = {name: TurningServer(self.rng) for name in names}
        self.route = make_route(idempotent=False, target_latency_s=2.0)
        self.processes = processes
        self.placers = [self.make_placer(process) for process in processes]
        self.requests = self.failed = 0

    def make_placer(self, process):
        entries = tuple(
            make_registration(name, zone='a') for name in self.servers
        )
        process.state.replace(
            configuration.Snapshot(
                1, make_configuration(self.route, revision=1), entries
            ),
            source='test',
        )
        return placement.Placer(
            directory=process.state.directory,
            location=fleet.Location('r', 'a'),
            regions={'a': 'r'},
            distances=placement.DistanceCosts(0.0, 0.0, 0.0),
            clock=self.loop.time,
            rng=self.rng,
        )

    async def request(self):
        """Send one request through a random instance."""
        number = self.rng.randrange(len(self.processes))
        server = self.placers[number].choose(
            self.route, 'ledger', 'q', 0, set()
        )
        sent_s = self.loop.time()
        server.running += 1
        await asyncio.sleep(WORK_S * self.rng.uniform(0.5, 1.5))
        server.running -= 1
        signal = self.servers[server.server_id].signal()
        self.requests += 1
        self.failed += signal is evidence.HealthSignal.FAILED
        self.processes[number].peers.evidence.record(
            evidence.Observation(
                server.server_id, signal, 1.0, self.loop.time() - sent_s
            )
        )

    async def arrivals(self):
        rate = REQUESTS_PER_SERVER * len(self.servers)
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.expovariate(rate))
                group.create_task(self.request())


async def failed_share(count, seed):
    """Return the share of requests that fail in a region."""
    network = virtual_fleet.SlowNetwork()
    places = [('r', ZONES[n % len(ZONES)]) for n in range(count)]
    processes = await virtual_fleet.start_peers(
        network, places, settle_s=START_S
    )
    region = Region(processes, seed)
    tasks = [
        asyncio.create_task(server.run()) for server in region.servers.values()
    ]
    tasks.append(asyncio.create_task(region.arrivals()))
    await asyncio.sleep(WARM_UP_S)
    region.requests = region.failed = 0
    await asyncio.sleep(MEASURED_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for process in processes:
        process.peers.close()
    await virtual_fleet.stop_all(processes)
    return region.failed / region.requests


def mean_failed_share(count, seeds):
    shares = [run_virtual(failed_share(count, seed)) for seed in seeds]
    return sum(shares) / len(shares)


class TestServersFailByTurns:
    """Load pattern: servers of a large region fail for seconds by turns.

    Each instance sees a small part of the failures itself. Guards against a
    region that loses more requests than a small one with as many requests for
    each server, since observations reached a part of it only.
    """

    def test_large_region_loses_no_more_than_a_small_one(self):
        small = mean_failed_share(SMALL, SMALL_SEEDS)
        large = mean_failed_share(LARGE, LARGE_SEEDS)
        assert large <= small + ALLOWANCE

    def test_region_without_relays_loses_more(self, monkeypatch):
        """The comparison shows a loss if zones hear only of themselves."""
        small = mean_failed_share(SMALL, SMALL_SEEDS)
        monkeypatch.setattr(zone_relays, 'RELAYS', 0)
        large = mean_failed_share(LARGE, LARGE_SEEDS)
        assert large > small + ALLOWANCE

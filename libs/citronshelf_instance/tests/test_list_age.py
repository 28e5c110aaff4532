"""How long an instance uses a list of servers that has changed."""

import asyncio

from citronshelf_instance import reader_group
from citronshelf_instance import store_reader
from citronshelf_traffic import virtual_loop
from instance_builders import make_configuration
from instance_builders import make_registration
import virtual_fleet

INSTANCES = 26
# Time within which a draining server gets no new work any more.
DRAIN_TIMEOUT_S = 2.5
STEP_S = 0.05


class Region:
    """Instances of one region, which share readers of the store."""

    def __init__(self, instances=INSTANCES):
        self.loop = asyncio.get_running_loop()
        self.network = virtual_fleet.SlowNetwork()
        self.store = virtual_fleet.SimulatedStore(
            make_configuration(revision=1)
        )
        self.store.put(make_registration('s1'))
        self.clients = []
        self.processes = []
        for number in range(instances):
            client = virtual_fleet.SimulatedStoreClient(self.store)
            process = virtual_fleet.Process(self.network, number, 'n1', client)
            self.clients.append(client)
            self.processes.append(process)
            process.start()

    def readers(self):
        """Return the clients of the instances that read for the others."""
        pairs = zip(self.processes, self.clients, strict=True)
        return [
            client for process, client in pairs if process.readers.is_reader()
        ]

    def is_draining(self, process):
        """Return whether an instance knows that the server drains."""
        server = process.state.directory.servers['s1']
        return server.registration.draining

    async def time_to_drain(self, processes, limit_s=20.0):
        """Drain the server; return the time until all instances know it."""
        self.store.put(make_registration('s1', draining=True))
        began_s = self.loop.time()
        while not all(self.is_draining(process) for process in processes):
            if self.loop.time() - began_s > limit_s:
                break
            await asyncio.sleep(STEP_S)
        return self.loop.time() - began_s

    async def stop(self):
        for process in self.processes:
            await process.stop()


def run_region(scenario):
    """Run a scenario with a region in virtual time; return its result."""

    async def run():
        region = Region()
        await asyncio.sleep(10.0)
        try:
            return await scenario(region)
        finally:
            await region.stop()

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        return runner.run(run())


def slowest_drain(delays_s, disrupt):
    """Return the longest time until instances know of a draining server.

    Parameters
    ----------
    delays_s : list of float
        Times from the disruption until the server drains, one run for each.
    disrupt : callable
        Disrupts a region; returns the instances that must learn of it.
    """

    async def scenario(region, delay_s):
        await asyncio.sleep(delay_s / 3)
        processes = disrupt(region)
        await asyncio.sleep(delay_s)
        return await region.time_to_drain(processes)

    return max(
        run_region(lambda region, delay_s=delay_s: scenario(region, delay_s))
        for delay_s in delays_s
    )


class TestAge:
    """All instances that reach the store learn of a draining server."""

    # Guards against requests to a draining server for up to 7 s: readers
    # whose watch got no response reported that their list was the newest.
    def test_followers_notice_that_readers_lost_the_store(self):
        def silence_readers(region):
            readers = region.readers()
            assert len(readers) == reader_group.READERS
            for client in readers:
                client.silent_from_s = region.loop.time()
            return [
                process
                for process in region.processes
                if not process.readers.is_reader()
            ]

        delays_s = [0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0]
        assert slowest_drain(delays_s, silence_readers) <= DRAIN_TIMEOUT_S

    # Guards against a draining server that nobody notices while the watches
    # of all instances wait for responses that were lost.
    def test_lost_responses_delay_no_instance(self):
        def lose_responses(region):
            for client in region.clients:
                client.old_calls_end_s = region.loop.time()
            return region.processes

        delays_s = [0.2, 0.5, 1.0, 1.5, 2.0, 3.0]
        assert slowest_drain(delays_s, lose_responses) <= DRAIN_TIMEOUT_S

    # Guards against requests to a draining server for up to 3.5 s: one call
    # without a response was awaited until its timeout, after a pause of the
    # readers and the wait of their followers.
    def test_one_lost_response_delays_no_instance(self):
        def lose_next_response(region):
            for process, client in zip(
                region.processes, region.clients, strict=True
            ):
                client.losses = int(not process.readers.is_reader())
            # The readers pause after this change.
            region.store.put(make_registration('s2'))
            region.loop.call_later(0.3, region.store.publish)
            return region.processes

        assert slowest_drain([0.1, 0.2], lose_next_response) <= DRAIN_TIMEOUT_S

    def test_undisrupted_region_learns_after_one_pause_at_most(self):
        slowest_s = slowest_drain(
            [0.2, 1.0, 2.0], lambda region: region.processes
        )
        assert slowest_s <= store_reader.PAUSE_AFTER_CHANGE_S + 0.5

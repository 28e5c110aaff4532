"""How long an instance uses a list of servers that has changed."""

import asyncio

import pytest

from citronshelf_instance import reader_group
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

    def uses_server(self, process):
        """Return whether an instance may send requests to the server."""
        usable = process.state.directory.usable('ledger')
        return any(server.server_id == 's1' for server in usable)

    async def time_to_drain(self, processes, limit_s=20.0):
        """Drain the server; return the time until no instance uses it."""
        self.store.put(make_registration('s1', draining=True))
        return await self.time_until_unused(processes, limit_s)

    async def time_to_remove(self, processes, limit_s=20.0):
        """Remove the server; return the time until no instance uses it."""
        self.store.remove('s1')
        return await self.time_until_unused(processes, limit_s)

    async def time_until_unused(self, processes, limit_s):
        began_s = self.loop.time()
        while any(self.uses_server(process) for process in processes):
            if self.loop.time() - began_s > limit_s:
                break
            await asyncio.sleep(STEP_S)
        return self.loop.time() - began_s

    async def stop(self):
        for process in self.processes:
            await process.stop()


def run_region(scenario, instances=INSTANCES):
    """Run a scenario with a region in virtual time; return its result."""

    async def run():
        region = Region(instances)
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
        assert slowest_s <= reader_group.PAUSE_AFTER_CHANGE_S + 0.5


class TestSilence:
    """All open connections go silent at once at a quiet hour.

    Guards against an instance that knows of a change only after 12 s, since
    nothing bounded the age of what it knows in regions of under 24 instances.
    """

    # Links between instances are found dead after this time.
    LINKS_SILENT_S = 3.0

    @pytest.mark.parametrize('instances', [1, 2, 4, 9, 18, 26])
    @pytest.mark.parametrize('delay_s', [0.1, 0.7, 1.3, 2.1, 3.6])
    def test_change_is_known_everywhere_in_time(self, instances, delay_s):
        async def scenario(region):
            now = region.loop.time()
            region.network.silent_until_s = now + self.LINKS_SILENT_S
            for client in region.clients:
                client.old_calls_end_s = now
            await asyncio.sleep(delay_s)
            return await region.time_to_drain(region.processes)

        assert run_region(scenario, instances) <= DRAIN_TIMEOUT_S

    @pytest.mark.parametrize('instances', [4, 9, 18])
    def test_age_is_bounded_when_readers_report_nothing(self, instances):
        """The readers hear the store, and nobody hears them."""

        async def scenario(region):
            region.network.silent_until_s = float('inf')
            ages_s = []
            for _ in range(200):
                await asyncio.sleep(STEP_S)
                ages_s += [one.state.age_s() for one in region.processes]
            return max(ages_s)

        assert run_region(scenario, instances) <= DRAIN_TIMEOUT_S


class TestCalls:
    """A region makes no more calls to the store than before in calm.

    Before, each of under 24 instances drew a wait from 2 s to 2 s and 0.28 s
    for each instance of the fleet, and each of six readers of a larger region
    one up to 5.4 s.
    """

    @pytest.mark.parametrize(
        'instances, most_per_s', [(4, 1.28), (9, 2.0), (18, 2.56), (55, 3.41)]
    )
    def test_calls_in_calm(self, instances, most_per_s):
        async def scenario(region):
            before = sum(client.calls for client in region.clients)
            await asyncio.sleep(100.0)
            return sum(client.calls for client in region.clients) - before

        assert run_region(scenario, instances) / 100.0 <= most_per_s


class TestRemovalAfterPartialOutage:
    """A server that leaves is not kept for an outage that others had."""

    OUTAGE_S = 6.0

    def slowest_removal(self, delay_s, *, outages, checked):
        """Return the longest time until the removed server is unused.

        Parameters
        ----------
        delay_s : float
            Time from the end of the outage to the removal.
        outages, checked : callable
            Return whether an instance has the outage, and whether it must
            not use the server any more.
        """

        async def scenario(region):
            now = region.loop.time()
            pairs = zip(region.processes, region.clients, strict=True)
            checked_processes = []
            for process, client in pairs:
                if outages(process):
                    client.silent_from_s = now
                    client.silent_until_s = now + self.OUTAGE_S
                if checked(process):
                    checked_processes.append(process)
            await asyncio.sleep(self.OUTAGE_S + delay_s)
            return await region.time_to_remove(checked_processes)

        return run_region(scenario)

    # Guards against requests to a server that has left for 3 s and more: one
    # reader that regained the store made its whole region keep the removed
    # server for 2 s, and the readers until their next watch ended.
    def test_instances_without_an_outage_drop_the_server(self):
        def is_first_reader(process):
            return process.readers.rank() in (0, 1)

        times_s = [
            self.slowest_removal(
                delay_s,
                outages=is_first_reader,
                checked=lambda process: not is_first_reader(process),
            )
            for delay_s in (0.2, 0.6, 1.0, 1.4)
        ]
        assert max(times_s) <= DRAIN_TIMEOUT_S

    # Guards against a lapsed entry that is used until the end of a watch.
    def test_instances_with_an_outage_drop_it_in_time(self):
        """They count as reaching the store from 3 s after its return on."""

        def is_first(process):
            return process.readers.rank() < 9

        delays_s = [0.2, 0.6, 1.0, 1.4, 2.0]
        times_s = [
            self.slowest_removal(
                delay_s, outages=is_first, checked=lambda process: True
            )
            for delay_s in delays_s
        ]
        late_s = [
            time_s - max(DRAIN_TIMEOUT_S, 3.0 - delay_s)
            for time_s, delay_s in zip(times_s, delays_s, strict=True)
        ]
        assert max(late_s) <= 0

    def test_servers_that_lapse_in_an_outage_of_all_stay_in_use(self):
        async def scenario(region):
            now = region.loop.time()
            for client in region.clients:
                client.silent_from_s = now
                client.silent_until_s = now + self.OUTAGE_S
            await asyncio.sleep(self.OUTAGE_S - 0.5)
            region.store.remove('s1')
            await asyncio.sleep(0.5 + 2.0)
            used = [region.uses_server(p) for p in region.processes]
            region.store.put(make_registration('s1'))
            await asyncio.sleep(3.0)
            return used + [region.uses_server(p) for p in region.processes]

        assert all(run_region(scenario))

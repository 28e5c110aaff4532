"""How old a configuration gets while versions come in quick succession."""

import asyncio
import random

import pytest

from citronshelf_instance import reader_group
import linked_fleet
import virtual_fleet

# A request is served by a version that was the newest at most this long ago.
APPLY_S = 2.5
# An instance that started less than this long ago may still be older.
RUNNING_S = 3.0
SETTLING_S = 12.0
STORM_S = 20.0
STEP_S = 0.05


class Storm:
    """Versions and registrations at fixed intervals, with restarts.

    Parameters
    ----------
    fleet : Fleet
    interval_s : float
        Time between two versions.
    restarts : bool
        Whether instances are killed and started again, one each 1.5 s.
    seed : int
    """

    def __init__(self, *, fleet, interval_s, restarts=False, seed=1):
        self.fleet = fleet
        self.interval_s = interval_s
        self.restarts = restarts
        self.rng = random.Random(seed)
        self.oldest_s = 0.0
        self.calls = 0

    async def run(self):
        """Play the storm; record the age of the oldest version in force."""
        steps = [
            asyncio.create_task(self.publish()),
            asyncio.create_task(self.register()),
        ]
        if self.restarts:
            steps.append(asyncio.create_task(self.restart()))
        end_s = self.fleet.loop.time() + STORM_S
        calls = self.fleet.count_calls()
        while self.fleet.loop.time() < end_s:
            await asyncio.sleep(STEP_S)
            self.oldest_s = max(self.oldest_s, self.fleet.oldest_s(RUNNING_S))
        for step in steps:
            step.cancel()
        self.calls = self.fleet.count_calls() - calls

    async def publish(self):
        while True:
            self.fleet.store.publish()
            await asyncio.sleep(self.interval_s)

    async def register(self):
        while True:
            self.fleet.store.register()
            await asyncio.sleep(self.rng.uniform(0.2, 0.6))

    async def restart(self):
        while True:
            number = self.rng.choice(list(self.fleet.processes))
            await self.fleet.kill(number)
            await asyncio.sleep(1.5)
            self.fleet.start(number)


def oldest_in_storm(version_bytes, **options):
    """Return the age of the oldest version in force in a storm."""
    return play(version_bytes, **options).oldest_s


def play(version_bytes, *, is_silent=False, **options):
    """Play a storm in a fleet of two regions and return it.

    If ``is_silent``, all messages between instances are lost meanwhile.
    """

    async def run():
        fleet = linked_fleet.Fleet(
            near=20, far=16, version_bytes=version_bytes
        )
        await asyncio.sleep(SETTLING_S)
        storm = Storm(fleet=fleet, **options)
        if is_silent:
            fleet.network.silent_until_s = float('inf')
        try:
            await storm.run()
        finally:
            await virtual_fleet.stop_all(list(fleet.processes.values()))
        return storm

    return virtual_fleet.run_virtual(run())


class TestStorm:
    """The age stays within the bound at any rate of versions."""

    @pytest.mark.parametrize(
        'version_bytes, interval_s, restarts',
        [
            (90_000, 0.15, False),
            (90_000, 0.15, True),
            (90_000, 0.03, True),
            (400_000, 0.33, True),
        ],
    )
    def test_no_instance_falls_behind(
        self, version_bytes, interval_s, restarts
    ):
        """Guards against responses that hold each version of a pause.

        They took up the link between regions, so that all instances of the
        far region went on with versions from before the bound.
        """
        oldest_s = oldest_in_storm(
            version_bytes, interval_s=interval_s, restarts=restarts
        )
        assert oldest_s <= APPLY_S

    @pytest.mark.parametrize(
        'version_bytes, interval_s', [(90_000, 0.15), (400_000, 0.33)]
    )
    def test_instances_without_each_other(self, version_bytes, interval_s):
        """Guards against a first call that asks for all missed versions."""
        storm = play(version_bytes, interval_s=interval_s, is_silent=True)
        assert storm.oldest_s <= APPLY_S

    @pytest.mark.parametrize('interval_s', [0.15, 0.03])
    def test_calls_do_not_grow_with_the_versions(self, interval_s):
        """Guards against instances that all read the store in a series.

        The first reader of each region makes two calls at each interval.
        """
        calls = play(90_000, interval_s=interval_s).calls
        assert calls <= 2 * 2 * STORM_S / reader_group.SERIES_INTERVAL_S

"""Membership of an idle fleet, in virtual time."""

import asyncio

import pytest

from citronshelf_instance import membership
import virtual_fleet
from virtual_fleet import run_virtual

PLACES = (('east', 'a'), ('east', 'b'), ('west', 'c'), ('west', 'd'))
START_S = 10.0
IDLE_S = 3 * membership.MEMBER_EXPIRY_S


async def start_fleet(network, count):
    """Start instances in the four zones of two regions."""
    places = [PLACES[number % len(PLACES)] for number in range(count)]
    return await virtual_fleet.start_peers(network, places, settle_s=START_S)


class TestIdleFleet:
    """Load pattern: no requests for a minute, so only heartbeats are sent.

    Guards against live members that were dropped and greeted again all the
    time: in a region of 146, each heartbeat had 6 members, and a member
    expired after 20 s.
    """

    @pytest.mark.parametrize('count', [24, 100])
    def test_live_members_are_kept(self, count):
        async def run():
            processes = await start_fleet(virtual_fleet.SlowNetwork(), count)
            least = []
            for _ in range(int(IDLE_S)):
                await asyncio.sleep(1.0)
                least.append(min(p.peers.members.count() for p in processes))
            await virtual_fleet.stop_all(processes)
            return least

        assert min(run_virtual(run())) == count

    def test_ended_member_expires(self):
        """Ages that others pass on must not keep it alive."""

        async def run():
            network = virtual_fleet.SlowNetwork()
            processes = await start_fleet(network, 24)
            await processes[5].stop()
            del network.links[virtual_fleet.address(5)]
            await asyncio.sleep(membership.MEMBER_EXPIRY_S + 1.0)
            knowing = [
                process.peers.own.instance
                for process in processes
                if 'i5' in process.peers.members.known
            ]
            await virtual_fleet.stop_all(processes)
            return knowing

        assert run_virtual(run()) == []

    def test_left_member_does_not_return(self):
        """Instances that missed the announcement still pass its age on."""

        async def run():
            network = virtual_fleet.SlowNetwork()
            processes = await start_fleet(network, 24)
            leaving = processes[5]
            missed = next(iter(leaving.peers.links.connected_s))
            leaving.peers.links.disconnect(missed)
            leaving.peers.leave()
            await leaving.stop()
            del network.links[virtual_fleet.address(5)]
            others = [p for p in processes if p is not leaving]
            known = []
            for _ in range(8):
                await asyncio.sleep(1.0)
                known.append(
                    sum('i5' in p.peers.members.known for p in others)
                )
            await virtual_fleet.stop_all(others)
            return known

        assert run_virtual(run())[-1] == 0


class TestSeeds:
    """Seeds name few instances, which may all be of one region."""

    def test_region_without_seeds_finds_itself(self):
        async def run():
            places = [('east', 'a')] * virtual_fleet.SEEDS
            places += [PLACES[n % len(PLACES)] for n in range(21)]
            processes = await virtual_fleet.start_peers(
                virtual_fleet.SlowNetwork(), places, settle_s=START_S
            )
            counts = [p.peers.members.count() for p in processes]
            await virtual_fleet.stop_all(processes)
            return counts

        assert run_virtual(run()) == [24] * 24

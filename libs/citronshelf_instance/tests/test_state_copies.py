"""Tests of copies of the published state from other instances."""

import asyncio
import random


from citronshelf_instance import configuration
from citronshelf_instance import published
from citronshelf_instance import registrations
from instance_builders import make_configuration
import peer_fleet


class TestState:
    """An instance that cannot read the store fetches from another one."""

    def test_newer_state_is_applied(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            newer = configuration.Snapshot(
                9, make_configuration(revision=8), ()
            )
            for number in (2, 4, 5):
                group.instances[number].state.replace(newer, source='test')
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            return group.instances[1].state

        state = asyncio.run(run())
        assert (state.revision, state.configuration.revision) == (9, 8)
        assert state.directory.servers == {}

    def test_copy_names_a_configuration_that_could_not_be_read(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            newer = configuration.Snapshot(
                9, make_configuration(revision=5), (), unread_configuration=8
            )
            for number in (2, 4, 5):
                group.instances[number].state.replace(newer, source='test')
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            return group.instances[1].state

        state = asyncio.run(run())
        assert state.revision == 9
        assert state.lacks_configuration()

    def test_older_state_is_ignored(self, clock):
        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            newer = configuration.Snapshot(
                9, make_configuration(revision=8), ()
            )
            group.instances[1].state.replace(newer, source='test')
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            return group.instances[1].state.revision

        assert asyncio.run(run()) == 9


class TestStateAfterOutage:
    """Entries that lapsed in an outage of the store may still return.

    Guards against an instance without any server: it fetched the state from
    one that had read that all entries had lapsed.
    """

    def fetch(self, clock, prepare=lambda group: None, grace_s=0.0):
        """Return the state of an instance after it fetched from others.

        The others have read, after an outage, that all entries lapsed.
        """

        async def run():
            group = peer_fleet.Fleet(clock)
            await group.step(rounds=3)
            for number in (2, 4, 5):
                state = group.instances[number].state
                state.directory.record_store_recovery()
                state.apply(
                    configuration.Changes(9, None, {'s1': None, 's2': None})
                )
            prepare(group)
            clock.advance(0.5)
            group.instances[1].fetch_state()
            await asyncio.sleep(0.02)
            clock.advance(grace_s)
            state = group.instances[1].state
            state.directory.drop_lapsed()
            return state

        return asyncio.run(run())

    def test_servers_stay_in_use(self, clock):
        state = self.fetch(clock)
        assert state.revision == 9
        assert len(state.directory.usable('ledger')) == 2

    def test_started_instance_uses_them(self, clock):
        def restart(group):
            one = group.instances[1]
            fresh = registrations.Directory(clock=clock)
            one.state = published.PublishedState(
                directory=fresh, clock=clock, rng=random.Random(1)
            )

        state = self.fetch(clock, restart)
        assert state.is_routable()
        assert len(state.directory.usable('ledger')) == 2

    def test_servers_leave_when_the_grace_period_of_the_sender_ends(
        self, clock
    ):
        grace_s = registrations.LAPSED_GRACE_S - 0.5
        assert self.fetch(clock, grace_s=grace_s).directory.servers == {}

"""Tests of reports of the readers of the store to their region."""

import asyncio

import pytest

from citronshelf_instance import configuration
from citronshelf_instance import reader_group
import peer_fleet


class TestReports:
    """Readers of the store report to the instances of their region."""

    @pytest.fixture(autouse=True)
    def small_groups(self, monkeypatch):
        monkeypatch.setattr(reader_group, 'READERS', 1)

    def report(
        self,
        clock,
        delta,
        *,
        is_current=True,
        prepare=None,
        confirmed_ago_s=0.0,
    ):
        """Let the reader of each region report; return the instances.

        The store confirmed the reader's state ``confirmed_ago_s`` before.
        """

        async def run():
            group = peer_fleet.Fleet(clock, count=9)
            await group.step(rounds=4)
            for one in group.instances:
                one.is_store_current = lambda: is_current
            if prepare is not None:
                prepare(group)
            for one in group.instances:
                if one.own.location.region == 'kolkata':
                    if one.readers.is_reader():
                        one.state.directory.confirm(confirmed_ago_s)
                    one.send_report(delta)
            await asyncio.sleep(0.02)
            return group.instances

        return asyncio.run(run())

    def of_region(self, instances, region):
        return [i for i in instances if i.own.location.region == region]

    def test_delta_reaches_the_region_of_its_reader(self, clock):
        delta = configuration.RegistrationDelta(1, 4, {'s2': None})
        instances = self.report(clock, delta)
        local = self.of_region(instances, 'kolkata')
        followers = [one for one in local if not one.readers.is_reader()]
        assert len(followers) == len(local) - 1
        for one in followers:
            assert list(one.state.directory.servers) == ['s1']
            assert one.readers.is_covered()
        for one in self.of_region(instances, 'siliguri'):
            assert list(one.state.directory.servers) == ['s1', 's2']
            assert not one.readers.is_covered()

    def test_reader_without_recent_response_covers_nobody(self, clock):
        limit_s = reader_group.FOLLOWER_AGE_LIMIT_S
        instances = self.report(clock, None, confirmed_ago_s=limit_s)
        assert not any(one.readers.is_covered() for one in instances)
        instances = self.report(clock, None, confirmed_ago_s=limit_s - 0.1)
        followers = [
            one
            for one in self.of_region(instances, 'kolkata')
            if not one.readers.is_reader()
        ]
        assert all(one.readers.is_covered() for one in followers)

    def test_nothing_is_reported_while_the_store_is_away(self, clock):
        instances = self.report(clock, None, is_current=False)
        assert not any(one.readers.is_covered() for one in instances)

    def test_delta_with_a_gap_before_it_must_be_read(self, clock):
        behind = []

        def observe(group):
            for one in group.instances:
                one.on_peer_revision = behind.append

        delta = configuration.RegistrationDelta(3, 4, {'s2': None})
        instances = self.report(clock, delta, prepare=observe)
        for one in instances:
            assert list(one.state.directory.servers) == ['s1', 's2']
            assert one.state.revision == 1
        followers = len(self.of_region(instances, 'kolkata')) - 1
        assert behind == [3] * followers

    def test_full_read_of_a_reader_shows_a_gap(self, clock):
        """It may hold changes that were not reported."""
        behind = []

        def read_again(group):
            for one in group.instances:
                one.on_peer_revision = behind.append
                if one.readers.is_reader():
                    one.state.replace(
                        configuration.Snapshot(9, None, ()), source='store'
                    )

        self.report(clock, None, prepare=read_again)
        assert behind
        assert set(behind) == {9}

    def test_revision_advances_while_nothing_changes(self, clock):
        def advance(group):
            for one in group.instances:
                if one.readers.is_reader():
                    one.state.apply(configuration.Changes(8, None, {}))

        instances = self.report(clock, None, prepare=advance)
        for one in self.of_region(instances, 'kolkata'):
            assert one.state.revision == 8
            assert list(one.state.directory.servers) == ['s1', 's2']

    def test_entries_that_lapsed_in_an_outage_are_kept(self, clock):
        def recover(group):
            for one in group.instances:
                if one.readers.is_reader():
                    one.state.directory.record_store_recovery()

        delta = configuration.RegistrationDelta(1, 4, {'s2': None})
        instances = self.report(clock, delta, prepare=recover)
        for one in self.of_region(instances, 'kolkata'):
            assert 's2' in one.state.directory.servers

"""Tests of which instances read the store for their region."""

import random

import pytest

from citronshelf_common import fleet
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import reader_group


def make_member(number, region='kolkata'):
    return peer_messages.Member(
        f'{region}-{number}',
        'n',
        fleet.Address('127.0.0.1', 7000 + number),
        fleet.Location(region, 'z'),
        0.0,
    )


def make_group(clock, number, members):
    """Return the group of one instance that knows all others."""
    known = membership.Membership(
        own=members[number], clock=clock, rng=random.Random(1)
    )
    for member in members:
        known.record_member(member)
    group = reader_group.ReaderGroup(members=known, list_age_s=lambda: None)
    return group


class TestChoice:
    """A few instances of a region read the store for all."""

    @pytest.mark.parametrize('count', [24, 51, 400])
    def test_instances_agree_on_the_readers(self, clock, count):
        members = [make_member(n) for n in range(count)]
        groups = [make_group(clock, n, members) for n in range(count)]
        readers = [group for group in groups if group.is_reader()]
        assert len(readers) == reader_group.READERS

    @pytest.mark.parametrize(
        'count, expected', [(1, 1), (2, 2), (4, 2), (9, 3), (18, 5), (23, 5)]
    )
    def test_small_region_has_fewer_readers(self, clock, count, expected):
        members = [make_member(n) for n in range(count)]
        members += [make_member(n, 'siliguri') for n in range(40)]
        groups = [make_group(clock, n, members) for n in range(count)]
        readers = [group for group in groups if group.is_reader()]
        assert len(readers) == expected
        assert all(len(group.others()) <= expected for group in groups)

    def test_reader_that_leaves_is_replaced(self, clock):
        members = [make_member(n) for n in range(30)]
        groups = [make_group(clock, n, members) for n in range(30)]
        left = next(group for group in groups if group.is_reader())
        groups.remove(left)
        for group in groups:
            group.members.remove(left.members.own.instance)
        readers = [group for group in groups if group.is_reader()]
        assert len(readers) == reader_group.READERS


class TestCover:
    """An instance relies on readers only while they confirm its list."""

    def make_groups(self, clock, count=30):
        members = [make_member(n) for n in range(count)]
        return [make_group(clock, n, members) for n in range(count)]

    def make_follower(self, clock):
        groups = self.make_groups(clock)
        return next(group for group in groups if not group.is_reader())

    def test_instance_without_confirmation_is_not_covered(self, clock):
        assert not self.make_follower(clock).is_covered()

    def test_confirmation_covers_for_a_while(self, clock):
        group = self.make_follower(clock)
        limit_s = reader_group.FOLLOWER_AGE_LIMIT_S
        group.list_age_s = lambda: limit_s - 0.01
        assert group.is_covered()
        group.list_age_s = lambda: limit_s
        assert not group.is_covered()

    def test_reader_is_never_covered(self, clock):
        members = [make_member(n) for n in range(3)]
        group = make_group(clock, 0, members)
        group.list_age_s = lambda: 0.0
        assert not group.is_covered()

    def test_readers_ask_the_store_one_after_another(self, clock):
        groups = self.make_groups(clock)
        limits_s = sorted(group.age_limit_s() for group in groups)
        readers_s = limits_s[: reader_group.READERS]
        assert len(set(readers_s)) == reader_group.READERS
        assert set(limits_s[reader_group.READERS :]) == {
            reader_group.FOLLOWER_AGE_LIMIT_S
        }
        assert readers_s[-1] < reader_group.FOLLOWER_AGE_LIMIT_S

    @pytest.mark.parametrize('count', [1, 2, 5, 30])
    def test_one_reader_confirms_the_list(self, clock, count):
        groups = self.make_groups(clock, count)
        assert sum(group.is_confirming() for group in groups) == 1

    # Guards against small regions in which nothing bounds the age of the list.
    @pytest.mark.parametrize('count', [1, 2, 5, 23, 30])
    def test_age_is_limited_in_regions_of_every_size(self, clock, count):
        for group in self.make_groups(clock, count):
            limit_s = reader_group.FOLLOWER_AGE_LIMIT_S
            assert group.age_limit_s() <= limit_s
            group.list_age_s = lambda: limit_s
            assert group.remaining_s() == 0.0


class TestRemainingTime:
    """Guards against an instance that waits in a loop for no time at all."""

    @pytest.mark.parametrize('left_s', [1e-17, 1e-6])
    def test_time_below_a_timer_tick_counts_as_none(self, clock, left_s):
        members = [make_member(n) for n in range(30)]
        group = make_group(clock, 0, members)
        limit_s = group.age_limit_s()
        group.list_age_s = lambda: limit_s - left_s
        assert group.remaining_s() == 0.0
        group.list_age_s = lambda: limit_s - 0.5
        assert group.remaining_s() == pytest.approx(0.5)


class TestPolls:
    """Followers read the store, in case that readers missed a change."""

    @pytest.mark.parametrize('count', [16, 24, 51, 400])
    def test_calls_of_a_region_do_not_grow_with_it(self, clock, count):
        members = [make_member(n) for n in range(count)]
        group = make_group(clock, 0, members)
        calls_per_s = count / group.poll_interval_s()
        assert calls_per_s == pytest.approx(0.8)

    def test_small_region_makes_fewer(self, clock):
        members = [make_member(n) for n in range(4)]
        group = make_group(clock, 0, members)
        assert 4 / group.poll_interval_s() == pytest.approx(0.2)


class TestSeries:
    """During a series of changes, the first reader reads for the others."""

    LIST_AGE_S = 0.1

    def pauses_s(self, clock, *, unchanged_s, has_read=True, age_s=LIST_AGE_S):
        """Return the pause of each reader, the first one first."""
        members = [make_member(n) for n in range(16)]
        groups = [make_group(clock, n, members) for n in range(16)]
        readers = [group for group in groups if group.is_reader()]
        for group in readers:
            group.list_age_s = lambda: age_s
        return [
            group.pause_s(unchanged_s=unchanged_s, has_read=has_read)
            for group in sorted(readers, key=lambda group: group.rank())
        ]

    def test_first_reader_is_the_next_to_read(self, clock):
        """Guards against readers that all read after the same pause."""
        first_s, *others_s = self.pauses_s(clock, unchanged_s=0.0)
        assert len(others_s) >= 1
        assert first_s == pytest.approx(
            reader_group.SERIES_INTERVAL_S - self.LIST_AGE_S
        )
        assert min(others_s) > 2 * first_s

    def test_first_reader_waits_longer_for_versions_of_others(self, clock):
        """Guards against regions that all read each version."""
        own_s = self.pauses_s(clock, unchanged_s=0.0)[0]
        sent_s = self.pauses_s(clock, unchanged_s=0.0, has_read=False)[0]
        assert sent_s > own_s

    @pytest.mark.parametrize('unchanged_s, age_s', [(1.2, 0.1), (0.0, 1.7)])
    def test_nobody_pauses(self, clock, unchanged_s, age_s):
        """After the series, or with a list that is too old."""
        pauses_s = self.pauses_s(clock, unchanged_s=unchanged_s, age_s=age_s)
        assert set(pauses_s) == {0.0}

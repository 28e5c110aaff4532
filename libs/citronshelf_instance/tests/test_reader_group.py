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
    return reader_group.ReaderGroup(members=known, clock=clock)


class TestChoice:
    """A few instances of a large region read the store for all."""

    @pytest.mark.parametrize('count', [24, 51, 400])
    def test_instances_agree_on_the_readers(self, clock, count):
        members = [make_member(n) for n in range(count)]
        groups = [make_group(clock, n, members) for n in range(count)]
        readers = [group for group in groups if group.is_reader()]
        assert len(readers) == reader_group.READERS
        assert all(group.is_sharing() for group in groups)

    def test_all_instances_of_a_small_region_read(self, clock):
        members = [make_member(n) for n in range(23)]
        members += [make_member(n, 'siliguri') for n in range(40)]
        groups = [make_group(clock, n, members) for n in range(23)]
        assert all(group.is_reader() for group in groups)
        assert not any(group.is_sharing() for group in groups)

    def test_reader_that_leaves_is_replaced(self, clock):
        members = [make_member(n) for n in range(30)]
        groups = [make_group(clock, n, members) for n in range(30)]
        left = next(group for group in groups if group.is_reader())
        groups.remove(left)
        for group in groups:
            group.members.remove(left.members.own.instance)
        readers = [group for group in groups if group.is_reader()]
        assert len(readers) == reader_group.READERS

    def test_number_that_watch_does_not_grow_with_the_fleet(self, clock):
        for count in (30, 300):
            members = [make_member(n) for n in range(count)]
            members += [make_member(n, 'siliguri') for n in range(count)]
            group = make_group(clock, 0, members)
            assert group.count_watching() == 2 * reader_group.READERS


class TestCover:
    """An instance relies on readers only while it hears from them."""

    def make_follower(self, clock):
        members = [make_member(n) for n in range(30)]
        groups = [make_group(clock, n, members) for n in range(30)]
        return next(group for group in groups if not group.is_reader())

    def test_instance_without_reports_is_not_covered(self, clock):
        assert not self.make_follower(clock).is_covered()

    def test_report_covers_for_a_while(self, clock):
        group = self.make_follower(clock)
        group.record_report()
        clock.advance(reader_group.COVER_S - 0.01)
        assert group.is_covered()
        clock.advance(0.02)
        assert not group.is_covered()

    def test_reader_is_never_covered(self, clock):
        members = [make_member(n) for n in range(3)]
        group = make_group(clock, 0, members)
        group.record_report()
        assert not group.is_covered()

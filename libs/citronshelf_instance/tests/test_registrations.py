"""Tests of the directory of registered servers."""

import logging
import random

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import registrations
from instance_builders import make_directory
from instance_builders import make_registration


def apply_change(directory, revision, **entries):
    directory.apply(configuration.Changes(revision, None, entries))


def usable(directory):
    return [one.server_id for one in directory.usable('ledger')]


class TestEntries:
    """Only registered servers that are not draining get new work."""

    def test_draining_server_gets_no_work(self, clock):
        directory = make_directory(clock, make_registration())
        apply_change(directory, 2, s1=make_registration(draining=True))
        assert usable(directory) == []

    def test_removed_server_gets_no_work(self, clock):
        directory = make_directory(clock, make_registration())
        apply_change(directory, 2, s1=None)
        assert usable(directory) == []

    def test_state_survives_an_unchanged_entry(self, clock):
        directory = make_directory(clock, make_registration())
        state = directory.servers['s1']
        apply_change(directory, 2, s1=make_registration(warm_up_s=1.0))
        assert directory.servers['s1'] is state

    def test_new_incarnation_replaces_the_state(self, clock):
        directory = make_directory(clock, make_registration(started_ms=1))
        state = directory.servers['s1']
        apply_change(directory, 2, s1=make_registration(started_ms=2))
        assert directory.servers['s1'] is not state

    def test_new_address_replaces_the_state(self, clock):
        directory = make_directory(clock, make_registration())
        state = directory.servers['s1']
        moved = make_registration(address=fleet.Address('127.0.0.2', 9))
        apply_change(directory, 2, s1=moved)
        assert directory.servers['s1'] is not state


class TestLapsedEntries:
    """Entries that lapsed during an outage of the store may return."""

    def test_server_stays_in_use_until_its_entry_returns(self, clock):
        directory = make_directory(clock, make_registration())
        directory.record_store_recovery()
        clock.advance(0.5)
        apply_change(directory, 2, s1=None)
        assert usable(directory) == ['s1']
        apply_change(directory, 3, s1=make_registration())
        clock.advance(10)
        directory.drop_lapsed()
        assert usable(directory) == ['s1']

    def test_server_is_removed_when_its_entry_stays_missing(self, clock):
        directory = make_directory(clock, make_registration())
        directory.record_store_recovery()
        apply_change(directory, 2, s1=None)
        clock.advance(registrations.LAPSED_GRACE_S)
        directory.drop_lapsed()
        assert usable(directory) == []

    def test_draining_server_is_removed_at_once(self, clock):
        directory = make_directory(clock, make_registration(draining=True))
        directory.record_store_recovery()
        apply_change(directory, 2, s1=None)
        assert directory.servers == {}

    # Guards against a copied state that takes back that a server drains.
    def test_lapsed_entry_of_a_copy_does_not_replace_a_draining_one(
        self, clock
    ):
        directory = make_directory(clock, make_registration(draining=True))
        copied = configuration.Snapshot(
            2, None, (), (make_registration(),), recovered_ago_s=0.5
        )
        directory.replace(copied)
        assert usable(directory) == []


class TestOutage:
    """A grace period follows only an outage in which entries may lapse."""

    # Guards against use of a server that has left, because the wait for
    # changes had been cut off after a quiet time.
    def test_lost_connection_is_no_outage(self, clock):
        directory = make_directory(clock, make_registration())
        directory.confirm(0.0)
        clock.advance(20.0)
        directory.record_connected()
        clock.advance(registrations.MIN_LAPSE_AGE_S - 0.1)
        assert not directory.may_have_lapsed()

    def test_store_that_stays_away_is_an_outage(self, clock):
        directory = make_directory(clock, make_registration())
        directory.confirm(0.0)
        clock.advance(20.0)
        directory.record_connected()
        clock.advance(registrations.MIN_LAPSE_AGE_S)
        assert directory.may_have_lapsed()

    def test_silent_store_is_an_outage(self, clock):
        directory = make_directory(clock, make_registration())
        directory.confirm(0.0)
        clock.advance(registrations.MIN_LAPSE_AGE_S)
        assert directory.may_have_lapsed()


class TestReturningEntries:
    """What a server asked for holds when its entry is gone for a while.

    Guards against requests to a server that is leaving or wants none.
    """

    def announce(self, clock):
        """Return a directory whose server left and wants no request."""
        directory = make_directory(clock, make_registration(started_ms=1))
        state = directory.servers['s1']
        directory.record_leaving(state, 'r')
        directory.record_retry_later(state, 9.0, random.Random(1), 'r')
        return directory

    def test_announcements_return_with_the_entry(self, clock):
        directory = self.announce(clock)
        before = directory.servers['s1']
        apply_change(directory, 2, s1=None)
        clock.advance(5.0)
        apply_change(directory, 3, s1=make_registration(started_ms=1))
        after = directory.servers['s1']
        assert after is not before
        assert after.leaving
        assert after.retry_at_s == before.retry_at_s

    def test_lapsed_entry_keeps_them_too(self, clock):
        directory = self.announce(clock)
        directory.record_store_recovery()
        apply_change(directory, 2, s1=None)
        clock.advance(registrations.LAPSED_GRACE_S)
        directory.drop_lapsed()
        assert directory.servers == {}
        apply_change(directory, 3, s1=make_registration(started_ms=1))
        assert directory.servers['s1'].leaving

    def test_new_incarnation_has_asked_for_nothing(self, clock):
        directory = self.announce(clock)
        apply_change(directory, 2, s1=None)
        apply_change(directory, 3, s1=make_registration(started_ms=2))
        assert usable(directory) == ['s1']

    def test_kept_announcements_are_limited(self, clock, monkeypatch):
        monkeypatch.setattr(registrations, 'MAX_DEPARTED', 2)
        directory = make_directory(clock, make_registration())
        for number in range(4):
            entry = make_registration(started_ms=number + 10)
            apply_change(directory, 2 + number, s1=entry)
            directory.record_leaving(directory.servers['s1'], 'r')
        assert len(directory.departed) == 2

    def test_old_announcements_are_void(self, clock):
        directory = self.announce(clock)
        apply_change(directory, 2, s1=None)
        clock.advance(registrations.DEPARTED_KEPT_S)
        apply_change(directory, 3, s1=make_registration(started_ms=1))
        assert usable(directory) == ['s1']


class TestBackoff:
    """An unreachable server is avoided for an increasing time."""

    def test_backoff_doubles_up_to_its_limit(self, clock):
        state = make_directory(clock, make_registration()).servers['s1']
        backoffs_s = [state.record_unreachable(clock.now) for _ in range(5)]
        assert backoffs_s == [0.25, 0.5, 1.0, 2.0, 2.0]
        state.record_reachable()
        assert state.record_unreachable(clock.now) == 0.25


class TestSuspicion:
    """The start and the end of a suspicion are logged."""

    def test_each_change_is_logged_once(self, clock, caplog):
        directory = make_directory(clock, make_registration())
        outcomes = [evidence.HealthSignal.FAILED] * 3 + [
            evidence.HealthSignal.GOOD
        ] * 8
        with caplog.at_level(logging.INFO):
            for outcome in outcomes:
                directory.record(
                    evidence.Observation('s1', outcome, 0.0), 'i7'
                )
        named = [(r.event_name, r.source) for r in caplog.records]
        assert named == [('server-suspected', 'i7'), ('server-trusted', 'i7')]

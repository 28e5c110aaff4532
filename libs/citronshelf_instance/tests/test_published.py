"""Tests of the published state that is in force."""

import asyncio
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from citronshelf_instance import configuration
from citronshelf_instance import published
from citronshelf_instance import registrations
from instance_builders import FakeClock
from instance_builders import make_configuration
from instance_builders import make_registration


def make_state(clock=None):
    clock = clock or FakeClock()
    return published.PublishedState(
        directory=registrations.Directory(clock=clock),
        clock=clock,
        rng=random.Random(1),
    )


class TestOrder:
    """An older publication never replaces a newer one."""

    @given(
        st.lists(
            st.tuples(st.integers(1, 20), st.integers(1, 20), st.booleans()),
            max_size=30,
        )
    )
    def test_revision_in_force_never_falls(self, arrivals):
        state = make_state()
        highest = 0
        for revision, of_configuration, whole in arrivals:
            one = make_configuration(revision=min(of_configuration, revision))
            before = state.configuration
            if whole:
                state.replace(
                    configuration.Snapshot(revision, one, ()), source='test'
                )
            else:
                state.apply(configuration.Changes(revision, one, {}))
            if before is not None:
                assert state.configuration.revision >= before.revision
            highest = max(highest, revision)
            assert state.revision == highest

    @given(
        st.lists(
            st.tuples(st.integers(1, 12), st.integers(1, 12), st.booleans()),
            max_size=30,
        )
    )
    def test_deltas_in_any_order_give_the_state_of_their_revision(
        self, arrivals
    ):
        """Every revision registers one server; deltas may be lost."""

        def entries(after, revision):
            return {
                f's{n}': make_registration(f's{n}')
                for n in range(after + 1, revision + 1)
            }

        state = make_state()
        for one, other, is_read in arrivals:
            after, revision = min(one, other), max(one, other)
            if is_read and after <= state.revision:
                state.apply(
                    configuration.Changes(
                        revision, None, entries(state.revision, revision)
                    )
                )
            else:
                state.apply_delta(
                    configuration.RegistrationDelta(
                        after, revision, entries(after, revision)
                    )
                )
            assert set(state.directory.servers) == set(
                entries(0, state.revision)
            )
            assert state.unchanged_since <= state.revision

    def test_unreadable_configuration_keeps_the_current_one(self):
        state = make_state()
        good = configuration.Snapshot(1, make_configuration(revision=1), ())
        state.replace(good, source='test')
        state.replace(configuration.Snapshot(2, None, ()), source='test')
        assert state.configuration.revision == 1
        assert state.revision == 2


class TestUnread:
    """A configuration that cannot be read is missing until a newer one."""

    @pytest.mark.parametrize('revision, lacks', [(3, True), (6, False)])
    def test_copies_name_it(self, revision, lacks):
        first = configuration.Snapshot(
            7,
            make_configuration(revision=revision),
            (),
            unread_configuration=5,
        )
        original, copied = make_state(), make_state()
        original.replace(first, source='store')
        copied.replace(original.snapshot(), source='i1')
        for state in (original, copied):
            assert state.lacks_configuration() is lacks
            assert state.configuration.revision == revision
        assert copied.unread_revision == (5 if lacks else 0)

    def test_instance_that_read_it_does_not_lack_it(self):
        state = make_state()
        state.replace(
            configuration.Snapshot(5, make_configuration(revision=5), ()),
            source='store',
        )
        copied = configuration.Snapshot(
            7, make_configuration(revision=3), (), unread_configuration=5
        )
        state.replace(copied, source='i1')
        assert not state.lacks_configuration()
        assert state.snapshot().unread_configuration == 0


class TestRoutable:
    """Requests are routed once both routes and servers are known."""

    def test_early_requests_wait_for_the_first_read(self):
        async def run():
            state = make_state()
            too_early = await state.wait_routable(0.01)
            waiting = asyncio.create_task(state.wait_routable(5.0))
            await asyncio.sleep(0)
            first = configuration.Snapshot(3, make_configuration(), ())
            state.replace(first, source='test')
            return too_early, await waiting

        assert asyncio.run(run()) == (False, True)

    def test_is_not_routable_without_a_configuration(self):
        state = make_state()
        entries = (make_registration(),)
        state.replace(configuration.Snapshot(3, None, entries), source='test')
        assert not state.is_routable()
        state.apply(
            configuration.Changes(4, make_configuration(revision=4), {})
        )
        assert state.is_routable()


class TestAge:
    """Time since the state was last known to be the newest."""

    def test_is_unknown_before_a_response_of_the_store(self, clock):
        state = make_state(clock)
        assert state.age_s() is None
        first = configuration.Snapshot(3, make_configuration(), ())
        state.replace(first, source='i2')
        assert state.age_s() is None

    def test_restarts_with_each_response_of_the_store(self, clock):
        state = make_state(clock)
        first = configuration.Snapshot(3, make_configuration(), ())
        state.replace(first, source='store')
        clock.advance(2.0)
        assert state.age_s() == 2.0
        state.apply(configuration.Changes(3, None, {}))
        assert state.age_s() == 0.0

    @pytest.mark.parametrize(
        'after, revision, age_s',
        [(3, 4, 0.0), (3, 3, 0.0), (2, 2, 2.0), (4, 5, 2.0)],
    )
    def test_restarts_with_a_report_of_the_newest_revision(
        self, clock, after, revision, age_s
    ):
        state = make_state(clock)
        first = configuration.Snapshot(3, make_configuration(), ())
        state.replace(first, source='store')
        clock.advance(2.0)
        state.apply_delta(configuration.RegistrationDelta(after, revision, {}))
        assert state.age_s() == age_s


class TestRegistrationsApart:
    """Registrations may be newer than the configuration that is known.

    Guards against a draining server that is used again when an older response
    arrives after the registrations that were read apart.
    """

    @pytest.mark.parametrize('kind', ['watch', 'delta', 'snapshot'])
    def test_older_ones_do_not_replace_them(self, clock, kind):
        state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=random.Random(1),
        )
        ready = make_registration('s1')
        first = configuration.Snapshot(3, make_configuration(), (ready,))
        state.replace(first, source=published.STORE_SOURCE)
        draining = {'s1': make_registration('s1', draining=True)}
        state.apply_registrations(configuration.Changes(9, None, draining))
        older = {'s1': ready}
        match kind:
            case 'watch':
                state.apply(configuration.Changes(5, None, older))
            case 'delta':
                state.apply_delta(configuration.RegistrationDelta(3, 5, older))
            case 'snapshot':
                state.replace(first._replace(revision=5), source='peer')
        assert state.revision == 5
        assert state.directory.servers['s1'].registration.draining


class TestConfirmedDelta:
    """The age of a state says nothing of an older state."""

    @pytest.mark.parametrize('revision, expected', [(9, 0.0), (12, None)])
    def test_later_changes_make_it_unknown(self, clock, revision, expected):
        """Guards against reports that make older lists count as new."""
        state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=random.Random(1),
        )
        delta = configuration.RegistrationDelta(5, 9, {})
        state.apply(configuration.Changes(revision, None, {}))
        assert state.confirmed_ago_s(delta) == expected


class TestDeltaWithConfiguration:
    """A delta that spans a version needs that version in force."""

    @pytest.mark.parametrize('in_force, is_applied', [(4, False), (5, True)])
    def test_missing_version_is_not_skipped(self, clock, in_force, is_applied):
        """Guards against a version that an instance believes to know."""
        state = published.PublishedState(
            directory=registrations.Directory(clock=clock),
            clock=clock,
            rng=random.Random(1),
        )
        first = make_configuration(revision=2)
        state.replace(configuration.Snapshot(3, first, ()), source='store')
        sent = make_configuration(revision=in_force)
        state.apply_configuration(sent, 'peer')
        delta = configuration.RegistrationDelta(3, 6, {}, 5)
        assert state.apply_delta(delta) is is_applied
        assert state.revision == (6 if is_applied else 3)

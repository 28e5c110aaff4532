"""Tests of cells, aggregators, readers and evidence parents."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from citronshelf_common import fleet
from citronshelf_peering import roster

LOCATIONS = [
    fleet.Location('east', 'e1'),
    fleet.Location('east', 'e2'),
    fleet.Location('west', 'w1'),
    fleet.Location('west', 'w2'),
]


def make_entries(number):
    return [
        fleet.EntryInstance(
            f'n{i}',
            fleet.Address('127.0.0.1', 1000 + i),
            fleet.Address('127.0.0.1', 1000 + i),
            LOCATIONS[i % len(LOCATIONS)],
        )
        for i in range(number)
    ]


def all_up(name):
    return roster.LinkState.UP


def plans(number, state_of=all_up):
    entries = make_entries(number)
    return {
        one.instance: roster.make_plan(
            roster.Roster(own=one, entries=entries), state_of, False
        )
        for one in entries
    }


def reached(made, start):
    """Return the instances reachable from ``start`` over links."""
    seen = {start}
    waiting = [start]
    while waiting:
        name = waiting.pop()
        linked = set(made[name].links) | {
            other for other, plan in made.items() if name in plan.links
        }
        waiting.extend(linked - seen)
        seen |= linked
    return seen


class TestRoles:
    """Roles are computed from the fleet list and the link states."""

    def test_role_counts_of_36_instances(self):
        made = plans(36)
        assert sum(plan.reader for plan in made.values()) == 6
        assert sum(name in p.aggregators for name, p in made.items()) == 8
        assert sum(name == p.parent for name, p in made.items()) == 4
        crossing = [
            (name, receiver)
            for name, plan in made.items()
            for receiver in plan.sum_receivers
            if int(name[1:]) % 4 // 2 != int(receiver[1:]) % 4 // 2
        ]
        assert len(crossing) == 2

    def test_readers_do_not_grow_with_the_fleet(self):
        made = plans(400)
        assert sum(plan.reader for plan in made.values()) == 6
        cells = roster.Roster(
            own=make_entries(1)[0], entries=make_entries(400)
        ).cells
        sizes = [len(c.members) for zone in cells.values() for c in zone]
        assert max(sizes) <= roster.CELL_SIZE
        assert max(len(plan.links) for plan in made.values()) < 40

    def test_unlisted_instance_is_added_to_its_cell(self):
        one, *others = make_entries(9)
        made = roster.Roster(own=one, entries=others)
        assert one.instance in made.own_cell.members

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.integers(1, 150))
    def test_news_get_everywhere(self, number):
        made = plans(number)
        assert reached(made, 'n0') == set(made)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        number=st.integers(2, 60),
        down=st.sets(st.tuples(st.integers(0, 59), st.integers(0, 59))),
    )
    def test_evidence_never_travels_in_a_circle(self, number, down):
        """Each instance sees a different set of instances as down."""
        entries = make_entries(number)
        parents = {}
        for index, one in enumerate(entries):

            def state_of(name, index=index):
                if (index, int(name[1:])) in down:
                    return roster.LinkState.DOWN
                return roster.LinkState.UP

            made = roster.Roster(own=one, entries=entries)
            plan = roster.make_plan(made, state_of, False)
            parents[one.instance] = plan.parent
        for name in parents:
            steps = 0
            while parents[name] != name:
                name = parents[name]
                steps += 1
                assert steps <= number

    def test_parent_failover(self):
        entries = make_entries(36)
        first = plans(36)['n0'].parent

        def state_of(name):
            if name == first:
                return roster.LinkState.DOWN
            return roster.LinkState.UP

        other = next(
            e.instance
            for e in entries
            if e.location == LOCATIONS[0] and e.instance != first
        )
        plan = plans(36, state_of)[other]
        assert plan.parent != first
        assert first in plan.links or other == plan.parent

"""Random operations on a board, checked against a simple floor oracle."""

import fractions
import math

from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_health import board as boards
from citronshelf_health import decisions
from citronshelf_health import floor
from citronshelf_health import members
from citronshelf_health import policy as policies
from citronshelf_health import pool_board

IDS = ('s0', 's1', 's2', 's3', 's4', 's5', 's6')
ZONES = ('a', 'b', 'c')
EJECTED_STANDINGS = (fleet.Standing.EJECTED, fleet.Standing.AVOIDED)
TEST_REASONS = ('errors', 'slow', 'unreachable')
SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=25,
    suppress_health_check=list(HealthCheck),
)


def pool_of(slots, percent, least):
    return model.Pool(
        slots_per_server=slots,
        connections_per_server=330,
        floor_percent=percent,
        minimum_servers=least,
    )


POOLS = st.builds(
    pool_of,
    st.integers(1, 3),
    st.sampled_from((0, 25, 34, 50, 67, 70, 100)),
    st.integers(0, 4),
)
FAULTY = st.tuples(
    st.sampled_from(IDS),
    st.sampled_from(('errored', 'truncated', 'slow', 'unreachable', 'cut')),
)


def make_server(server_id):
    number = IDS.index(server_id)
    return fleet.BackendServer(
        server_id,
        'pool',
        fleet.Address('127.0.0.1', 9000 + number),
        fleet.Location('r', ZONES[number % 3]),
    )


def outcome_of(server_id, zone, fault, requests):
    failed = {'unreachable': 'unreachable', 'cut': 'unreachable'}
    if fault == 'cut' and zone != 'a':
        fault = None
    if fault is None:
        return fleet.OutcomeCounts(server_id, 'c', good=requests)
    field = failed.get(fault, fault)
    return fleet.OutcomeCounts(server_id, 'c', **{field: requests})


def check_no_ejection_is_undone(changes):
    """Check that the floor undoes no ejection of the same step.

    Only a step ejects servers because of a test. Returns by the floor that
    come earlier in the changes are due to a new list or document.
    """
    ejected = set()
    for change in changes:
        if change.after in EJECTED_STANDINGS and change.reason in TEST_REASONS:
            ejected.add(change.server_id)
        if change.reason == decisions.Reason.FLOOR:
            assert change.server_id not in ejected


class BoardMachine(stateful.RuleBasedStateMachine):
    """Applies lists, documents, faults and time in any order."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.board = boards.HealthBoard(
            own_zone='a',
            clock=lambda: self.now,
            policy=policies.HealthPolicy(),
        )
        self.listed = []
        self.leaving = set()
        self.pool = None
        self.faults = {}
        self.ever_faulty = set()

    @stateful.rule(
        listed=st.lists(st.sampled_from(IDS), unique=True, max_size=7),
        leaving=st.sets(st.sampled_from(IDS), max_size=2),
    )
    def set_servers(self, listed, leaving):
        self.listed, self.leaving = listed, leaving
        self.board.set_servers([make_server(i) for i in listed], leaving)

    @stateful.initialize(
        count=st.integers(1, len(IDS)), pool=POOLS, faulty=st.sets(FAULTY)
    )
    def start(self, count, pool, faulty):
        self.set_pools(pool, False)
        self.set_servers(list(IDS[:count]), set())
        self.serve(2, 3)
        for server_id, fault in faulty:
            self.break_server(server_id, fault)
        self.serve(6, 3)

    @stateful.rule()
    def list_all(self):
        self.set_servers(list(IDS), set())

    @stateful.rule(pool=st.none() | POOLS, probed=st.booleans())
    def set_pools(self, pool, probed):
        self.pool = pool
        pools = {} if pool is None else {'pool': pool}
        self.board.set_pools(pools, probed=['pool'] if probed else [])

    @stateful.rule(faulty=FAULTY)
    def break_one(self, faulty):
        self.break_server(*faulty)

    def break_server(self, server_id, fault):
        self.faults[server_id] = fault
        self.ever_faulty.add(server_id)

    @stateful.rule(server_id=st.sampled_from(IDS))
    def repair_server(self, server_id):
        self.faults.pop(server_id, None)

    @stateful.rule(steps=st.integers(1, 12), requests=st.integers(0, 6))
    def serve(self, steps, requests):
        for _ in range(steps):
            self.now += 0.5
            for zone in ZONES if requests else ():
                counts = [
                    outcome_of(i, zone, self.faults.get(i), requests)
                    for i in IDS
                ]
                self.board.record(zone, f'entry-{zone}', counts)
            changes = self.board.step(self.now)
            last = {c.server_id: c.after for c in changes}
            check_no_ejection_is_undone(changes)
            for server_id in last.keys() & self.leaving & set(self.listed):
                assert last[server_id] == fleet.Standing.LEAVING
            self.check()

    @stateful.rule(seconds=st.sampled_from((0.0, 3.0, 30.0, 700.0)))
    def wait(self, seconds):
        self.now += seconds
        self.board.step(self.now)

    @stateful.rule(server_id=st.sampled_from(IDS), is_good=st.booleans())
    def probe(self, server_id, is_good):
        for _ in range(3):
            self.board.record_probe(server_id, is_good)

    @stateful.invariant()
    def check(self):
        views = {v.server.server_id: v for v in self.board.standings()}
        assert views.keys() == set(self.listed)
        for server_id, view in views.items():
            is_leaving = server_id in self.leaving
            assert (view.standing == fleet.Standing.LEAVING) == is_leaving
            out = is_leaving or view.standing in EJECTED_STANDINGS
            assert view.weight == 0.0 if out else 0.0 < view.weight <= 1.0
            if view.standing in EJECTED_STANDINGS:
                assert server_id in self.ever_faulty
        self.check_floor([v for v in views.values()])

    def check_floor(self, views):
        """Check the floor against an independent computation."""
        pool = self.pool or pool_of(1, 100, 0)
        share = fractions.Fraction(pool.floor_percent, 100)
        total = len(views) * pool.slots_per_server
        minimum_slots = (
            min(pool.minimum_servers, len(views)) * pool.slots_per_server
        )
        floor_slots = max(math.ceil(share * total), minimum_slots)
        remaining = [v for v in views if v.standing != fleet.Standing.LEAVING]
        listed_slots = len(remaining) * pool.slots_per_server
        capacity = 0.0
        weighted_slots = 0.0
        for view in remaining:
            slots = pool.slots_per_server
            weighted_slots += view.weight * slots
            if view.standing == fleet.Standing.ADMITTED:
                capacity += slots
            elif view.standing == fleet.Standing.PROBATION:
                capacity += view.weight * slots
        assert capacity >= min(floor_slots, listed_slots) - 1e-6
        if any(v.standing != fleet.Standing.ADMITTED for v in remaining):
            assert weighted_slots >= floor_slots - 1e-6


class TestBoardMachine:
    """The floor holds and leaving servers receive no work."""

    def test_random_operation(self):
        stateful.run_state_machine_as_test(BoardMachine, settings=SETTINGS)


def skip_floor_check(self, now):
    return None


def round_floor_down(pool, listed):
    listed_slots = listed * pool.slots_per_server
    minimum_slots = min(pool.minimum_servers, listed) * pool.slots_per_server
    return max(listed_slots * pool.floor_percent // 100, minimum_slots)


def ignore_minimum(pool, listed):
    return -(-listed * pool.slots_per_server * pool.floor_percent // 100)


def eject_below_floor(self, tracked, severity):
    return []


def count_probation_in_full(self):
    weighted = [t for t in self.tracked.values() if t.weight > 0]
    return self.pool.slots_per_server * len(weighted)


def return_leaving_too(self):
    found = [self.tracked[server_id] for server_id in self.restricted]
    return sorted(found, key=members.return_order)


MUTATIONS = {
    'no-recheck-after-list-shrinks': (
        pool_board.PoolBoard,
        'restore_floor',
        skip_floor_check,
    ),
    'floor-rounded-down': (floor, 'floor_slots', round_floor_down),
    'minimum-servers-ignored': (floor, 'floor_slots', ignore_minimum),
    'ejects-below-floor': (
        members.PoolMembers,
        'replacements',
        eject_below_floor,
    ),
    'probation-counts-in-full': (
        members.PoolMembers,
        'capacity',
        count_probation_in_full,
    ),
    'leaving-server-returned': (
        members.PoolMembers,
        'servers_in_return_order',
        return_leaving_too,
    ),
}


class TestMutations:
    """The state machine fails under each mutation."""

    @pytest.mark.parametrize('name', MUTATIONS)
    def test_is_caught(self, name, monkeypatch):
        owner, attribute, replacement = MUTATIONS[name]
        monkeypatch.setattr(owner, attribute, replacement)
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                BoardMachine,
                settings=settings(
                    SETTINGS,
                    phases=[Phase.generate],
                    report_multiple_bugs=False,
                ),
            )

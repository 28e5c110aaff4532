"""Tests of fault detection, for servers and for paths to them."""

import health_fleet
import pytest

from citronshelf_common import fleet

Standing = fleet.Standing


class TestDetection:
    """Faults of one server lead to ejection, common faults do not."""

    def test_half_failing_server_is_ejected_in_time(self):
        health_fleet.check_half_failing()

    @pytest.mark.parametrize('kind', ['errored', 'truncated', 'unreachable'])
    def test_dead_server_is_ejected_in_time(self, kind):
        assert (
            health_fleet.Fleet().inject_fault(0, {kind: 1.0})
            <= health_fleet.TARGET_HALF_FAILING_S
        )

    def test_ten_times_slower_server_is_ejected_in_time(self):
        elapsed_s = health_fleet.Fleet().inject_fault(0, {'slow': 0.9})
        assert elapsed_s <= health_fleet.TARGET_TEN_TIMES_SLOWER_S

    def test_server_failing_five_percent_is_ejected(self):
        assert health_fleet.Fleet().inject_fault(0, {'errored': 0.05}) <= 30.0

    def test_errors_of_all_servers_eject_none(self):
        health_fleet.check_everyone_failing()

    def test_slowness_of_all_servers_ejects_none(self):
        health_fleet.check_everyone_slow()

    def test_slow_region_is_compared_with_itself(self):
        # All servers of region q are slow, as the data store is far away.
        fleet_ = health_fleet.Fleet(
            region=lambda number: 'q' if number > 4 else 'r'
        )
        fleet_.faults = {number: {'slow': 0.5} for number in (5, 6, 7)}
        fleet_.run(60.0)
        assert not fleet_.without_load()

    def test_slowness_of_long_classes_is_ignored(self):
        fleet_ = health_fleet.Fleet()
        fleet_.board.set_classes(
            {'c': health_fleet.make_class(idempotent=True, long=True)}
        )
        fleet_.faults[1] = {'slow': 1.0}
        fleet_.run(60.0)
        assert not fleet_.without_load()
        fleet_.inject_fault(1, {'errored': 1.0})

    def test_fault_in_one_of_several_classes_ejects(self):
        fleet_ = health_fleet.Fleet()
        fleet_.classes = ('c', 'd', 'e')
        fleet_.run(10.0)
        board = fleet_.board
        for zone in health_fleet.ZONES * 5:
            bad = fleet.OutcomeCounts('s1', 'd', errored=1)
            board.record(zone, f'entry-{zone}', [bad])
            fleet_.run(health_fleet.STEP_S)
        assert fleet_.standing(1) == Standing.EJECTED

    def test_old_evidence_decays(self):
        fleet_ = health_fleet.Fleet()
        for _ in range(8):
            bad = [fleet.OutcomeCounts('s1', 'c', errored=2)]
            fleet_.board.record('a', 'entry-a', bad)
            fleet_.board.step(fleet_.now)
            fleet_.now += 300.0
        assert fleet_.standing(1) == Standing.ADMITTED

    def test_single_failing_reporter_is_ignored(self):
        fleet_ = health_fleet.Fleet()
        fleet_.faults[1] = {'a': {'errored': 1.0}}
        for _ in range(40):
            for other in 'xyz':
                good = [fleet.OutcomeCounts('s1', 'c', good=1)]
                fleet_.board.record('a', f'entry-{other}', good)
            fleet_.run(health_fleet.STEP_S)
        assert fleet_.standing(1) == Standing.ADMITTED

    def test_only_negative_counts_are_rejected(self, caplog):
        fleet_ = health_fleet.Fleet()
        rows = [
            fleet.OutcomeCounts('s1', 'c', good=-1),
            fleet.OutcomeCounts('s2', 'c', errored=20),
            fleet.OutcomeCounts('unknown', 'c', errored=50),
        ]
        fleet_.board.record('b', 'entry-b', rows)
        for zone in 'acd':
            fleet_.board.record(zone, f'entry-{zone}', rows[1:])
        fleet_.run(health_fleet.STEP_S)
        assert fleet_.without_load() == {2}
        names = [getattr(r, 'event_name', '') for r in caplog.records]
        assert names.count('evidence-rejected') == 1


class TestPaths:
    """A faulty path affects only the zone that uses it."""

    def test_server_unreachable_from_own_zone_is_avoided(self):
        health_fleet.check_unreachable_from_own_zone()

    @pytest.mark.parametrize('kind', ['errored', 'unreachable'])
    def test_server_failing_only_for_another_zone_stays_admitted(self, kind):
        fleet_ = health_fleet.Fleet(rate=12)
        fleet_.faults[2] = {'a': {}, 'b': {kind: 1.0}}
        fleet_.run(30.0)
        assert fleet_.standing(2) == Standing.ADMITTED

    def test_avoided_server_that_fails_everywhere_is_ejected(self):
        fleet_ = health_fleet.Fleet()
        fleet_.inject_fault(2, {'a': {'unreachable': 1.0}}, Standing.AVOIDED)
        fleet_.inject_fault(2, {'unreachable': 1.0}, limit=3.0)
        assert fleet_.hold_times_s(2) == [5.0, 5.0]

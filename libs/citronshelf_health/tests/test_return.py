"""Tests of the readmission of servers and the warm-up of new ones."""

import health_fleet
import pytest

from citronshelf_common import fleet
from citronshelf_health import hold_time
from citronshelf_health import policy as policies

Standing = fleet.Standing


class TestReturn:
    """Ejected servers ramp up with real work, later after each ejection."""

    def test_slow_return(self):
        health_fleet.check_slow_return()

    def test_flapping(self):
        health_fleet.check_flapping()

    def test_hold_time_is_bounded_and_decays(self):
        policy = policies.HealthPolicy()
        assert hold_time.next_hold_s(300.0, 0.0, policy) == 300.0
        assert hold_time.next_hold_s(300.0, 3000.0, policy) == 5.0

    def test_probes_alone_do_not_return_a_server(self):
        fleet_ = health_fleet.Fleet()
        fleet_.inject_fault(5, {'errored': 1.0})
        for _ in range(8):
            fleet_.board.record_probe('s5', True)
            fleet_.board.step(fleet_.now)
        assert fleet_.standing(5) == Standing.EJECTED

    def test_pool_without_idempotent_work_returns_by_probe(self):
        fleet_ = health_fleet.Fleet(probed=['pool'])
        fleet_.inject_fault(5, {'errored': 1.0})
        fleet_.faults.clear()
        fleet_.run(30.0)
        assert fleet_.standing(5) == Standing.EJECTED
        for _ in range(3):
            fleet_.board.record_probe('s5', True)
        fleet_.run(health_fleet.STEP_S)
        view = fleet_.views()[5]
        assert view.standing == Standing.ADMITTED
        assert view.weight <= 0.1

    def test_relapse_on_probation_is_detected_early(self):
        fleet_ = health_fleet.Fleet()
        fleet_.inject_fault(5, {'errored': 1.0})
        fleet_.run(30.0, fleet_.reaches(5, Standing.PROBATION))
        assert fleet_.run(5.0, fleet_.reaches(5, Standing.EJECTED)) <= 1.0

    def test_leaving_the_list_does_not_end_the_hold_time(self):
        fleet_ = health_fleet.Fleet()
        fleet_.inject_fault(5, {'errored': 1.0})
        fleet_.list_servers(range(5))
        fleet_.list_servers(range(8))
        assert fleet_.standing(5) == Standing.EJECTED


class TestStart:
    """New servers warm up, except those of the first list."""

    def test_new_server_warms_up(self):
        fleet_ = health_fleet.Fleet()
        assert {v.weight for v in fleet_.views().values()} == {1.0}
        fleet_.list_servers(range(9))
        assert fleet_.views()[8].weight == pytest.approx(0.1)
        fleet_.faults[8] = {'slow': 1.0}
        fleet_.run(15.0)
        assert 0.1 < fleet_.views()[8].weight < 1.0
        fleet_.faults.clear()
        fleet_.run(10.0)
        assert fleet_.views()[8].weight == 1.0

    def test_ejection_is_prompt_while_new_servers_warm_up(self):
        # Doubling the pool doubles the floor while the new half still warms
        # up.
        fleet_ = health_fleet.Fleet()
        fleet_.list_servers(range(16))
        fleet_.inject_fault(0, {'errored': 1.0}, limit=3.0)

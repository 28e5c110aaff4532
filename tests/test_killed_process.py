"""One process on the request path is killed under load."""

import signal
import time

import pytest


def kill_under_load(fleet, load, name):
    """Kill one process during a load, and continue the load.

    If it is an entry daemon, callers stop using its instance 0.5 s later.
    """
    with load:
        time.sleep(1.5)
        fleet.kill(name)
        instance, _, daemon = name.partition('/')
        if daemon == 'entry':
            time.sleep(0.5)
            load.addresses.pop(instance)
        time.sleep(2.5)


class TestKilledProcess:
    """Outcomes stay correct and the other processes continue to serve."""

    @pytest.mark.parametrize(
        'name',
        ['howrah-1/entry', 'howrah-1/control', 'serial-mint-1', 'platform'],
    )
    def test_callers_are_served_after_a_kill(
        self, fleets, make_load, report_load, name
    ):
        fleet = fleets.start()
        load = make_load(fleet, kinds=('read', 'sheet', 'plain', 'keyed'))
        kill_under_load(fleet, load, name)
        report = report_load(f'kill {name}', load, fleet)
        assert report.violations == ()
        last_items = [
            i for i in load.items if i.started_s > load.items[-1].ended_s - 1
        ]
        assert any(
            r.outcome == 'done' for i in last_items for r in i.responses
        )

    def test_server_exit_affects_at_most_two_requests_per_caller(
        self, fleets, make_load, report_load
    ):
        fleet = fleets.start()
        load = make_load(fleet, kinds=('plain', 'keyed'))
        with load:
            time.sleep(1.0)
            fleet.set_server_faults('serial-mint-1', die_after_execution=True)
            time.sleep(2.0)
        report = report_load('die after execution', load, fleet)
        assert report.violations == ()
        assert report.unknown + report.lost <= 2 * len(load.threads)


class TestGracefulShutdown:
    """SIGTERM loses no request, even if it is sent twice."""

    def test_second_sigterm_loses_no_request(
        self, fleets, make_load, report_load
    ):
        fleet = fleets.start()
        name = 'howrah-1'
        load = make_load(fleet, kinds=('read', 'sheet', 'plain'), work_ms=200)
        with load:
            time.sleep(1.0)
            fleet.publish_list(**{name: 'leaving'})
            fleet.signal(f'{name}/entry', signal.SIGTERM)
            time.sleep(0.3)
            load.addresses.pop(name)
            fleet.signal(f'{name}/entry', signal.SIGTERM)
            fleet.processes[f'{name}/entry'].wait(20)
        report = report_load('graceful shutdown', load, fleet)
        assert report.violations == ()
        assert (report.lost, report.unknown) == (0, 0)
        assert fleet.processes[f'{name}/entry'].returncode == 0

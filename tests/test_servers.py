"""Leaving and failing backend servers, and suspended instances."""

import signal
import time


LEAVING_BOUND_S = 5.0
DETECTION_BOUND_S = 10.0


def available_slots(fleet, instance, pool: str) -> float:
    """Return the slots of a pool that an instance may use, by server weight.

    Assumes two slots per server, as in ``fleet_factory.POOLS``.
    """
    return sum(
        s['weight'] * 2
        for s in fleet.status(instance)['servers']
        if s['pool'] == pool and s['standing'] in ('admitted', 'probation')
    )


def executions_after(fleet, server: str, since_s: float) -> list[dict]:
    """Return the executions at a server after a wall-clock time in seconds."""
    return [
        line
        for line in fleet.logged_executions()
        if line['server'] == server and line['at_ms'] > since_s * 1000
    ]


class TestLeaving:
    """A leaving or draining server receives no new work after 5 s."""

    def check_no_new_work(self, fleet, load, start_leaving):
        with load:
            time.sleep(1.0)
            start_leaving()
            leaving_since_s = time.time()
            time.sleep(LEAVING_BOUND_S + 3.0)
        bound_s = leaving_since_s + LEAVING_BOUND_S
        assert executions_after(fleet, 'serial-mint-1', leaving_since_s - 1.0)
        assert not executions_after(fleet, 'serial-mint-1', bound_s)

    def test_server_listed_as_leaving_gets_no_new_work(
        self, fleets, make_load, report_load
    ):
        fleet = fleets.start()
        load = make_load(fleet, kinds=('plain', 'keyed'))
        leaving = {'serial-mint-1': 'leaving'}
        self.check_no_new_work(
            fleet, load, lambda: fleet.publish_list(**leaving)
        )
        assert report_load('leaving by list', load, fleet).violations == ()

    def test_draining_server_gets_no_new_work_while_the_list_lags(
        self, fleets, make_load, report_load
    ):
        fleet = fleets.start()
        fleet.set_platform_faults(list_lag_s=60)
        load = make_load(fleet, kinds=('plain', 'keyed'))
        self.check_no_new_work(
            fleet, load, lambda: fleet.drain_server('serial-mint-1')
        )
        assert report_load('leaving by drain', load, fleet).violations == ()

    def test_resumed_instance_sends_no_work_to_a_leaving_server(
        self, fleets, make_load
    ):
        fleet = fleets.start()
        stop_signal = signal.SIGSTOP
        resume_signal = signal.SIGCONT
        suspended_daemons = ('howrah-1/entry', 'howrah-1/control')
        load = make_load(fleet, kinds=('plain',))

        def start_leaving():
            for name in suspended_daemons:
                fleet.signal(name, stop_signal)
            fleet.publish_list(**{'serial-mint-1': 'leaving'})
            time.sleep(LEAVING_BOUND_S)
            for name in suspended_daemons:
                fleet.signal(name, resume_signal)

        with load:
            time.sleep(1.0)
            start_leaving()
            resumed_s = time.time()
            time.sleep(3.0)
        assert not executions_after(fleet, 'serial-mint-1', resumed_s)


class TestGrayFailure:
    """A server is ejected if work fails or is slow but health checks succeed.

    Ejections never take a pool below its floor, the share of slots that has
    to stay available.
    """

    def test_ejected_everywhere_above_the_floor(
        self, fleets, make_load, report_load
    ):
        fleet = fleets.start()
        load = make_load(fleet, kinds=('read', 'plain'), pause_s=0.002)
        with load:
            time.sleep(2.0)
            fleet.set_server_faults('serial-mint-1', fail_share=1.0)
            fault_set_s = time.monotonic()

            def is_ejected():
                return all(
                    any(
                        s['server_id'] == 'serial-mint-1'
                        and s['standing'] == 'ejected'
                        for s in fleet.status(i)['servers']
                    )
                    for i in fleet.layout.instances
                )

            fleet.wait_until(is_ejected, 'ejection', DETECTION_BOUND_S)
            elapsed_s = time.monotonic() - fault_set_s
            print(f'\nejected everywhere after {elapsed_s:.1f} s')
        report = report_load('gray failure', load, fleet)
        assert report.violations == ()

    def test_slow_server_is_ejected(self, fleets, make_load, report_load):
        """Responses ten times slower than those of the pool cause ejection.

        The work must take most of the response time even on a busy machine;
        otherwise the responses are less than twice as slow.
        """
        fleet = fleets.start()
        load = make_load(
            fleet, kinds=('read', 'plain'), pause_s=0.002, work_ms=25
        )
        with load:
            time.sleep(3.0)
            fleet.set_server_faults('serial-mint-1', slow_factor=10.0)

            def is_ejected():
                return any(
                    s['server_id'] == 'serial-mint-1'
                    and s['standing'] == 'ejected'
                    for s in fleet.status(fleet.layout.instances[0])['servers']
                )

            fleet.wait_until(is_ejected, 'ejection', DETECTION_BOUND_S)
        assert report_load('slow server', load, fleet).violations == ()

    def test_floor_holds_when_most_servers_fail(self, fleets, make_load):
        fleet = fleets.start()
        floor_slots = 0.6 * 4 * 2
        slot_counts = []
        load = make_load(fleet, kinds=('read', 'plain'), pause_s=0.002)
        with load:
            time.sleep(1.0)
            for number in (1, 2, 3):
                fleet.set_server_faults(
                    f'serial-mint-{number}', fail_share=1.0
                )
            deadline_s = time.monotonic() + DETECTION_BOUND_S
            while time.monotonic() < deadline_s:
                slot_counts += [
                    available_slots(fleet, i, 'serial-mint')
                    for i in fleet.layout.instances
                ]
                time.sleep(0.1)
        assert min(slot_counts) >= floor_slots
        assert min(slot_counts) < 8

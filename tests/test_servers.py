"""Leaving, failing and frozen processes around backend servers."""

import signal
import time


LEAVING_BOUND_S = 5.0
DETECTION_BOUND_S = 10.0


def capacity(running, instance, pool: str) -> float:
    """Return the slots that one instance's view leaves to a pool."""
    return sum(
        s['weight'] * 2
        for s in running.status(instance)['servers']
        if s['pool'] == pool and s['standing'] in ('admitted', 'probation')
    )


def executions_after(running, server: str, moment_s: float) -> list[dict]:
    """Return the executions of a server after a wall clock reading."""
    return [
        line
        for line in running.executions_logged()
        if line['server'] == server and line['at_ms'] > moment_s * 1000
    ]


class TestLeaving:
    """A leaving server gets no new work after 5 s."""

    def check(self, running, load, leave):
        with load:
            time.sleep(1.0)
            leave()
            left_s = time.time()
            time.sleep(LEAVING_BOUND_S + 3.0)
        bound_s = left_s + LEAVING_BOUND_S
        assert executions_after(running, 'serial-mint-1', left_s - 1.0)
        assert not executions_after(running, 'serial-mint-1', bound_s)

    def test_list_says_leaving(self, fleets, load_of, judged):
        running = fleets.start()
        load = load_of(running, kinds=('plain', 'keyed'))
        leaving = {'serial-mint-1': 'leaving'}
        self.check(running, load, lambda: running.publish_list(**leaving))
        assert judged('leaving by list', load, running).violations == ()

    def test_server_drains_and_the_list_lags(self, fleets, load_of, judged):
        running = fleets.start()
        running.set_platform_faults(list_lag_s=60)
        load = load_of(running, kinds=('plain', 'keyed'))
        self.check(
            running, load, lambda: running.drain_server('serial-mint-1')
        )
        assert judged('leaving by drain', load, running).violations == ()

    def test_instance_that_was_frozen_looks_again(self, fleets, load_of):
        running = fleets.start()
        stop = signal.SIGSTOP
        go_on = signal.SIGCONT
        frozen = ('howrah-1/entry', 'howrah-1/control')
        load = load_of(running, kinds=('plain',))

        def leave():
            for name in frozen:
                running.signal(name, stop)
            running.publish_list(**{'serial-mint-1': 'leaving'})
            time.sleep(LEAVING_BOUND_S)
            for name in frozen:
                running.signal(name, go_on)

        with load:
            time.sleep(1.0)
            leave()
            woke_s = time.time()
            time.sleep(3.0)
        assert not executions_after(running, 'serial-mint-1', woke_s)


class TestGrayFailure:
    """A server that fails real work while healthy is ejected."""

    def test_ejected_everywhere_above_the_floor(self, fleets, load_of, judged):
        running = fleets.start()
        load = load_of(running, kinds=('read', 'plain'), pause_s=0.002)
        with load:
            time.sleep(2.0)
            running.set_server_faults('serial-mint-1', fail_share=1.0)
            failed_s = time.monotonic()

            def ejected():
                return all(
                    any(
                        s['server_id'] == 'serial-mint-1'
                        and s['standing'] == 'ejected'
                        for s in running.status(i)['servers']
                    )
                    for i in running.layout.instances
                )

            running.wait_until(ejected, 'ejection', DETECTION_BOUND_S)
            took_s = time.monotonic() - failed_s
            print(f'\nejected everywhere after {took_s:.1f} s')
        report = judged('gray failure', load, running)
        assert report.violations == ()

    def test_slow_server_is_ejected(self, fleets, load_of, judged):
        """Answers ten times slower than the pool's are evidence.

        The work takes most of an answer's time, also on a busy machine:
        otherwise the answers are not even twice as slow.
        """
        running = fleets.start()
        load = load_of(
            running, kinds=('read', 'plain'), pause_s=0.002, work_ms=25
        )
        with load:
            time.sleep(3.0)
            running.set_server_faults('serial-mint-1', slow_factor=10.0)

            def ejected():
                return any(
                    s['server_id'] == 'serial-mint-1'
                    and s['standing'] == 'ejected'
                    for s in running.status(running.layout.instances[0])[
                        'servers'
                    ]
                )

            running.wait_until(ejected, 'ejection', DETECTION_BOUND_S)
        assert judged('slow server', load, running).violations == ()

    def test_floor_holds_when_most_servers_fail(self, fleets, load_of):
        running = fleets.start()
        floor_slots = 0.6 * 4 * 2
        lowest = []
        load = load_of(running, kinds=('read', 'plain'), pause_s=0.002)
        with load:
            time.sleep(1.0)
            for number in (1, 2, 3):
                running.set_server_faults(
                    f'serial-mint-{number}', fail_share=1.0
                )
            deadline_s = time.monotonic() + DETECTION_BOUND_S
            while time.monotonic() < deadline_s:
                lowest += [
                    capacity(running, i, 'serial-mint')
                    for i in running.layout.instances
                ]
                time.sleep(0.1)
        assert min(lowest) >= floor_slots
        assert min(lowest) < 8

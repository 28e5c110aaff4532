"""One process on the request path is killed under load."""

import contextlib
import http.client
import json
import signal
import threading
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


# Time after SIGTERM at which the platform kills the process.
GRACE_S = 4.0
BALANCER_LAG_S = 0.5


class Connection:
    """A caller's connection that stays open for several requests."""

    def __init__(self, address):
        self.http = http.client.HTTPConnection(address, timeout=10)

    def send(self, method, path, work_id, **headers):
        """Return the status, the outcome and the body; None if cut."""
        headers = {name.replace('_', '-'): v for name, v in headers.items()}
        body = b'{}' if method == 'POST' else None
        try:
            self.http.request(
                method, path, body, headers | {'X-Work-Id': work_id}
            )
            response = self.http.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException):
            return None
        return (
            response.status,
            response.headers['Citronshelf-Outcome'],
            content,
        )

    def send_later(self, *arguments, **headers):
        """Send in a thread; return it and a list for the result."""
        results = []
        thread = threading.Thread(
            target=lambda: results.append(self.send(*arguments, **headers))
        )
        thread.start()
        return thread, results


class StoppingInstance:
    """The instance of a fleet, which is stopped as the platform does."""

    def __init__(self, fleet):
        self.fleet = fleet
        [instance] = fleet.layout.instances
        self.name = f'{instance.name}/entry'
        self.address = instance.caller_address()
        self.timer = threading.Timer(
            GRACE_S, fleet.signal, (self.name, signal.SIGKILL)
        )

    def connect(self):
        """Return a connection that has been used."""
        connection = Connection(self.address)
        assert connection.send('GET', '/ledger/shop-7', 'early')[0] == 200
        return connection

    def stop(self):
        """Send SIGTERM, and SIGKILL at the end of the grace period."""
        self.fleet.signal(self.name, signal.SIGTERM)
        self.timer.start()

    @contextlib.contextmanager
    def stop_while_busy(self):
        """Stop the instance while it works; go on once its listener is closed.

        Yields a list that has the result of that work at the end.
        """
        busy, results = self.connect().send_later(
            'GET', '/sheets/batch-1?ms=2500', 'busy'
        )
        time.sleep(0.2)
        self.stop()
        time.sleep(3 * BALANCER_LAG_S)
        yield results
        busy.join()

    def executed_works(self):
        """Return the works that servers have executed."""
        return {line['work'] for line in self.fleet.logged_executions()}


class TestGracePeriod:
    """Every request has an answer when the platform kills the process."""

    @pytest.fixture
    def stopping(self, fleets):
        """Return a fleet of one instance that the platform may stop."""
        stopping = StoppingInstance(
            fleets.start(
                instances=1, balancer_lag_s=BALANCER_LAG_S, grace_s=GRACE_S
            )
        )
        yield stopping
        stopping.timer.cancel()

    # Guards against a request that is passed on late in the grace period and
    # cut at its end without an answer.
    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_late_request_that_may_last_too_long_is_not_run(
        self, stopping, method
    ):
        path = '/sheets/batch-2' if method == 'GET' else '/mint/issue'
        kept = stopping.connect()
        with stopping.stop_while_busy():
            answer = kept.send(method, f'{path}?ms=4000', 'late')
        assert answer is not None
        assert answer[:2] == (503, 'not-run')
        assert 'late' not in stopping.executed_works()

    # The same for a request that has an idempotency key.
    def test_late_request_with_a_key_is_not_run(self, stopping):
        kept = stopping.connect()
        _, _, body = kept.send('POST', '/_citronshelf/keys', 'key')
        key = json.loads(body)['key']
        with stopping.stop_while_busy():
            answer = kept.send(
                'POST', '/mint/issue?ms=4000', 'late', Idempotency_Key=key
            )
        assert answer is not None
        assert answer[:2] == (503, 'not-run')
        assert 'late' not in stopping.executed_works()

    def test_late_request_that_ends_in_time_is_served(self, stopping):
        kept = stopping.connect()
        with stopping.stop_while_busy() as busy:
            late = kept.send(
                'GET', '/ledger/shop-7', 'late', X_Deadline_Ms='1000'
            )
        assert late[:2] == busy[0][:2] == (200, 'done')

    # Guards against a request that still runs at the end of the grace period
    # and gets no answer.
    def test_running_request_has_an_answer_at_the_end(self, stopping):
        running, results = stopping.connect().send_later(
            'POST', '/mint/issue?ms=4800', 'long'
        )
        time.sleep(0.2)
        stopping.stop()
        running.join()
        assert results[0] is not None
        assert results[0][:2] == (504, 'unknown')

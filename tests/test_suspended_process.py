"""Entry daemons that are suspended, restarted or shut down."""

import signal
import time

import fleet_factory
import load_generator
import pytest


def make_caller(fleet):
    """Return a caller that can send to every instance."""
    return load_generator.Caller(
        addresses=fleet_factory.caller_addresses(fleet),
        rng=load_generator.random.Random(1),
    )


def fetch_key_from(caller, instance):
    """Fetch an idempotency key from one instance."""
    response = caller.send(
        'POST', load_generator.KEYS_PATH, b'', None, instance
    )
    return load_generator.json.loads(response.body)['key']


def count_executions(fleet, work_id):
    """Return how many times the servers executed an item of work."""
    lines = fleet.logged_executions()
    return sum(line['work'] == work_id for line in lines)


class TestSuspendedEntry:
    """Suspending the owner of a key never causes a second execution.

    The owner of a key is the entry daemon that issued it.
    """

    @pytest.mark.parametrize('daemons', [('entry',), ('entry', 'control')])
    def test_no_guarantee_is_violated_under_load(
        self, fleets, make_load, report_load, daemons
    ):
        fleet = fleets.start()
        names = [f'howrah-1/{daemon}' for daemon in daemons]
        load = make_load(fleet, kinds=('read', 'plain', 'keyed'))
        with load:
            time.sleep(1.5)
            for name in names:
                fleet.signal(name, signal.SIGSTOP)
            time.sleep(4.0)
            for name in names:
                fleet.signal(name, signal.SIGCONT)
            time.sleep(2.0)
        report = report_load(f'suspend {"+".join(daemons)}', load, fleet)
        assert report.violations == ()

    def test_retry_at_other_instances_while_the_owner_is_suspended(
        self, fleets
    ):
        fleet = fleets.start()
        caller = make_caller(fleet)
        key = fetch_key_from(caller, 'howrah-1')
        headers = {
            'X-Work-Id': 'frozen-1',
            'Idempotency-Key': key,
            'X-Deadline-Ms': '1000',
        }

        def post(instance):
            path = '/mint/issue'
            return caller.send('POST', path, b'{}', headers, instance)

        fleet.signal('howrah-1/entry', signal.SIGSTOP)
        assert post('sealdah-1').outcome == 'unknown'
        assert post('matigara-1').outcome == 'unknown'
        fleet.signal('howrah-1/entry', signal.SIGCONT)
        time.sleep(1.0)
        headers['X-Deadline-Ms'] = '5000'
        final_response = post('sealdah-1')
        execution_count = count_executions(fleet, 'frozen-1')
        assert execution_count <= 1
        assert (final_response.outcome, execution_count) in {
            ('done', 1),
            ('not-run', 0),
        }


class TestRestartedOwner:
    """Requests with a key of an ended incarnation get outcome unknown.

    Each start of an entry daemon begins a new incarnation.
    """

    def test_key_of_a_killed_owner_gets_outcome_unknown(self, fleets):
        fleet = fleets.start()
        caller = make_caller(fleet)
        headers = {
            'X-Work-Id': 'ended-1',
            'Idempotency-Key': fetch_key_from(caller, 'howrah-1'),
        }
        fleet.kill('howrah-1/entry')
        responses = [
            caller.send('POST', '/mint/issue', b'{}', headers, 'sealdah-1')
        ]
        fleet.start_entry(fleet.instance('howrah-1'))
        fleet.wait_ready()
        caller.connections.clear()
        responses += [
            caller.send('POST', '/mint/issue', b'{}', headers, instance)
            for instance in sorted(caller.addresses)
        ]
        assert {response.outcome for response in responses} == {'unknown'}
        assert count_executions(fleet, 'ended-1') == 0


class TestShutdownWithoutControl:
    """SIGTERM loses no request while platform and control daemon are down."""

    def test_no_request_is_lost_under_load(
        self, fleets, make_load, report_load
    ):
        fleet = fleets.start()
        fleet.set_platform_faults(away=True)
        fleet.kill('howrah-1/control')
        load = make_load(fleet, kinds=('read', 'plain'), work_ms=100)
        with load:
            time.sleep(3.0)
            fleet.signal('howrah-1/entry', signal.SIGTERM)
            time.sleep(0.3)
            load.addresses.pop('howrah-1')
            fleet.processes['howrah-1/entry'].wait(20)
        report = report_load('shutdown without control', load, fleet)
        assert report.violations == ()
        assert (report.lost, report.unknown) == (0, 0)

"""The request path through real processes, with and without faults."""

import json

import fleet_factory
import load_generator

from citronshelf_standins import responses


def make_caller(fleet, seed=1):
    """Return a caller that can send to every instance."""
    return load_generator.Caller(
        addresses=fleet_factory.caller_addresses(fleet),
        rng=load_generator.random.Random(seed),
    )


class TestPath:
    """The request path: caller to instance to backend server, and back.

    Unknown paths and forged idempotency keys are refused.
    """

    def test_read(self, shared_fleet):
        caller = make_caller(shared_fleet)
        headers = {'X-Work-Id': 'read-1'}
        response = caller.send('GET', '/ledger/shop-7', headers=headers)
        assert (response.status, response.outcome) == (200, 'done')
        assert json.loads(response.body)['work'] == 'read-1'

    def test_large_read_is_unchanged(self, shared_fleet):
        caller = make_caller(shared_fleet)
        response = caller.send('GET', '/sheets/batch-12?bytes=5000000')
        assert response.status == 200
        assert response.body == responses.pattern_bytes(5_000_000)

    def test_issue_runs_once(self, shared_fleet):
        caller = make_caller(shared_fleet)
        key = caller.fetch_key()
        headers = {'X-Work-Id': 'issue-1', 'Idempotency-Key': key}
        responses = [
            caller.send('POST', '/mint/issue', b'{}', headers, instance)
            for instance in sorted(caller.addresses)
        ]
        assert {r.outcome for r in responses} == {'done'}
        assert len({r.body for r in responses}) == 1
        lines = shared_fleet.logged_executions()
        assert sum(e['work'] == 'issue-1' for e in lines) == 1

    def test_unknown_path_gets_404(self, shared_fleet):
        response = make_caller(shared_fleet).send('GET', '/nowhere')
        assert response.status == 404

    def test_forged_key_is_refused(self, shared_fleet):
        caller = make_caller(shared_fleet)
        headers = {'X-Work-Id': 'forged', 'Idempotency-Key': 'made-up'}
        response = caller.send('POST', '/mint/issue', b'{}', headers)
        assert response.status == 400


class TestRefusals:
    """An outcome claims no more than is known about the execution."""

    def test_not_run_when_every_server_sheds(self, fleets):
        fleet = fleets.start(instances=2)
        for server in fleet.layout.servers:
            fleet.set_server_faults(server.name, shed=True)
        caller = make_caller(fleet)
        headers = {'X-Work-Id': 'shed-1'}
        response = caller.send('POST', '/mint/issue', b'{}', headers)
        assert (response.status, response.outcome) == (503, 'not-run')
        assert not fleet.logged_executions()

    def test_unknown_when_the_response_is_lost(self, fleets):
        fleet = fleets.start(instances=2)
        for server in fleet.layout.servers:
            fleet.set_server_faults(server.name, close_after_execution=True)
        caller = make_caller(fleet)
        key = caller.fetch_key()
        headers = {'X-Work-Id': 'lost-1', 'Idempotency-Key': key}
        responses = [
            caller.send('POST', '/mint/issue', b'{}', headers, instance)
            for instance in sorted(caller.addresses) * 2
        ]
        assert {r.outcome for r in responses} == {'unknown'}
        lines = fleet.logged_executions()
        assert sum(e['work'] == 'lost-1' for e in lines) == 1

    def test_malformed_responses_are_never_done(self, fleets):
        fleet = fleets.start(instances=2)
        caller = make_caller(fleet)
        for kind in ('short', 'chunk-cut', 'over-long', 'no-end'):
            for server in fleet.layout.servers:
                fleet.set_server_faults(server.name, truncate=kind)
            response = caller.send('GET', '/sheets/batch-12?bytes=2000000')
            is_complete = response.body == responses.pattern_bytes(2_000_000)
            assert is_complete or response.outcome != 'done', kind

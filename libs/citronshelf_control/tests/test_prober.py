"""Tests of the health probes."""

import asyncio
import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from tornado import httpserver
from tornado import testing
from tornado import web

from citronshelf_common import fleet
from citronshelf_control import prober

LOCATION = fleet.Location('r1', 'z1')


def make_servers(number, port=80):
    address = fleet.Address('127.0.0.1', port)
    return [
        fleet.BackendServer(f's-{i}', 'mint', address, LOCATION)
        for i in range(number)
    ]


def make_plans(instances, servers):
    names = [f'e-{i}' for i in range(instances)]
    return [
        prober.ProbePlan(own_instance=name, instances=names, servers=servers)
        for name in names
    ]


class TestProbePlan:
    """The fleet probes each server once a second, ejected ones more often."""

    @settings(derandomize=True, max_examples=60)
    @given(
        instances=st.integers(1, 40),
        servers=st.integers(0, 40),
        slot=st.integers(0, 2**31),
    )
    def test_one_prober_for_each_server(self, instances, servers, slot):
        probed = collections.Counter(
            server.server_id
            for plan in make_plans(instances, make_servers(servers))
            for server in plan.in_slot(slot, frozenset())
        )
        assert set(probed.values()) <= {1}
        assert len(probed) == servers

    def test_instances_probe_equally_often(self):
        plans = make_plans(6, make_servers(1))
        for plan in plans:
            probed_slots = [
                s for s in range(60) if plan.in_slot(s, frozenset())
            ]
            assert len(probed_slots) == 10

    def test_each_instance_probes_ejected_servers(self):
        plans = make_plans(36, make_servers(1))
        ejected = frozenset({'s-0'})
        for plan in plans:
            probed_slots = [s for s in range(90) if plan.in_slot(s, ejected)]
            assert 10 <= len(probed_slots) <= 13
        total = sum(
            len(plan.in_slot(s, ejected)) for plan in plans for s in range(36)
        )
        assert total / 36 <= prober.EJECTED_PROBES_PER_S + 1


class HealthHandler(web.RequestHandler):
    """Health endpoint that sends the first of the configured responses."""

    def initialize(self, responses):
        self.responses = responses

    def get(self):
        code, body = self.responses[0]
        self.set_status(code)
        self.finish(body)


async def probe_server(responses):
    """Return the result for each response, and after the server stopped."""
    application = web.Application(
        [('/_server/health', HealthHandler, {'responses': responses})],
        log_function=lambda handler: None,
    )
    socket, port = testing.bind_unused_port(address='127.0.0.1')
    server = httpserver.HTTPServer(application)
    server.add_sockets([socket])
    instance_prober = prober.Prober(
        wall_clock=lambda: 0.0, on_result=None, ejected=None
    )
    results = []
    while responses:
        results.append(
            await instance_prober.fetch_status(
                fleet.Address('127.0.0.1', port)
            )
        )
        del responses[0]
    server.stop()
    results.append(
        await instance_prober.fetch_status(fleet.Address('127.0.0.1', port))
    )
    return results


class TestProber:
    """A server without a valid status counts as unreachable."""

    def test_status_of_each_response(self):
        responses = [
            (200, '{"status": "ok"}'),
            (503, '{"status": "draining"}'),
            (200, '{"status": "starting"}'),
            (200, '{"status": 7}'),
            (200, '["ok"]'),
            (200, 'x' * 10_000),
            (500, '{"status": "ok"}'),
        ]
        results = asyncio.run(probe_server(responses))
        assert results == ['ok', 'draining', 'starting', *['unreachable'] * 5]

    def test_slot_starts_each_probe_once(self):
        results = []

        async def run_slot():
            instance_prober = prober.Prober(
                wall_clock=lambda: 0.0,
                on_result=lambda server, result: results.append(
                    (server, result)
                ),
                ejected=frozenset,
            )
            instance_prober.plan = make_plans(1, make_servers(3, port=1))[0]
            async with asyncio.TaskGroup() as group:
                instance_prober.start_slot(group, 5)
                instance_prober.start_slot(group, 6)
            return instance_prober

        instance_prober = asyncio.run(run_slot())
        assert (instance_prober.sent, instance_prober.skipped) == (3, 3)
        assert sorted(results) == [(f's-{i}', 'unreachable') for i in range(3)]

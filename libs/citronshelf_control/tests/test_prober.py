"""Tests of the probes."""

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

PLACE = fleet.Location('r1', 'z1')


def make_servers(number, port=80):
    address = fleet.Address('127.0.0.1', port)
    return [
        fleet.BackendServer(f's-{i}', 'mint', address, PLACE)
        for i in range(number)
    ]


def make_plans(instances, servers):
    names = [f'e-{i}' for i in range(instances)]
    return [
        prober.ProbePlan(own=name, instances=names, servers=servers)
        for name in names
    ]


class TestProbePlan:
    """The fleet probes each server once a second."""

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

    def test_every_instance_has_its_turn(self):
        plans = make_plans(6, make_servers(1))
        for plan in plans:
            turns = [s for s in range(60) if plan.in_slot(s, frozenset())]
            assert len(turns) == 10

    def test_ejected_servers_get_probes_of_each_instance(self):
        plans = make_plans(36, make_servers(1))
        ejected = frozenset({'s-0'})
        for plan in plans:
            turns = [s for s in range(90) if plan.in_slot(s, ejected)]
            assert 10 <= len(turns) <= 13
        total = sum(
            len(plan.in_slot(s, ejected)) for plan in plans for s in range(36)
        )
        assert total / 36 <= prober.EJECTED_PROBES_PER_S + 1


class Health(web.RequestHandler):
    """Health endpoint of a server."""

    def initialize(self, answers):
        self.answers = answers

    def get(self):
        code, body = self.answers[0]
        self.set_status(code)
        self.finish(body)


async def ask_server(answers):
    """Return what a prober reads from each answer."""
    application = web.Application(
        [('/_server/health', Health, {'answers': answers})],
        log_function=lambda handler: None,
    )
    socket, port = testing.bind_unused_port(address='127.0.0.1')
    server = httpserver.HTTPServer(application)
    server.add_sockets([socket])
    one = prober.Prober(wall_clock=lambda: 0.0, found=None, ejected=None)
    read = []
    while answers:
        read.append(await one.ask(fleet.Address('127.0.0.1', port)))
        del answers[0]
    server.stop()
    read.append(await one.ask(fleet.Address('127.0.0.1', port)))
    return read


class TestProber:
    """Every answer is understood or counts as unreachable."""

    def test_answers(self):
        answers = [
            (200, '{"status": "ok"}'),
            (503, '{"status": "draining"}'),
            (200, '{"status": "starting"}'),
            (200, '{"status": 7}'),
            (200, '["ok"]'),
            (200, 'x' * 10_000),
            (500, '{"status": "ok"}'),
        ]
        read = asyncio.run(ask_server(answers))
        assert read == ['ok', 'draining', 'starting', *['unreachable'] * 5]

    def test_slot_starts_each_probe_once(self):
        found = []

        async def run_slot():
            one = prober.Prober(
                wall_clock=lambda: 0.0,
                found=lambda server, answer: found.append((server, answer)),
                ejected=frozenset,
            )
            one.plan = make_plans(1, make_servers(3, port=1))[0]
            async with asyncio.TaskGroup() as group:
                one.begin_slot(group, 5)
                one.begin_slot(group, 6)
            return one

        one = asyncio.run(run_slot())
        assert (one.sent, one.skipped) == (3, 3)
        assert sorted(found) == [(f's-{i}', 'unreachable') for i in range(3)]

"""Tests of two control daemons and a platform in one event loop."""

import asyncio
import json
import logging
import socket

from tornado import httpclient
from tornado import httpserver
from tornado import testing
from tornado import web
import zmq
import zmq.asyncio

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import local_link
from citronshelf_control import daemon as daemons
from citronshelf_control import program

DOCUMENT = b"""\
format = 1
[pools.mint]
slots_per_server = 2
connections_per_server = 330
floor_percent = 50
[services.mint]
pool = "mint"
[classes.lookup]
idempotent = true
expected_ms = 40
deadline_ms = 5000
worth = 1.0
long = false
[routes.lookup]
methods = ["GET"]
path = "/mint"
service = "mint"
class = "lookup"
[accounts]
default_requests_per_second = 50.0
default_burst = 100
"""
BAD_DOCUMENT = DOCUMENT.replace(b'pool = "mint"', b'pool = "mnt"')
KEYS = [key.decode() for key in zmq.curve_keypair()]
STEP_S = 0.05
TIMEOUT_S = 20.0


class PlatformHandler(web.RequestHandler):
    """Values of the platform, with long polling."""

    def initialize(self, values):
        self.values = values

    async def get(self, name):
        after = int(self.get_argument('after', '-1'))
        for _ in range(int(self.get_argument('wait_ms', '0')) // 50):
            if self.values[name][0] > after:
                break
            await asyncio.sleep(0.05)
        revision, body = self.values[name]
        if revision <= after:
            self.set_status(304)
            return
        self.set_header('Revision', str(revision))
        self.finish(body)


def free_ports(number):
    probes = [socket.socket() for _ in range(number)]
    for probe in probes:
        probe.bind(('127.0.0.1', 0))
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
        probe.close()
    return ports


def make_table(name, ports, seeds, platform_port):
    peer, admin, local = (f'127.0.0.1:{port}' for port in ports)
    return {
        'instance': {
            'name': name,
            'region': 'r1',
            'zone': 'z1',
            'store_region': 'r1',
            'region_link_megabits': 30.0,
        },
        'entry': {'listen': peer, 'admin': peer, 'forward': peer},
        'control': {'peer': peer, 'admin': admin, 'local': local},
        'platform': {'address': f'127.0.0.1:{platform_port}'},
        'peers': {'seeds': [f'127.0.0.1:{port}' for port in seeds]},
        'secrets': {
            'curve_public': KEYS[0],
            'curve_secret': KEYS[1],
            'key_signing': 'ab' * 32,
        },
    }


def make_row(name, kind, port, **more):
    return {
        'id': name,
        'kind': kind,
        'ip': '127.0.0.1',
        'port': port,
        'region': 'r1',
        'zone': 'z1',
        'state': 'live',
        **more,
    }


class FakeEntryDaemon:
    """Client of the local link that acts as an entry daemon."""

    def __init__(self, table):
        self.own = identity.new_incarnation(instance='entry')
        self.socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.connect(f'tcp://{table["control"]["local"]}')
        self.updates = []
        self.number = 0

    async def run(self):
        while True:
            self.number += 1
            known = self.updates[-1].view.revision if self.updates else 0
            await self.send(
                local_link.ViewRefresh(self.own, self.number, known)
            )
            for _ in range(10):
                await asyncio.sleep(STEP_S)
                while await self.socket.poll(0):
                    data = await self.socket.recv()
                    self.updates.append(local_link.CODEC.decode(data).ok)

    async def send(self, message):
        await self.socket.send(local_link.CODEC.encode(message))

    def standings(self):
        if not self.updates:
            return {}
        return {
            view.server.server_id: view.standing
            for view in self.updates[-1].view.servers
        }


class DaemonPair:
    """Two control daemons, each with a fake entry daemon."""

    def __init__(self):
        self.values = {'document': (1, DOCUMENT)}
        self.stopping = asyncio.Event()

    async def __aenter__(self):
        application = web.Application(
            [('/v1/values/(.*)', PlatformHandler, {'values': self.values})],
            log_function=lambda handler: None,
        )
        platform_socket, platform_port = testing.bind_unused_port(
            address='127.0.0.1'
        )
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets([platform_socket])
        ports = free_ports(6)
        instance_ports = (ports[:3], ports[3:])
        seeds = [ports_of_one[0] for ports_of_one in instance_ports]
        rows = [make_row(f'e-{i}', 'entry', seeds[i]) for i in range(2)]
        rows += [
            make_row(f's-{i}', 'backend', 1, pool='mint') for i in range(4)
        ]
        self.values['instances'] = (1, json.dumps(rows).encode())
        self.tables = [
            make_table(f'e-{i}', instance_ports[i], seeds, platform_port)
            for i in range(2)
        ]
        self.daemons = [
            asyncio.create_task(
                daemons.ControlDaemon(table=table).serve(self.stopping)
            )
            for table in self.tables
        ]
        await asyncio.sleep(STEP_S)
        self.entries = [FakeEntryDaemon(table) for table in self.tables]
        self.tasks = [asyncio.create_task(e.run()) for e in self.entries]
        return self

    async def __aexit__(self, *error):
        self.stopping.set()
        for task in self.tasks:
            task.cancel()
        self.statuses = await asyncio.gather(*self.daemons)
        self.server.stop()
        for entry in self.entries:
            entry.socket.close(0)

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(STEP_S)

    async def get(self, index, path):
        admin = self.tables[index]['control']['admin']
        client = httpclient.AsyncHTTPClient()
        return (await client.fetch(f'http://{admin}{path}')).body

    async def status(self, index):
        return json.loads(await self.get(index, '/status'))


def run(scenario):
    async def run_scenario():
        pair = DaemonPair()
        async with pair:
            await pair.wait_until(
                lambda: all(
                    entry.updates and entry.updates[-1].view.revision
                    for entry in pair.entries
                )
            )
            await scenario(pair)
        assert pair.statuses == [0, 0]

    asyncio.run(run_scenario())


class TestControlDaemon:
    """Both daemons reach the same state and send it to entry daemons."""

    def test_view_document_and_status(self):
        async def scenario(pair):
            first = pair.entries[0].updates
            assert any(update.document == DOCUMENT for update in first)
            assert first[-1].view.entry_instances == 2
            await pair.wait_until(lambda: first[-1].document is None)
            while True:
                status = await pair.status(0)
                if status['peers'][0]['link'] == 'up':
                    break
                await asyncio.sleep(STEP_S)
            assert status['revision'] == 1
            assert status['entry_alive']
            assert status['confirmed']
            admin = pair.tables[1]['control']['admin']
            assert status['peers'][0]['admin'] == admin
            assert len(status['servers']) == 4
            metrics = (await pair.get(0, '/metrics')).decode()
            assert 'citronshelf_control_peers_up 1' in metrics

        run(scenario)

    def test_drain_signal_reaches_the_other_entry_daemon(self):
        async def scenario(pair):
            signal = local_link.DrainSignal(pair.entries[0].own, 's-2')
            await pair.entries[0].send(signal)
            for entry in pair.entries:
                await pair.wait_until(
                    lambda e=entry: (
                        e.standings()['s-2'] is fleet.Standing.LEAVING
                    )
                )

        run(scenario)

    def test_evidence_ejects_a_server_at_both(self):
        async def scenario(pair):
            entry = pair.entries[0]

            async def report():
                for sequence in range(200):
                    counts = tuple(
                        fleet.OutcomeCounts(f's-{i}', 'lookup', good=20)
                        for i in range(3)
                    )
                    bad = fleet.OutcomeCounts('s-3', 'lookup', errored=20)
                    await entry.send(
                        local_link.EvidenceReport(
                            entry.own, sequence, (*counts, bad)
                        )
                    )
                    await asyncio.sleep(0.2)

            reporting = asyncio.create_task(report())
            for other in pair.entries:
                await pair.wait_until(
                    lambda e=other: (
                        e.standings().get('s-3') is fleet.Standing.EJECTED
                    )
                )
            reporting.cancel()

        run(scenario)

    def test_refused_document_is_in_the_status(self):
        async def scenario(pair):
            pair.values['document'] = (2, BAD_DOCUMENT)
            status = {'refused': []}
            async with asyncio.timeout(TIMEOUT_S):
                while not status['refused']:
                    status = await pair.status(1)
                    await asyncio.sleep(STEP_S)
            assert status['revision'] == 1
            assert status['highest_revision_seen'] == 2
            assert 'services.mint' in status['refused'][0]['faults'][0]

        run(scenario)


class TestForeignRows:
    """Rows of another writer do not stop instances from following the list."""

    # Guards against a list whose changes are ignored for one invalid row, and
    # against a row that ends each instance.
    def test_later_lists_are_followed(self, caplog):
        async def scenario(pair):
            rows = json.loads(pair.values['instances'][1])
            odd = make_row('odd', 'backend', 2**70, pool='mint')
            rows[2]['state'] = 'leaving'
            pair.values['instances'] = (2, json.dumps([odd, *rows]).encode())
            await wait_leaving(pair, 's-0')
            nested = b'[' + b'[' * 5000 + b']' * 5000 + b']'
            pair.values['instances'] = (3, nested)
            await asyncio.sleep(1.0)
            rows[3]['state'] = 'leaving'
            pair.values['instances'] = (4, json.dumps(rows).encode())
            await wait_leaving(pair, 's-1')

        async def wait_leaving(pair, server_id):
            for entry in pair.entries:
                await pair.wait_until(
                    lambda e=entry: (
                        e.standings()[server_id] is fleet.Standing.LEAVING
                    )
                )

        with caplog.at_level(logging.WARNING):
            run(scenario)
        names = [
            getattr(record, 'event_name', '') for record in caplog.records
        ]
        assert 'list-rows-ignored' in names


class TestProgram:
    """Invalid settings end the program; the error names file and line."""

    def test_bad_settings(self, tmp_path, capsys):
        path = tmp_path / 'a.toml'
        path.write_text('[instance]\nname = 3\n', encoding='utf-8')
        assert program.main(['--settings', str(path)]) == 3
        assert f'{path}:' in capsys.readouterr().err

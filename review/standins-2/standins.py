"""Stand-ins of the platform, the servers and the clients for the scripts.

Only the standard library is used. All stand-ins run in the process of the
script; the instances under test are processes of their own.
"""

import asyncio
import base64
import contextlib
import json
import os
from pathlib import Path
import socket
import sys
import tempfile
import time
from urllib import parse

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.5


class Record:
    """Lines of ``record.txt``: what was sent, answered and run, and when."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began_s = time.monotonic()

    def now(self):
        return time.monotonic() - self.began_s

    def write(self, text):
        self.file.write(f'{self.now():9.3f} {text}\n')

    def close(self):
        self.file.close()


class Store:
    """The platform's store: pages, watches, revisions."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, key, value):
        """Write an item; return its revision, which acknowledges it."""
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'mod-revision': self.revision,
            'create-rev': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self.add_event(item)
        self.record.write(f'store: {key} = {json.dumps(value)}')
        return self.revision

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.add_event(
            {'key': key, 'mod-revision': self.revision, 'removed': True}
        )
        self.record.write(f'store: {key} removed')

    def add_event(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            target = head.split(b' ')[1].decode()
            path, _, query = target.partition('?')
            fields = dict(parse.parse_qsl(query, keep_blank_values=True))
            status, body = await self.respond(path, fields)
            text = json.dumps(body).encode()
            writer.write(
                b'HTTP/1.1 %d X\r\nContent-Type: application/json\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (status, len(text), text)
            )
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def respond(self, path, fields):
        prefix = fields.get('prefix', '')
        after = fields.get('after', '')
        if path == '/kv-range':
            keys = sorted(
                k for k in self.items if k.startswith(prefix) and k > after
            )
            page = [self.items[key] for key in keys[:500]]
            body = {'items': page, 'has-more': len(keys) > 500}
            return 200, body | {'at': self.revision}
        if path == '/kv-watch':
            events = self.events(int(after), prefix)
            end_s = time.monotonic() + int(fields['wait-ms']) / 1000
            while not events and time.monotonic() < end_s:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(end_s - time.monotonic()):
                        await self.changed.wait()
                events = self.events(int(after), prefix)
            return 200, {'events': events, 'at': self.revision}
        return 404, {}

    def events(self, after, prefix):
        return [
            event
            for event in self.history
            if event['mod-revision'] > after
            and event['key'].startswith(prefix)
        ]


class Server:
    """A server that registers itself and runs each request it gets."""

    def __init__(self, *, name, service, store, record, work_s=0.1):
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.work_s = work_s
        self.sequence = 0
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        """Return the next entry; its sequence is higher than the last one."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': 'howrah',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'warmup-left-ms': 0,
            'sequence': self.sequence,
            'born': self.born,
        }

    def beat(self, entry=None):
        """Write an entry; it changes when more than its sequence changes."""
        entry = entry or self.entry()
        key = f'servers/{self.name}'
        known = self.store.items.get(key)
        if known is not None:
            value = json.loads(base64.b64decode(known['value']))
            if value | {'sequence': 0} == entry | {'sequence': 0}:
                return
        self.store.put(key, entry)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self.answer(*parse_head(head), reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, start, fields, reader, writer):
        await reader.readexactly(int(fields.get('content-length', 0)))
        request_id = fields['request-id']
        echo = b'Request-Id: %b\r\n' % request_id.encode()
        if fields.get('expect-instance', self.name) != self.name:
            writer.write(
                b'HTTP/1.1 421 X\r\n%bContent-Length: 0\r\n\r\n' % echo
            )
            return
        self.arrivals.append((self.record.now(), request_id))
        self.record.write(f'{self.name} runs {request_id} ({start})')
        await asyncio.sleep(self.work_s)
        if self.state == 'draining':
            echo += b'Server-Leaving: 1\r\n'
        body = f'{request_id} {self.name}'.encode()
        writer.write(
            b'HTTP/1.1 200 OK\r\n%bResponse-Seal: %b\r\n'
            b'Content-Length: %d\r\n\r\n%b'
            % (echo, self.name.encode(), len(body), body)
        )
        await writer.drain()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def parse_head(head):
    """Return the start line and the header fields of a message."""
    start, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return start, fields


def path_rule(name, prefix, kind, service):
    return {
        'name': name,
        'prefix': prefix,
        'kind': kind,
        'timeout-ms': 1500,
        'target-latency-ms': 600,
        'priority': 1,
        'service': service,
        'attempts': 2,
        'allow-anonymous': False,
    }


def configuration(version, rules):
    return {
        'version': version,
        'services': [
            {
                'name': name,
                'health-path': '/health',
                'max-connections': 330,
                'protocol': 'h1',
                'tls': False,
            }
            for name in sorted({rule['service'] for rule in rules})
        ],
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 67108864,
            'header-timeout-ms': 3000,
            'idle-timeout-ms': 15000,
        },
        'virtual-hosts': [{'host': 'jepu9.example', 'path-rules': rules}],
    }


class Instance:
    """One process of the deploy file's program."""

    def __init__(self, *, name, folder, store, ports, seeds, zone='howrah'):
        self.name = name
        self.folder = folder
        self.ports = ports
        self.path = folder / f'{name}.toml'
        self.path.write_text(
            f"""[instance]
name = "{name}"
region = "kolkata"
zone = "{zone}"
max_descriptors = 4100
memory_mb = 300
[regions]
howrah = "kolkata"
sealdah = "kolkata"
[listen]
callers = "{HOST}:{ports['callers']}"
ready = "{HOST}:{ports['ready']}"
metrics = "{HOST}:{ports['metrics']}"
peers = "{HOST}:{ports['peers']}"
[peers]
seeds = {json.dumps(seeds)}
[store]
address = "{HOST}:{store.port}"
[retries]
ratio = 0.2
window_s = 10
kept_credits = 1.2
[placement]
zone_loss_per_kb = 0.004
region_loss_per_kb = 0.02
region_latency_s = 0.04
[shutdown]
accept_s = 3.0
grace_s = 6
[log]
lines_per_s = 200
""",
            encoding='utf-8',
        )

    async def start(self):
        path = os.environ.get('PATH', '/usr/bin:/bin')
        with (self.folder / f'{self.name}.log').open('ab') as output:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'citronshelf_platform',
                cwd=ROOT,
                stdout=output,
                stderr=output,
                env={
                    'PATH': path,
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': str(ROOT / 'target' / 'deps'),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'CITRONSHELF_NODE_FILE': str(self.path),
                },
            )

    async def wait_ready(self, timeout_s=20.0):
        async with asyncio.timeout(timeout_s):
            while await self.ready() != 200:
                await asyncio.sleep(0.05)

    async def ready(self):
        try:
            status, _, _ = await exchange(
                self.ports['ready'],
                b'GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n',
            )
        except (OSError, asyncio.IncompleteReadError):
            return 0
        return status

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


async def exchange(port, data):
    """Send bytes on a new connection; return status, fields and body."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        start, fields = parse_head(await reader.readuntil(b'\r\n\r\n'))
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        return int(start.split(' ')[1]), fields, body
    finally:
        writer.close()
        with contextlib.suppress(OSError):
            await writer.wait_closed()


def request_bytes(method, path, request_id, deadline_ms=2000):
    return (
        f'{method} {path} HTTP/1.1\r\nHost: jepu9.example\r\n'
        f'Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n'
        'Connection: close\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def free_ports(count):
    """Return ports below the ephemeral range that are free now."""
    ports = []
    candidate = 15000 + (os.getpid() * 37) % 12000
    while len(ports) < count:
        candidate += 1
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, candidate))
            ports.append(candidate)
    return ports


class Fleet:
    """Store and instances; ends all processes that it started."""

    def __init__(self, *, record, instances):
        self.record = record
        self.count = instances
        self.instances = []

    async def __aenter__(self):
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = Store(self.record)
        await self.store.start()
        keys = ('callers', 'ready', 'metrics', 'peers')
        ports = free_ports(len(keys) * self.count)
        tables = [
            dict(zip(keys, ports[4 * n : 4 * n + 4], strict=True))
            for n in range(self.count)
        ]
        seeds = [f'{HOST}:{table["peers"]}' for table in tables[:3]]
        self.instances = [
            Instance(
                name=f'front-howrah-{n + 1}',
                folder=self.folder,
                store=self.store,
                ports=table,
                seeds=seeds,
            )
            for n, table in enumerate(tables)
        ]
        return self

    async def start_instances(self):
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_ready()

    async def __aexit__(self, *_details):
        self.store.server.close()
        for instance in self.instances:
            if hasattr(instance, 'process'):
                await instance.end()
        logs = os.environ.get('KEEP_LOGS')
        if logs:
            for path in self.folder.glob('*.log'):
                (Path(logs) / path.name).write_bytes(path.read_bytes())
        self.temporary.cleanup()
        # Connections of the stand-ins end with the instances.
        await asyncio.sleep(0.2)


def run(scenario, folder):
    """Run a scenario; exit with 1 if broken, 0 if held, 2 if it couldn't run.

    ``scenario`` is awaited with the record and whether there is trouble; it
    returns a list of violations.
    """
    record = Record(Path(folder) / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        violations = asyncio.run(scenario(record, trouble))
    except Exception as error:  # noqa: BLE001
        record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    finally:
        record.file.flush()
    for text in violations[:20]:
        record.write(f'VIOLATION {text}')
        print(text)
    print(f'{len(violations)} violations')
    record.close()
    sys.exit(1 if violations else 0)

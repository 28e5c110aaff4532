"""Measures the cost of the control daemon.

Run with ``.venv/bin/python measures/control_cost.py``. It starts control
daemons as processes on 127.0.0.1; the platform, the health endpoints and the
entry daemons are simulated in this process. Prints CPU usage, memory, traffic
and platform reads of the daemons, and the time until a new revision is in
force on all of them.
"""

import argparse
import asyncio
import json
from pathlib import Path
import secrets
import socket
import sys
import tempfile
import time
from typing import NamedTuple

import psutil
from tornado import httpclient
from tornado import httpserver
from tornado import netutil
from tornado import web
import zmq
import zmq.asyncio

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import local_link

DOCUMENT = (
    Path(__file__).resolve().parent.parent
    / 'tests/documents/shonkha-trial.toml'
)
LOCATIONS = (
    ('kolkata', 'howrah'),
    ('kolkata', 'sealdah'),
    ('siliguri', 'sevoke-rd'),
    ('siliguri', 'matigara'),
)
POOLS = ('ledger-view', 'batch-desk', 'serial-mint')
CLASSES = ('lookup', 'issue', 'sheet')
REPORT_INTERVAL_S = 0.5
SETTLING_S = 15.0
READY_TIMEOUT_S = 60.0

SETTINGS = """\
[instance]
name = "{name}"
region = "{region}"
zone = "{zone}"
store_region = "kolkata"
region_link_megabits = 30.0
[entry]
listen = "127.0.0.1:1"
admin = "127.0.0.1:2"
forward = "127.0.0.1:3"
[control]
peer = "127.0.0.1:{peer}"
admin = "127.0.0.1:{admin}"
local = "127.0.0.1:{local}"
[platform]
address = "127.0.0.1:{platform}"
[peers]
seeds = {seeds}
[secrets]
curve_public = "{public}"
curve_secret = "{secret}"
key_signing = "{signing}"
"""


class Ports(NamedTuple):
    """Ports of one instance."""

    peer: int
    admin: int
    local: int


class Sample(NamedTuple):
    """Counters of one daemon at one time.

    Attributes
    ----------
    at : float
        Monotonic time in seconds.
    cpu_s : float
        User and system time of the process.
    resident_bytes : float
    sent_bytes, received_bytes : float
        Totals from the metrics of the daemon.
    reads : float
        Total number of platform reads.
    """

    at: float
    cpu_s: float
    resident_bytes: float
    sent_bytes: float
    received_bytes: float
    reads: float


class Cost(NamedTuple):
    """Cost of one daemon over an interval.

    Attributes
    ----------
    cpu_percent : float
        Share of one core.
    resident_mb : float
        Resident memory at the end of the interval, in MB of 10**6 bytes.
    sent_bytes_s, received_bytes_s : float
        Bytes per second.
    reads_s : float
        Platform reads per second.
    """

    cpu_percent: float
    resident_mb: float
    sent_bytes_s: float
    received_bytes_s: float
    reads_s: float


class PlatformHandler(web.RequestHandler):
    """Serves the values of the platform, with long polling."""

    def initialize(self, values):
        """Set the values: for each name, the revision and the body."""
        self.values = values

    async def get(self, name):
        """Respond with a value once its revision is newer than ``after``.

        Responds with status 304 if there is no such revision within
        ``wait_ms``.
        """
        after = int(self.get_argument('after', '-1'))
        until = time.monotonic() + int(self.get_argument('wait_ms', '0')) / 1e3
        while self.values[name][0] <= after and time.monotonic() < until:
            await asyncio.sleep(0.02)
        revision, body = self.values[name]
        if revision <= after:
            self.set_status(304)
            return
        self.set_header('Revision', str(revision))
        self.finish(body)


class HealthHandler(web.RequestHandler):
    """Health endpoint of all backend servers."""

    def get(self):
        """Report the server as healthy."""
        self.finish({'status': 'ok'})


def free_ports(number: int) -> list[int]:
    """Return distinct free TCP ports."""
    sockets = [socket.socket() for _ in range(number)]
    for bound in sockets:
        bound.bind(('127.0.0.1', 0))
    ports = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return ports


def make_instance_list(
    ports: list[Ports], servers: int, server_port: int
) -> bytes:
    """Return the instance list of the platform as JSON.

    All servers have the same port, ``server_port``.
    """
    rows = []
    for index, instance_ports in enumerate(ports):
        region, zone = LOCATIONS[index % len(LOCATIONS)]
        rows.append(
            {
                'id': f'entry-{index}',
                'kind': 'entry',
                'ip': '127.0.0.1',
                'port': instance_ports.peer,
                'forward_port': 9,
                'region': region,
                'zone': zone,
                'state': 'live',
            }
        )
    for index in range(servers):
        region, zone = LOCATIONS[index % len(LOCATIONS)]
        rows.append(
            {
                'id': f'server-{index}',
                'kind': 'backend',
                'pool': POOLS[index % len(POOLS)],
                'ip': '127.0.0.1',
                'port': server_port,
                'region': region,
                'zone': zone,
                'state': 'live',
            }
        )
    return json.dumps(rows).encode()


class ControlFleet:
    """A fleet of control daemons with simulated counterparts.

    The platform, backend servers and entry daemons are simulated.

    Parameters
    ----------
    daemons : int
        Number of control daemons.
    servers : int
        Number of backend servers in the instance list.
    directory : Path
        Receives the settings and log files of the daemons.
    """

    def __init__(self, *, daemons: int, servers: int, directory: Path):
        self.daemons = daemons
        self.servers = servers
        self.directory = directory
        numbers = free_ports(daemons * 3 + 1)
        self.platform_port = numbers.pop()
        self.ports = [
            Ports(*numbers[i * 3 : i * 3 + 3]) for i in range(daemons)
        ]
        self.values = {
            'document': (1, DOCUMENT.read_bytes()),
            'instances': (
                1,
                make_instance_list(self.ports, servers, self.platform_port),
            ),
        }
        self.children: list[asyncio.subprocess.Process] = []
        self.reporters: list[asyncio.Task] = []
        self.client = httpclient.AsyncHTTPClient(max_clients=64)

    async def start(self) -> None:
        """Start the fleet; wait until all daemons apply the document."""
        application = web.Application(
            [
                ('/v1/values/(.*)', PlatformHandler, {'values': self.values}),
                ('/_server/health', HealthHandler),
            ],
            log_function=lambda handler: None,
        )
        self.server = httpserver.HTTPServer(application)
        self.server.add_sockets(
            netutil.bind_sockets(self.platform_port, '127.0.0.1')
        )
        public, secret = zmq.curve_keypair()
        keys = (public.decode(), secret.decode(), secrets.token_hex(32))
        for index in range(self.daemons):
            self.children.append(await self.start_daemon(index, keys))
            self.reporters.append(
                asyncio.create_task(self.run_entry_stub(index))
            )
        await self.wait_for_revision(1)

    async def start_daemon(self, index: int, keys):
        """Start one control daemon."""
        region, zone = LOCATIONS[index % len(LOCATIONS)]
        ports = self.ports[index]
        seeds = [
            f'127.0.0.1:{instance_ports.peer}'
            for instance_ports in self.ports[:4]
        ]
        path = self.directory / f'{self.daemons}-{index}.toml'
        path.write_text(
            SETTINGS.format(
                name=f'entry-{index}',
                region=region,
                zone=zone,
                platform=self.platform_port,
                seeds=json.dumps(seeds),
                public=keys[0],
                secret=keys[1],
                signing=keys[2],
                **ports._asdict(),
            ),
            encoding='utf-8',
        )
        log = path.with_suffix('.log').open('wb')
        with log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'citronshelf_control.program',
                '--settings',
                str(path),
                stderr=log,
            )

    async def run_entry_stub(self, index: int) -> None:
        """Act as the entry daemon of one instance.

        Refreshes its view and reports outcomes at each interval.
        """
        own = identity.new_incarnation(instance=f'entry-{index}')
        dealer = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        dealer.setsockopt(zmq.LINGER, 0)
        dealer.connect(f'tcp://127.0.0.1:{self.ports[index].local}')
        sequence_number = 0
        revision = 0
        try:
            while True:
                sequence_number += 1
                messages = (
                    local_link.ViewRefresh(own, sequence_number, revision),
                    local_link.EvidenceReport(
                        own, sequence_number, self.outcome_counts(index)
                    ),
                )
                for message in messages:
                    await dealer.send(local_link.CODEC.encode(message))
                await asyncio.sleep(REPORT_INTERVAL_S)
                while await dealer.poll(0):
                    update = local_link.CODEC.decode(await dealer.recv()).ok
                    revision = update.view.revision
        finally:
            dealer.close(0)

    def outcome_counts(self, index: int) -> tuple[fleet.OutcomeCounts, ...]:
        """Return outcome counts for the servers in the instance's zone."""
        return tuple(
            fleet.OutcomeCounts(f'server-{server}', request_class, good=3)
            for server in range(
                index % len(LOCATIONS), self.servers, len(LOCATIONS)
            )
            for request_class in CLASSES
        )

    async def get(self, index: int, path: str) -> bytes:
        """Fetch a path from the admin address of a daemon."""
        url = f'http://127.0.0.1:{self.ports[index].admin}{path}'
        return (await self.client.fetch(url)).body

    async def wait_for_revision(self, revision: int) -> float:
        """Wait until a revision is in force on all daemons.

        Returns
        -------
        float
            Seconds that this took.

        Raises
        ------
        TimeoutError
            If it takes longer than ``READY_TIMEOUT_S``.
        """
        started = time.monotonic()
        waiting = set(range(self.daemons))
        while waiting:
            if time.monotonic() - started > READY_TIMEOUT_S:
                raise TimeoutError(f'{len(waiting)} daemons lack the revision')
            for index in sorted(waiting):
                try:
                    text = await self.get(index, '/status')
                except OSError:
                    continue
                if json.loads(text)['revision'] == revision:
                    waiting.discard(index)
            await asyncio.sleep(0.02)
        return time.monotonic() - started

    async def sample(self, index: int) -> Sample:
        """Return the counters of one daemon."""
        text = (await self.get(index, '/metrics')).decode()
        values = {}
        for line in text.splitlines():
            if line.startswith('citronshelf_control_'):
                name, _, value = line.rpartition(' ')
                values[name.removeprefix('citronshelf_control_')] = value
        process = psutil.Process(self.children[index].pid)
        times = process.cpu_times()
        return Sample(
            time.monotonic(),
            times.user + times.system,
            process.memory_info().rss,
            float(values['sent_bytes']),
            float(values['received_bytes']),
            float(values['platform_reads']),
        )

    async def measure_costs(self, seconds: float) -> list[Cost]:
        """Return the cost of each daemon over an interval."""
        before = [await self.sample(i) for i in range(self.daemons)]
        await asyncio.sleep(seconds)
        after = [await self.sample(i) for i in range(self.daemons)]
        return [cost_of(b, a) for b, a in zip(before, after, strict=True)]

    async def publish(self, revision: int) -> float:
        """Publish a revision; return the seconds until it is in force."""
        body = DOCUMENT.read_bytes() + b'# revision %d\n' % revision
        self.values['document'] = (revision, body)
        return await self.wait_for_revision(revision)

    async def stop(self) -> None:
        """Terminate the daemons and wait for them."""
        for task in self.reporters:
            task.cancel()
        for child in self.children:
            if child.returncode is None:
                child.terminate()
        for child in self.children:
            await child.wait()
        self.server.stop()


def cost_of(before: Sample, after: Sample) -> Cost:
    """Compute the cost from two samples of a daemon."""
    seconds = after.at - before.at
    return Cost(
        100 * (after.cpu_s - before.cpu_s) / seconds,
        after.resident_bytes / 1e6,
        (after.sent_bytes - before.sent_bytes) / seconds,
        (after.received_bytes - before.received_bytes) / seconds,
        (after.reads - before.reads) / seconds,
    )


def mean_of(costs: list[Cost]) -> Cost:
    """Return the mean of each field."""
    return Cost(*(sum(c) / len(costs) for c in zip(*costs, strict=True)))


def max_of(costs: list[Cost]) -> Cost:
    """Return the maximum of each field."""
    return Cost(*(max(column) for column in zip(*costs, strict=True)))


def slope(points: list[tuple[float, float]]) -> float:
    """Return the least-squares slope of points.

    Returns 0.0 if all have the same x.
    """
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
    sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return sum_xy / sum_xx if sum_xx else 0.0


def print_cost(label: str, cost: Cost) -> None:
    """Print one row of the table."""
    print(
        f'{label:>28} {cost.cpu_percent:7.2f} {cost.resident_mb:7.1f}'
        f' {cost.sent_bytes_s:9.0f} {cost.received_bytes_s:9.0f}'
        f' {cost.reads_s:7.2f}'
    )


async def measure_fleet(
    daemons, servers, seconds, directory, print_each
) -> Cost:
    """Run one fleet, print its rows and return the mean cost."""
    control_fleet = ControlFleet(
        daemons=daemons, servers=servers, directory=directory
    )
    try:
        await control_fleet.start()
        await asyncio.sleep(SETTLING_S)
        costs = await control_fleet.measure_costs(seconds)
        in_force = [
            await control_fleet.publish(revision) for revision in (2, 3, 4)
        ]
    finally:
        await control_fleet.stop()
    label = f'{daemons} daemons, {servers} servers'
    if print_each:
        for index, cost in enumerate(costs):
            print_cost(f'entry-{index}', cost)
    print_cost(f'{label}, mean', mean_of(costs))
    print_cost('largest', max_of(costs))
    slowest = max(in_force)
    print(f'{"":>28} in force everywhere after {slowest:.2f} s (worst of 3)')
    return mean_of(costs)


def print_slopes(name: str, points: list[tuple[float, Cost]]) -> None:
    """Print how each field of the mean cost grows per unit of size."""
    if len(points) < 2:
        return
    for field in Cost._fields:
        values = [(x, getattr(cost, field)) for x, cost in points]
        print(f'{field} per {name}: {slope(values):.4f}')


async def measure(options) -> None:
    """Measure fleets of all sizes and print the slopes."""
    headings = ('cpu %', 'MB', 'sent B/s', 'recv B/s', 'reads/s')
    print(
        f'{"":>28} {headings[0]:>7} {headings[1]:>7} {headings[2]:>9}'
        f' {headings[3]:>9} {headings[4]:>7}'
    )
    by_daemons = []
    by_servers = []
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        for daemons in options.daemons:
            cost = await measure_fleet(
                daemons,
                options.servers[0],
                options.seconds,
                directory,
                options.each,
            )
            by_daemons.append((daemons, cost))
        for servers in options.servers:
            cost = await measure_fleet(
                options.daemons[0], servers, options.seconds, directory, False
            )
            by_servers.append((servers, cost))
    print_slopes('peer', by_daemons)
    print_slopes('server', by_servers)


def main() -> None:
    """Parse the options and run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--daemons', type=int, nargs='+', default=[4, 8, 16, 32]
    )
    parser.add_argument('--servers', type=int, nargs='+', default=[33, 132])
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument(
        '--each', action='store_true', help='print a row for each daemon'
    )
    asyncio.run(measure(parser.parse_args()))


if __name__ == '__main__':
    main()

"""Measures the latency that the entry daemon adds to requests.

One instance with both daemons, the platform stand-in and four servers run as
separate processes. Requests arrive at random times at a given mean rate. Each
goes either to a server or through the instance, chosen at random, so that
both are measured under the same load of the machine.
"""

import argparse
import asyncio
import pathlib
import random
import re
import tempfile
import time
from typing import NamedTuple

import psutil

from citronshelf_common import fleet
from citronshelf_standins import layout as layouts
from citronshelf_standins import local_fleet

DOCUMENT = b"""
format = 1
[pools.p]
slots_per_server = 64
connections_per_server = 330
floor_percent = 50
prefer = "nearest"
long_work_percent = 25
[services.s]
pool = "p"
retry_budget_percent = 10
hedge_budget_percent = 0
queue_limit_ms = 2000
[classes.view]
idempotent = true
expected_ms = 5
deadline_ms = 3000
[classes.issue]
idempotent = false
expected_ms = 5
deadline_ms = 3000
key = "optional"
[routes.view]
methods = ["GET"]
prefix = "/view/"
service = "s"
class = "view"
[routes.issue]
methods = ["POST"]
path = "/issue"
service = "s"
class = "issue"
[accounts]
default_requests_per_second = 100000.0
default_burst = 100000
[cross_region]
policy = "spare"
link_percent = 20
max_body_bytes = 65536
"""
LOCATION = fleet.Location('kolkata', 'howrah')
SERVERS = 4
WARM_UP_S = 3.0
CONTENT_LENGTH = re.compile(rb'(?i)\r\ncontent-length: (\d+)')
MODES = ('direct', 'entry')


class Sample(NamedTuple):
    """One successful call.

    Attributes
    ----------
    mode : str
        One of ``MODES``.
    kind : str
        'view' or 'issue'.
    seconds : float
    """

    mode: str
    kind: str
    seconds: float


class ConnectionPool:
    """Keep-alive connections to one address.

    A call uses an idle connection or opens a new one.
    """

    def __init__(self, address: str):
        self.ip, _, port = address.partition(':')
        self.port = int(port)
        self.idle: list = []
        self.calls = 0

    async def call(self, data: bytes) -> bytes:
        """Send a request; return the head of the response."""
        self.calls += 1
        if self.idle:
            reader, writer = self.idle.pop()
        else:
            reader, writer = await asyncio.open_connection(self.ip, self.port)
        writer.write(data)
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(CONTENT_LENGTH.search(head)[1])
        await reader.readexactly(length)
        self.idle.append((reader, writer))
        return head


class LoadGenerator:
    """Makes calls at random times, at the same mean rate for each mode.

    Each call is of a random kind.
    """

    def __init__(self, running: local_fleet.LocalFleet, seed: int):
        self.random = random.Random(seed)
        instance = running.layout.instances[0]
        self.entry = ConnectionPool(instance.caller_address())
        self.servers = [
            ConnectionPool(server.address())
            for server in running.layout.servers
        ]
        self.samples: list[Sample] = []
        self.failed = 0

    def encode_request(self, kind: str) -> bytes:
        """Return an HTTP request with a service time of 5 ms."""
        if kind == 'view':
            return b'GET /view/7?ms=5 HTTP/1.1\r\nHost: shop\r\n\r\n'
        return (
            b'POST /issue?ms=5 HTTP/1.1\r\nHost: shop\r\n'
            b'Content-Length: 2\r\n\r\n{}'
        )

    async def make_call(self, mode: str, kind: str, *, keep: bool) -> None:
        """Make one call; record its time only if ``keep`` is set."""
        target = self.entry
        if mode == 'direct':
            target = self.random.choice(self.servers)
        start_s = time.perf_counter()
        head = await target.call(self.encode_request(kind))
        if not head.startswith(b'HTTP/1.1 200'):
            self.failed += 1
        elif keep:
            elapsed_s = time.perf_counter() - start_s
            self.samples.append(Sample(mode, kind, elapsed_s))

    async def run(self, rate: float, seconds: float) -> None:
        """Make calls at random times.

        Parameters
        ----------
        rate : float
            Mean calls per second for each mode.
        seconds : float
            Duration after the warm-up.
        """
        loop = asyncio.get_running_loop()
        tasks = set()
        start_s = loop.time()
        at_s = start_s
        while at_s < start_s + WARM_UP_S + seconds:
            at_s += self.random.expovariate(rate * len(MODES))
            await asyncio.sleep(at_s - loop.time())
            kind = 'issue' if self.random.random() < 0.3 else 'view'
            mode = self.random.choice(MODES)
            keep = at_s > start_s + WARM_UP_S
            task = loop.create_task(self.make_call(mode, kind, keep=keep))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * share))]


def entry_cpu_s(running: local_fleet.LocalFleet) -> float:
    """Return the CPU time in seconds that the entry daemon has used."""
    name = f'{running.layout.instances[0].name}/entry'
    times = psutil.Process(running.processes[name].pid).cpu_times()
    return times.user + times.system


def longest_gc_pause_ms(running: local_fleet.LocalFleet) -> float:
    """Return the longest garbage collection of the entry daemon, in ms."""
    instance = running.layout.instances[0]
    body = running.request('GET', f'http://{instance.entry_admin()}/metrics')
    found = re.search(rb'collector_longest_seconds ([0-9.e+-]+)', body.body)
    return float(found[1]) * 1000


def print_report(rate: float, load: LoadGenerator, used_cpu_s: float) -> None:
    """Print one line for each kind of call and one for the daemon.

    The CPU time per request remains comparable between versions even when
    other processes on the machine distort the latencies.
    """
    for kind in ('view', 'issue'):
        times = {
            mode: sorted(
                s.seconds * 1000
                for s in load.samples
                if s.mode == mode and s.kind == kind
            )
            for mode in MODES
        }
        cells = [f'{rate:6.0f}/s {kind:6s}']
        for share in (0.5, 0.99):
            direct = quantile(times['direct'], share)
            through = quantile(times['entry'], share)
            cells.append(
                f'p{share * 100:.0f} direct {direct:6.2f} ms '
                f'entry {through:6.2f} ms added {through - direct:5.2f} ms'
            )
        calls = sum(len(t) for t in times.values())
        print('  '.join([*cells, f'{calls} calls']), flush=True)
    per_request_ms = used_cpu_s * 1000 / max(1, load.entry.calls)
    print(
        f'{"":9s} entry daemon {per_request_ms:.2f} ms '
        f'of CPU time per request, failed {load.failed}',
        flush=True,
    )


def main() -> None:
    """Start the processes and measure them at each rate."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        '--rates', type=float, nargs='+', default=[80, 160, 320]
    )
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args()
    layout = layouts.make_layout(
        locations=(LOCATION,), instances=1, pools={'p': (SERVERS, 64)}
    )
    with tempfile.TemporaryDirectory() as directory:
        running = local_fleet.LocalFleet(
            layout=layout,
            document=DOCUMENT,
            directory=pathlib.Path(directory),
        )
        try:
            running.start()
            for rate in options.rates:
                load = LoadGenerator(running, options.seed)
                before_s = entry_cpu_s(running)
                asyncio.run(load.run(rate, options.seconds))
                print_report(rate, load, entry_cpu_s(running) - before_s)
            pause_ms = longest_gc_pause_ms(running)
            print(f'longest garbage collection {pause_ms:.2f} ms')
        finally:
            running.stop()


if __name__ == '__main__':
    main()

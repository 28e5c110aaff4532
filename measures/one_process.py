"""Measures event loop delays with and without control work on the loop."""

import argparse
import asyncio
import gc
import random
import statistics
import time

from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_document import parsing
from citronshelf_health import board
from citronshelf_health import policy

TICKS_PER_S = 80
STEP_S = 0.5
DOCUMENT_INTERVAL_S = 2.0
ROUTES_OF_ONE_MEGABYTE = 7000


def make_document(routes: int) -> bytes:
    """Return the TOML text of a document with a number of routes."""
    header = (
        'format = 1\n[pools.p]\nslots_per_server = 2\n'
        'connections_per_server = 330\nfloor_percent = 50\n'
        '[services.s]\npool = "p"\n'
        '[classes.c]\nidempotent = true\nexpected_ms = 5\n'
        'deadline_ms = 3000\n'
        '[accounts]\ndefault_requests_per_second = 50.0\n'
        'default_burst = 100\n[cross_region]\npolicy = "spare"\n'
        'link_percent = 20\nmax_body_bytes = 65536\n'
    )
    rows = [
        f'[routes.r{i}]\nmethods = ["GET"]\nprefix = "/shop-{i}/"\n'
        'service = "s"\nclass = "c"\n'
        for i in range(routes)
    ]
    return (header + ''.join(rows)).encode()


def make_board(servers: int) -> board.HealthBoard:
    """Create a health board for one pool."""
    health_board = board.HealthBoard(
        own_zone='z', clock=time.monotonic, policy=policy.HealthPolicy()
    )
    health_board.set_pools({'p': model.Pool(2, 330, 50)})
    health_board.set_servers(
        [
            fleet.BackendServer(
                f's{i}',
                'p',
                fleet.Address('127.0.0.1', 1 + i),
                fleet.Location('r', 'z'),
            )
            for i in range(servers)
        ],
        (),
    )
    return health_board


async def measure_timer_delays(seconds: float, delays_ms: list[float]) -> None:
    """Append the delays in ms of a timer that fires 80 times a second."""
    loop = asyncio.get_running_loop()
    due = loop.time()
    end = due + seconds
    while due < end:
        due += 1 / TICKS_PER_S
        await asyncio.sleep(due - loop.time())
        delays_ms.append((loop.time() - due) * 1000)


async def run_health_decisions(
    health, sources: int, rng: random.Random
) -> None:
    """Record pooled evidence and decide, as the control daemon does."""
    server_ids = list(health.pool_of)
    while True:
        for source in range(sources):
            counts = [
                fleet.OutcomeCounts(server_id, 'c', good=rng.randint(0, 3))
                for server_id in server_ids
            ]
            health.record(f'z{source % 4}', f'i{source}', counts)
        health.step(time.monotonic())
        await asyncio.sleep(STEP_S)


async def parse_documents(data: bytes) -> None:
    """Parse a document at intervals, as after a change."""
    while True:
        parsing.parse_document(data, 'document').default_value(None)
        await asyncio.sleep(DOCUMENT_INTERVAL_S)


async def measure(name: str, seconds: float, *background) -> None:
    """Print the delays of the loop while it runs background coroutines."""
    tasks = [asyncio.create_task(coroutine) for coroutine in background]
    delays_ms: list[float] = []
    await measure_timer_delays(seconds, delays_ms)
    for task in tasks:
        task.cancel()
    cuts = statistics.quantiles(delays_ms, n=100)
    print(
        f'{name:44} p50 {cuts[49]:8.3f} ms  p99 {cuts[98]:8.3f} ms  '
        f'max {max(delays_ms):8.1f} ms'
    )


async def main() -> None:
    """Measure the delays that each kind of control work adds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seconds', type=float, default=10.0)
    options = parser.parse_args()
    rng = random.Random(1)
    seconds = options.seconds
    gc.collect()
    gc.freeze()
    await measure('loop alone', seconds)
    await measure(
        'health of 33 servers, 36 sources',
        seconds,
        run_health_decisions(make_board(33), 36, rng),
    )
    for routes in (30, ROUTES_OF_ONE_MEGABYTE):
        data = make_document(routes)
        await measure(
            f'document of {len(data)} bytes, {routes} routes',
            seconds,
            parse_documents(data),
        )


if __name__ == '__main__':
    asyncio.run(main())

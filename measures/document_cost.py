"""Measures parse time, memory and route match time of documents by size.

Run with ``.venv/bin/python measures/document_cost.py``. Each size runs in a
separate process, so that memory from one does not count for the next.
"""

import argparse
import gc
import multiprocessing
import random
import time
from typing import NamedTuple
import zlib

import psutil

from citronshelf_document import model
from citronshelf_document import parsing
from citronshelf_document import rendering
from citronshelf_document import routing

# From the present size of the users' documents to that expected in two years.
ROUTE_COUNTS = (8, 540, 5_400, 54_000)
ACCOUNT_COUNT = 320_000
ROUTES_PER_SERVICE = 30
SERVICES_PER_POOL = 3
LOOKUPS = 200_000
SEED = 1
MEBIBYTE = 1024 * 1024


class Cost(NamedTuple):
    """Cost of one document.

    Attributes
    ----------
    routes, accounts : int
    document_bytes : int
    compressed_bytes : int
        Size after zlib compression at its default level.
    parse_s : float
    build_s : float
        Time to build the route table.
    retained_bytes : int
        Growth of the resident memory after garbage collection, with the
        parsed document and the route table.
    peak_bytes : int
        Largest growth of the resident memory up to the end of parsing.
    match_us : float
        Mean time to look up a request that has a route.
    miss_us : float
        Mean time to look up a request without a route.
    """

    routes: int
    accounts: int
    document_bytes: int
    compressed_bytes: int
    parse_s: float
    build_s: float
    retained_bytes: int
    peak_bytes: int
    match_us: float
    miss_us: float


def make_document(*, routes: int, accounts: int) -> model.Document:
    """Create a document with a number of routes and named accounts."""
    services = max(1, routes // ROUTES_PER_SERVICE)
    pools = max(1, services // SERVICES_PER_POOL)
    limit = model.AccountLimit(50.0, 100)
    return model.Document(
        pools={f'pool-{n}': model.Pool(2, 330, 70, 2) for n in range(pools)},
        services={
            f'service-{n}': model.Service(f'pool-{n % pools}')
            for n in range(services)
        },
        classes={
            'read': model.RequestClass(True, 20, 2000),
            'issue': model.RequestClass(False, 40, 5000, key='optional'),
        },
        routes={f'route-{n}': make_route(n, services) for n in range(routes)},
        accounts=model.Accounts(
            limit, {f'account-{n}': limit for n in range(accounts)}
        ),
        cross_region=model.CrossRegion(),
    )


def make_route(number: int, services: int) -> model.Route:
    """Create a route that matches a prefix if its number is even."""
    service = f'service-{number % services}'
    is_prefix = number % 2 == 0
    suffix = '/' if is_prefix else ''
    return model.Route(
        methods=('GET',) if is_prefix else ('POST',),
        path=f'/{service}/jobs/item-{number}{suffix}',
        is_prefix=is_prefix,
        host='fleet.example' if number % 3 else '',
        service=service,
        request_class='read' if is_prefix else 'issue',
    )


def make_requests(document: model.Document) -> list[tuple[str, str]]:
    """Return methods and paths of requests that match random routes."""
    rng = random.Random(SEED)
    routes = list(document.routes.values())
    chosen = rng.choices(routes, k=LOOKUPS)
    return [
        (route.methods[0], route.path + ('1/2' if route.is_prefix else ''))
        for route in chosen
    ]


def measure_matches(table: routing.RouteTable, requests) -> float:
    """Return the mean time of one lookup, in microseconds."""
    start_s = time.perf_counter()
    for method, path in requests:
        table.match(method, 'fleet.example', path)
    return (time.perf_counter() - start_s) * 1e6 / len(requests)


def measure_cost(routes: int, accounts: int, queue) -> None:
    """Measure one size in this process and put the ``Cost`` in a queue."""
    text = rendering.render_document(
        make_document(routes=routes, accounts=accounts)
    )
    data = text.encode()
    del text
    gc.collect()
    process = psutil.Process()
    rss_before = process.memory_info().rss
    start_s = time.perf_counter()
    document = parsing.parse_document(data, 'measure', max_bytes=len(data)).ok
    parse_s = time.perf_counter() - start_s
    rss_peak = peak_rss_bytes()
    start_s = time.perf_counter()
    table = routing.RouteTable(document=document)
    build_s = time.perf_counter() - start_s
    gc.collect()
    rss_after = process.memory_info().rss
    requests = make_requests(document)
    match_us = measure_matches(table, requests)
    misses = [(method, f'/none{path}') for method, path in requests]
    miss_us = measure_matches(table, misses)
    queue.put(
        Cost(
            routes=routes,
            accounts=accounts,
            document_bytes=len(data),
            compressed_bytes=len(zlib.compress(data)),
            parse_s=parse_s,
            build_s=build_s,
            retained_bytes=rss_after - rss_before,
            peak_bytes=rss_peak - rss_before,
            match_us=match_us,
            miss_us=miss_us,
        )
    )


def peak_rss_bytes() -> int:
    """Return the peak resident size of this process, in bytes.

    Returns 0 if the kernel does not report it.
    """
    with open('/proc/self/status', encoding='ascii') as status:
        for line in status:
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
    return 0


def measure_in_child(routes: int, accounts: int) -> Cost:
    """Measure one size in a child process, started with ``spawn``."""
    context = multiprocessing.get_context('spawn')
    queue = context.Queue()
    child = context.Process(
        target=measure_cost, args=(routes, accounts, queue)
    )
    child.start()
    cost = queue.get()
    child.join()
    return cost


def print_cost(cost: Cost) -> None:
    """Print the cost of one document as a table row."""
    print(
        f'| {cost.routes} | {cost.accounts} | {cost.document_bytes} '
        f'| {cost.compressed_bytes} | {cost.parse_s:.3f} '
        f'| {cost.build_s:.3f} | {cost.peak_bytes / MEBIBYTE:.1f} '
        f'| {cost.retained_bytes / MEBIBYTE:.1f} | {cost.match_us:.2f} '
        f'| {cost.miss_us:.2f} |',
        flush=True,
    )


def main() -> None:
    """Measure all sizes and print a table."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print(
        '| routes | accounts | bytes | compressed | parse s | table s '
        '| peak MiB | kept MiB | match us | miss us |'
    )
    print('| --- ' * 10 + '|')
    for routes in ROUTE_COUNTS:
        print_cost(measure_in_child(routes, 0))
    print_cost(measure_in_child(ROUTE_COUNTS[1], ACCOUNT_COUNT))


if __name__ == '__main__':
    main()

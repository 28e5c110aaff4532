"""Cost of the instance daemon's steps: belief, choice, routes, messages."""

import logging
import random
import time
import tracemalloc

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import peer_messages
from citronshelf_instance import placement
from citronshelf_instance import registrations
from citronshelf_instance import routing

REPEATS = 2000
SERVERS = (8, 30, 120)
ROUTES = (540, 5400, 54000)
ROWS = 10


def entry(number: int) -> configuration.Registration:
    """Return the registration of one server."""
    return configuration.Registration(
        server_id=f'server-{number}',
        service='service',
        address=fleet.Address('10.0.0.1', number),
        zone='zone',
        slots=2,
        draining=False,
        warmup_s=0.0,
        started_ms=0,
    )


def route(number: int) -> configuration.Route:
    """Return one route."""
    return configuration.Route(
        name=f'route-{number}',
        host=f'host-{number % 100}.example',
        prefix=f'/part-{number}/',
        parts=(configuration.WeightedService('service', 1.0),),
        idempotent=True,
        max_servers=2,
        timeout_s=1.5,
        target_s=0.6,
        priority=1,
    )


def timed_us(step) -> float:
    """Return the mean time of one call in microseconds."""
    began_s = time.process_time()
    for _ in range(REPEATS):
        step()
    return (time.process_time() - began_s) / REPEATS * 1e6


def measure_servers(count: int) -> dict:
    """Return the cost of choice and belief before a number of servers."""
    clock = time.monotonic
    tracemalloc.start()
    directory = registrations.Directory(clock=clock)
    listed = tuple(entry(number) for number in range(count))
    directory.replace(configuration.Snapshot(1, None, listed))
    held = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    placer = placement.Placer(
        directory=directory,
        place=fleet.Place('region', 'zone'),
        regions={'zone': 'region'},
        distances=placement.Distances(0.004, 0.02, 0.04),
        clock=clock,
        rng=random.Random(1),
    )
    made = route(1)
    seen = evidence.Observation('server-1', evidence.Sign.GOOD, 1.0)
    return {
        'servers': count,
        'choice us': round(
            timed_us(lambda: placer.choose(made, 'service', 'r', 0, ())), 1
        ),
        'belief us': round(
            timed_us(lambda: directory.record(seen, 'instance')), 1
        ),
        'bytes a server': held // count,
    }


def measure_routes(count: int) -> dict:
    """Return the cost of a table of routes."""
    published = configuration.Configuration(
        revision=1,
        version=1,
        routes=tuple(route(number) for number in range(count)),
        services=('service',),
        limits=configuration.CallerLimits(),
    )
    began_s = time.process_time()
    table = routing.RouteTable(published=published, rng=random.Random(1))
    built_s = time.process_time() - began_s
    return {
        'routes': count,
        'table ms': round(built_s * 1000, 1),
        'match us': round(
            timed_us(lambda: table.find('host-7.example', '/part-7/a/b')), 1
        ),
    }


def measure_message() -> dict:
    """Return size and cost of a message of evidence."""
    own = peer_messages.Member(
        'instance-1',
        '0123456789abcdef',
        fleet.Address('10.0.0.1', 8000),
        fleet.Place('region', 'zone'),
        0.0,
    )
    rows = tuple(
        evidence.Observation(f'server-{n}', evidence.Sign.GOOD, 1.0)
        for n in range(ROWS)
    )
    message = peer_messages.Evidence(own, 1000, rows)
    data = peer_messages.CODEC.encode(message)
    return {
        'rows': ROWS,
        'bytes': len(data),
        'encode us': round(
            timed_us(lambda: peer_messages.CODEC.encode(message)), 1
        ),
        'decode us': round(
            timed_us(lambda: peer_messages.CODEC.decode(data)), 1
        ),
    }


def main() -> None:
    """Print one line for each measurement."""
    logging.getLogger().setLevel(logging.CRITICAL)
    for count in SERVERS:
        print(measure_servers(count))
    for count in ROUTES:
        print(measure_routes(count))
    print(measure_message())


if __name__ == '__main__':
    main()

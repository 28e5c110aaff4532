"""Measures the CPU time and size of operations of the instance daemon.

Covers server choice, health estimates, route matching, peer messages and
logging.
"""

import logging
import os
import random
import time
import tracemalloc

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import events
from citronshelf_instance import evidence
from citronshelf_instance import peer_messages
from citronshelf_instance import placement
from citronshelf_instance import registrations
from citronshelf_instance import routing

LOG = logging.getLogger(__name__)
REPEATS = 2000
SERVERS = (8, 30, 120)
ROUTES = (540, 5400, 54000)
ROWS = (10, 80)


def make_registration(number: int) -> configuration.Registration:
    """Create the registration of one server."""
    return configuration.Registration(
        server_id=f'server-{number}',
        service='service',
        address=fleet.Address('10.0.0.1', number),
        zone='zone',
        slots=2,
        draining=False,
        warm_up_s=0.0,
        started_ms=0,
    )


def make_route(number: int) -> configuration.Route:
    """Create a route with a host and path prefix of its number."""
    return configuration.Route(
        name=f'route-{number}',
        host=f'host-{number % 100}.example',
        prefix=f'/part-{number}/',
        weighted_services=(configuration.WeightedService('service', 1.0),),
        idempotent=True,
        max_servers=2,
        timeout_s=1.5,
        target_latency_s=0.6,
        priority=1,
    )


def mean_cpu_us(action) -> float:
    """Return the mean CPU time of one call in microseconds."""
    start_s = time.process_time()
    for _ in range(REPEATS):
        action()
    return (time.process_time() - start_s) / REPEATS * 1e6


def measure_servers(count: int) -> dict:
    """Return the cost of a choice, an observation and a directory entry.

    The key ``record us`` is the time to update the health estimates of a
    server with one observation.
    """
    clock = time.monotonic
    tracemalloc.start()
    directory = registrations.Directory(clock=clock)
    listed = tuple(make_registration(number) for number in range(count))
    directory.replace(configuration.Snapshot(1, None, listed))
    retained_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    placer = placement.Placer(
        directory=directory,
        location=fleet.Location('region', 'zone'),
        regions={'zone': 'region'},
        distances=placement.DistanceCosts(0.004, 0.02, 0.04),
        clock=clock,
        rng=random.Random(1),
    )
    route = make_route(1)
    observation = evidence.Observation(
        'server-1', evidence.HealthSignal.GOOD, 1.0
    )
    return {
        'servers': count,
        'choice us': round(
            mean_cpu_us(lambda: placer.choose(route, 'service', 'r', 0, ())), 1
        ),
        'record us': round(
            mean_cpu_us(lambda: directory.record(observation, 'instance')), 1
        ),
        'bytes per server': retained_bytes // count,
    }


def measure_routes(count: int) -> dict:
    """Return the time to build a route table and to match a request."""
    published = configuration.Configuration(
        revision=1,
        version=1,
        routes=tuple(make_route(number) for number in range(count)),
        services=('service',),
        limits=configuration.CallerLimits(),
    )
    start_s = time.process_time()
    table = routing.RouteTable(published=published, rng=random.Random(1))
    build_s = time.process_time() - start_s
    return {
        'routes': count,
        'table ms': round(build_s * 1000, 1),
        'match us': round(
            mean_cpu_us(lambda: table.match('host-7.example', '/part-7/a/b')),
            1,
        ),
    }


def measure_message(count: int) -> dict:
    """Return the size of an evidence message and the time to code it."""
    own = peer_messages.Member(
        'instance-1',
        '0123456789abcdef',
        fleet.Address('10.0.0.1', 8000),
        fleet.Location('region', 'zone'),
        0.0,
    )
    observations = tuple(
        evidence.Observation(f'server-{n}', evidence.HealthSignal.GOOD, 1.0)
        for n in range(count)
    )
    message = peer_messages.Evidence(own, 1000, observations)
    data = peer_messages.CODEC.encode(message)
    return {
        'rows': count,
        'bytes': len(data),
        'encode us': round(
            mean_cpu_us(lambda: peer_messages.CODEC.encode(message)), 1
        ),
        'decode us': round(
            mean_cpu_us(lambda: peer_messages.CODEC.decode(data)), 1
        ),
    }


def measure_log() -> dict:
    """Return the time to log one server choice."""
    with open(os.devnull, 'w', encoding='utf-8') as devnull:
        log_events.configure_logging(stream=devnull)
        return {
            'log line us': round(
                mean_cpu_us(
                    lambda: log_events.log_event(
                        LOG,
                        events.SERVER_CHOSEN,
                        request_id='0123456789abcdef',
                        service='service',
                        server='server-1',
                        candidates=8,
                        loss=0.1,
                        failing=0.2,
                        slowness=1.0,
                    )
                ),
                1,
            )
        }


def main() -> None:
    """Run all measurements and print one line for each."""
    print(measure_log())
    logging.getLogger().setLevel(logging.CRITICAL)
    for count in SERVERS:
        print(measure_servers(count))
    for count in ROUTES:
        print(measure_routes(count))
    for count in ROWS:
        print(measure_message(count))


if __name__ == '__main__':
    main()

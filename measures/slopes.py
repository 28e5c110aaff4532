"""Measures the cost per server, instance-list row, instance, key and account.

Run with ``.venv/bin/python measures/slopes.py``; everything runs in one
process. Each line gives the cost at a small and a large size and the slope
between them; ``docs/CAPACITY.md`` multiplies the slopes.
"""

import argparse
import asyncio
import gc
import random
import time
import tracemalloc

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import local_link
from citronshelf_control import fleet_list
from citronshelf_document import model
from citronshelf_entry import key_table
from citronshelf_entry import keys
from citronshelf_health import board
from citronshelf_health import policy
from citronshelf_peering import roster
from citronshelf_standins import layout
from citronshelf_traffic import accounts
from citronshelf_traffic import choosing
from citronshelf_traffic import region_link
from citronshelf_traffic import work

POOL = model.Pool(2, 330, 50)
LOCATIONS = tuple(
    fleet.Location(f'region-{r}', f'zone-{r}-{z}')
    for r in range(3)
    for z in range(3)
)
SERVERS_PER_POOL = 30
SOURCES = 9
REPEATS = 20


def median_us(action, repeats: int = REPEATS) -> float:
    """Return the median wall-clock time of an action in microseconds."""
    times = []
    for _ in range(repeats):
        start_s = time.perf_counter()
        action()
        times.append((time.perf_counter() - start_s) * 1e6)
    return sorted(times)[len(times) // 2]


def measure_retained(make) -> tuple[object, int]:
    """Call a function; return its result and the bytes that it retains."""
    gc.collect()
    tracemalloc.start()
    result = make()
    gc.collect()
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return result, size


def print_slope(label: str, unit: str, sizes, values) -> None:
    """Print two sizes, their values and the slope between them."""
    slope = (values[1] - values[0]) / (sizes[1] - sizes[0])
    print(
        f'{label:46} {sizes[0]:>7} -> {values[0]:>12,.1f}   '
        f'{sizes[1]:>7} -> {values[1]:>13,.1f}   {slope:>10,.3f} {unit}'
    )


def make_servers(count: int) -> list[fleet.BackendServer]:
    """Create servers spread over all zones, 30 in each pool."""
    return [
        fleet.BackendServer(
            f'server-{i}',
            f'pool-{i // SERVERS_PER_POOL}',
            fleet.Address(f'10.0.{i // 250}.{i % 250}', 9000),
            LOCATIONS[i % len(LOCATIONS)],
        )
        for i in range(count)
    ]


def pools_of(servers) -> dict[str, model.Pool]:
    """Return the pools of servers by name."""
    return {server.pool: POOL for server in servers}


def make_board(servers) -> board.HealthBoard:
    """Create a health board with a list of servers."""
    health_board = board.HealthBoard(
        own_zone=LOCATIONS[0].zone,
        clock=lambda: 0.0,
        policy=policy.HealthPolicy(),
    )
    health_board.set_pools(pools_of(servers))
    health_board.set_servers(servers, ())
    return health_board


class BoardLoad:
    """Loads a health board with evidence from nine zones.

    Evidence comes from one source per zone, the parent of that zone.
    """

    def __init__(self, servers):
        self.board = make_board(servers)
        self.now = 0.0
        rng = random.Random(1)
        self.counts = [
            fleet.OutcomeCounts(s.server_id, 'c', good=rng.randint(1, 20))
            for s in servers
        ]

    def record(self) -> None:
        """Record the evidence of one second."""
        for source in range(SOURCES):
            zone = LOCATIONS[source].zone
            self.board.record(zone, f'parent-{source}', self.counts)

    def decide(self) -> None:
        """Record the evidence of one second and run the decision."""
        self.record()
        self.now += 1.0
        self.board.step(self.now)


def measure_servers(sizes) -> None:
    """Measure the cost of a server in the health board and in the view."""
    memory, record_us, step_us, view_bytes, encode_us = [], [], [], [], []
    for size in sizes:
        servers = make_servers(size)
        board_load, retained_bytes = measure_retained(
            lambda: BoardLoad(servers)
        )
        memory.append(retained_bytes)
        record_us.append(median_us(board_load.record))
        step_us.append(median_us(board_load.decide))
        update = local_link.ViewUpdate(
            identity.new_incarnation(instance='i'),
            1,
            fleet.FleetView(1, board_load.board.standings(), 36),
        )
        view_bytes.append(len(local_link.CODEC.encode(update)))
        encode_us.append(median_us(lambda: local_link.CODEC.encode(update)))
    print_slope('health board, memory per server', 'B', sizes, memory)
    print_slope('evidence of 9 zones, time per server', 'us', sizes, record_us)
    print_slope('evidence and decision, time per server', 'us', sizes, step_us)
    print_slope(
        'view for the entry daemon, per server', 'B', sizes, view_bytes
    )
    print_slope('encoding the view, per server', 'us', sizes, encode_us)


def measure_choice(sizes) -> None:
    """Measure the time and memory of a server choice per server."""
    choice_us, memory = [], []
    for size in sizes:
        servers = [s._replace(pool='p') for s in make_servers(size)]
        views = tuple(
            fleet.ServerView(s, fleet.Standing.ADMITTED, 1.0) for s in servers
        )
        chooser, retained_bytes = measure_retained(
            lambda views=views: make_chooser(views)
        )
        memory.append(retained_bytes)
        request = work.describe_work(
            request_id='r',
            service_name='s',
            service=model.Service('p'),
            class_name='c',
            request_class=model.RequestClass(True, 5, 3000),
            now=time.monotonic(),
        )
        choice_us.append(median_us(lambda: chooser.choose(request), 200))
    print_slope(
        'server choice, time per server of the pool', 'us', sizes, choice_us
    )
    print_slope('server choice, memory per server', 'B', sizes, memory)


def make_chooser(views) -> choosing.ServerChooser:
    """Create a server chooser with a view."""
    link = region_link.RegionLink(
        megabits=30.0,
        cross_region=model.CrossRegion(),
        clock=time.monotonic,
    )
    chooser = choosing.ServerChooser(
        instance='i',
        location=LOCATIONS[0],
        store_region=LOCATIONS[0].region,
        link=link,
        rng=random.Random(1),
    )
    chooser.set_pools({'p': POOL})
    chooser.set_view(fleet.FleetView(1, views, 36))
    return chooser


def measure_keys(sizes) -> None:
    """Measure the memory of a live key and the time to sign and check one."""
    memory = []
    for size in sizes:
        table = key_table.KeyTable(clock=time.monotonic)

        def issue(table=table, size=size):
            for _ in range(size):
                table.issue()

        memory.append(measure_retained(issue)[1])
    print_slope('idempotency key, memory per live key', 'B', sizes, memory)
    signer = keys.KeySigner(secret=b'x' * 32)
    incarnation = identity.new_incarnation(instance='i')
    key = keys.Key(incarnation, fleet.Address('10.0.0.1', 1), 1, 1)
    text = signer.write(key)
    print(
        f'{"signing a key":46} {median_us(lambda: signer.write(key)):.1f} us'
    )
    print(
        f'{"checking a key":46} {median_us(lambda: signer.read(text)):.1f} us'
    )


def measure_accounts(sizes) -> None:
    """Measure the memory of a client account that has sent a request."""
    memory = []
    for size in sizes:
        limits = model.Accounts(model.AccountLimit(50.0, 100), {})
        limiter = accounts.AccountLimiter(accounts=limits)

        def admit(limiter=limiter, size=size):
            for i in range(size):
                limiter.admit(f'account-{i}')

        memory.append(measure_retained(admit)[1])
    print_slope('account limit, memory per seen account', 'B', sizes, memory)


def measure_list(sizes) -> None:
    """Measure the cost of a row of the instance list."""
    row_bytes, parse_us, memory, plan_us = [], [], [], []
    for size in sizes:
        fleet_layout = layout.make_layout(
            locations=LOCATIONS,
            instances=size // 2,
            pools={'p': (size // 2, 2)},
        )
        data = layout.instance_list(fleet_layout, {}, {})
        row_bytes.append(len(data))
        parse_us.append(median_us(lambda: fleet_list.parse_list(data), 5))
        parsed, retained_bytes = measure_retained(
            lambda: fleet_list.parse_list(data).ok
        )
        memory.append(retained_bytes)
        entries = parsed.entries
        plan_us.append(median_us(lambda: make_plan(entries), 5))
    print_slope('instance list, bytes per row', 'B', sizes, row_bytes)
    print_slope('parsing the list, per row', 'us', sizes, parse_us)
    print_slope('instance list, memory per row', 'B', sizes, memory)
    halves = tuple(size // 2 for size in sizes)
    print_slope('roles after a change, per instance', 'us', halves, plan_us)


def make_plan(entries):
    """Compute the cells and the role of one instance, with all links up."""
    own_roster = roster.Roster(own=entries[0], entries=entries)
    up = roster.LinkState.UP
    return roster.make_plan(own_roster, lambda name: up, False)


async def main() -> None:
    """Measure every slope."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    measure_servers((330, 3300))
    measure_choice((8, 80))
    measure_keys((1000, 10_000))
    measure_accounts((1000, 10_000))
    measure_list((600, 6000))


if __name__ == '__main__':
    asyncio.run(main())

"""Measures response times with second attempts of slow requests.

Usage: python measures/tail_latency.py [--requests N] [--seed SEED]
[--processes N] [--only WORD]

Simulated instances run the real forwarder, server choice, health estimates,
retry budgets and decisions about second attempts on a virtual clock. Only the
servers and the network are modelled. Some executions take far longer than the
others. Runs are deterministic. Prints a Markdown table; without
``--only``, all variants.
"""

import argparse
import asyncio
import bisect
import collections
import concurrent.futures
import dataclasses
import functools
import logging
import math
import random

from citronshelf_common import fleet
from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_instance import caller_request
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import forwarding
from citronshelf_instance import hedging
from citronshelf_instance import metrics
from citronshelf_instance import placement
from citronshelf_instance import registrations
from citronshelf_instance import retry_budget
from citronshelf_instance import routing
from citronshelf_traffic import virtual_loop

# An eighth of the deployment without accounts, in one region: 0.26 of the
# slots are busy on average.
INSTANCES = 16
SERVERS = 16
SLOTS = 6
QUEUE = 24
RATE_PER_S = 52.0
RATE_SWING = 0.55
RATE_PERIOD_S = 15.0
WORK_S = (0.3, 0.5)
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
TARGET_S = 1.3
TIMEOUT_S = 8.0
ZONES = ('z1', 'z2')
HOP_S = {True: 0.0005, False: 0.0039}
RETRIES = retry_budget.BudgetSettings(0.2, 10.0)
# Not counted: estimates and credits are still being learnt.
WARM_UP_REQUESTS = 3000
ROUTE = configuration.Route(
    name='route',
    host='host.example',
    prefix='/',
    weighted_services=(configuration.WeightedService('service', 1.0),),
    idempotent=True,
    max_servers=2,
    timeout_s=TIMEOUT_S,
    target_latency_s=TARGET_S,
    priority=1,
)
ROUTED = routing.RoutedService(ROUTE, 'service')
NEVER_S = 1e6


@functools.cache
def work_seconds(seed: int, number: int, attempt: int) -> float:
    """Return the processing time of one attempt of a request."""
    rng = random.Random(f'{seed} {number} {attempt}')
    work_s = rng.uniform(*WORK_S)
    return work_s * (LONG_FACTOR if rng.random() < LONG_SHARE else 1.0)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Variant:
    """One row of the table.

    Attributes
    ----------
    name : str
    table : dict or None
        Settings for second attempts.
    policy : type
        Class that decides, derived from ``Hedger``.
    cancels : bool
        Servers stop the work of a cancelled attempt.
    long_again : bool
        A request that is long at one server is long at each.
    rate : float
        Requests per second.
    """

    name: str
    table: dict | None
    policy: type = hedging.Hedger
    cancels: bool = True
    long_again: bool = False
    rate: float = RATE_PER_S


class FullKnowledge(hedging.Hedger):
    """Starts second attempts of the longest requests with the first ones.

    It knows the processing times of all first attempts, and spends exactly
    the limit, whichever instance gets the requests.
    """

    is_chosen = False

    def delay_s(self, rule, route):
        return 0.0 if self.is_chosen else NEVER_S

    def has_credit(self, rule, route, service):
        return True

    def spend(self, rule, route, service):
        pass


class RemainingTime(hedging.Hedger):
    """Starts once the expected remaining time exceeds that of a new attempt.

    The time is recomputed from the last 400 response times of the instance.
    """

    SAMPLES = 400
    INTERVAL = 50

    def __init__(self, **options):
        super().__init__(**options)
        self.samples = collections.deque(maxlen=self.SAMPLES)
        self.count = 0
        self.start_s = None

    def record_time(self, route, seconds, *, is_lower_bound=False):
        super().record_time(route, seconds, is_lower_bound=is_lower_bound)
        self.samples.append(seconds)
        self.count += 1
        if self.count % self.INTERVAL == 0:
            self.start_s = remaining_exceeds(sorted(self.samples))

    def delay_s(self, rule, route):
        return self.start_s


def remaining_exceeds(times_s: list[float]) -> float:
    """Return the time at which the mean remaining time exceeds the mean."""
    mean_s = sum(times_s) / len(times_s)
    for time_s in times_s:
        rest = times_s[bisect.bisect_right(times_s, time_s) :]
        if rest and sum(rest) / len(rest) - time_s > mean_s:
            return time_s
    return NEVER_S


class AtQuantile(hedging.Hedger):
    """Starts exactly at the quantile, whatever is left to save."""

    def delay_s(self, rule, route):
        times = self.times.get(route)
        if times is None or not times.is_known():
            return None
        return times.merged().get_quantile_value(rule.quantile)


class OtherZone(hedging.Hedger):
    """Sends second attempts only to another zone than the first one."""

    def find_doubtful(self, first, servers):
        zone = first.registration.zone
        same = {s.server_id for s in servers if s.registration.zone == zone}
        return super().find_doubtful(first, servers) | same


class Server:
    """Server with slots and a bounded queue; it sheds when both are full."""

    def __init__(self, model, zone):
        self.model = model
        self.zone = zone
        self.busy = 0
        self.queue = collections.deque()
        self.busy_s = 0.0

    async def run(self, work_s) -> bool:
        """Execute one request; return False if it is shed."""
        if self.busy >= SLOTS:
            if len(self.queue) >= QUEUE:
                return False
            granted = asyncio.get_running_loop().create_future()
            self.queue.append(granted)
            try:
                await granted
            except asyncio.CancelledError:
                if granted.cancelled():
                    self.queue.remove(granted)
                else:
                    self.free()
                raise
        else:
            self.busy += 1
        begun_s = self.model.clock()
        try:
            await asyncio.sleep(work_s)
        finally:
            self.busy_s += self.model.clock() - begun_s
            self.free()
        return True

    def free(self):
        """Pass the slot on to the next request that waits."""
        if self.queue:
            self.queue.popleft().set_result(None)
        else:
            self.busy -= 1


class ModelExchange:
    """Exchange of one attempt with a modelled server."""

    def __init__(self, client, request, server, may_send):
        self.client = client
        self.number = int(request.request_id)
        self.server = server
        self.sends = int(may_send())
        self.attempt = client.model.attempts[self.number]
        client.model.attempts[self.number] += 1
        self.work: asyncio.Task | None = None

    async def wait_head(self):
        model = self.client.model
        hop_s = HOP_S[self.server.zone == self.client.zone]
        await asyncio.sleep(hop_s)
        attempt = 0 if model.variant.long_again else self.attempt
        work_s = work_seconds(model.seed, self.number, attempt)
        self.work = asyncio.create_task(self.server.run(work_s))
        done = await asyncio.shield(self.work)
        await asyncio.sleep(hop_s)
        fields = (('X-Signature', 's'),)
        if not done:
            fields += (('X-Not-Run', '1'),)
        return exchange.ResponseHead(
            status=200 if done else 503,
            headers=fields,
            framing=headers.Framing(0, False),
        )

    async def read_whole(self):
        return b''

    def cancel(self):
        if self.work is not None and self.client.model.variant.cancels:
            self.work.cancel()

    def release_memory(self):
        pass


class ModelClient:
    """HTTP client of one instance, without a network."""

    def __init__(self, model, zone):
        self.model = model
        self.zone = zone

    def start(self, request):
        server_id = dict(request.own_headers)['X-Expected-Server']
        server = self.model.servers[int(server_id)]
        return ModelExchange(self, request, server, request.may_send)


class Model:
    """Instances and servers of one region in virtual time.

    Attributes
    ----------
    attempts : Counter
        Attempts by number of the request.
    times_s : dict of int to float
        Response times by number of the request.
    """

    def __init__(self, variant: Variant, requests: int, seed: int):
        self.variant = variant
        self.requests = requests
        self.seed = seed
        self.clock = asyncio.get_running_loop().time
        self.rng = random.Random(seed)
        self.servers = [Server(self, ZONES[n % 2]) for n in range(SERVERS)]
        self.attempts = collections.Counter()
        self.times_s = {}
        self.unserved = 0
        self.directories = []
        self.forwarders = [self.make_forwarder(n) for n in range(INSTANCES)]
        self.chosen = set()
        if variant.policy is FullKnowledge:
            ranked = sorted(
                range(requests), key=lambda n: -work_seconds(seed, n, 0)
            )
            self.chosen = set(ranked[: int(variant.table['limit'] * requests)])

    def make_forwarder(self, number):
        """Return the real forwarder of one instance."""
        zone = ZONES[number % 2]
        rng = random.Random(f'{self.seed} {number}')
        directory = registrations.Directory(clock=self.clock)
        entries = tuple(
            configuration.Registration(
                server_id=str(n),
                service='service',
                address=fleet.Address('127.0.0.1', 1),
                zone=server.zone,
                slots=SLOTS,
                draining=False,
                warm_up_s=0.0,
                started_ms=0,
            )
            for n, server in enumerate(self.servers)
        )
        directory.replace(configuration.Snapshot(1, None, entries))
        self.directories.append(directory)
        return forwarding.Forwarder(
            placer=placement.Placer(
                directory=directory,
                location=fleet.Location('r1', zone),
                regions=dict.fromkeys(ZONES, 'r1'),
                distances=placement.DistanceCosts(0.004, 0.02, 0.04),
                clock=self.clock,
                rng=rng,
            ),
            client=ModelClient(self, zone),
            names=caller_request.HeaderNames(),
            budgets=retry_budget.RetryBudgets(
                settings=RETRIES, clock=self.clock, rng=rng
            ),
            borrow=functools.partial(self.borrow, number),
            observe=self.observe,
            metrics=metrics.InstanceMetrics(),
            clock=self.clock,
            hedger=self.variant.policy(
                table=self.variant.table, clock=self.clock, rng=rng
            ),
        )

    async def borrow(self, number, service):
        """Let an instance borrow a retry credit of another one."""
        await asyncio.sleep(0.002)
        budget = self.forwarders[number].budgets.get(service)
        for lender in self.rng.sample(self.forwarders, INSTANCES):
            valid_s = lender.budgets.get(service).pop_credit()
            if valid_s is not None:
                budget.add_credit(self.clock() + valid_s)
                return

    def observe(self, observation: evidence.Observation):
        """Let all instances learn of an observation at once."""
        for directory in self.directories:
            directory.record(observation, '')

    async def run(self):
        """Send all requests and wait for their ends."""
        running = set()
        for number in range(self.requests):
            phase = 2 * math.pi * self.clock() / RATE_PERIOD_S
            rate = self.variant.rate * (1 + RATE_SWING * math.sin(phase))
            await asyncio.sleep(self.rng.expovariate(rate))
            task = asyncio.create_task(self.request(number))
            running.add(task)
            task.add_done_callback(running.discard)
        await asyncio.gather(*running)

    async def request(self, number):
        """Send one request through a random instance."""
        forwarder = self.rng.choice(self.forwarders)
        begun_s = self.clock()
        head = caller_request.RequestHead(
            method='GET',
            target='/',
            host='host.example',
            headers=(),
            framing=headers.Framing(0, False),
            request_id=str(number),
            deadline_s=TIMEOUT_S,
            keep_alive=True,
            expects_continue=False,
        )
        request = caller_request.CallerRequest(head, b'', begun_s)
        # Read before the first wait, when the attempt is planned.
        forwarder.hedger.is_chosen = number in self.chosen
        outcome = await forwarder.run(request, ROUTED)
        if getattr(outcome, 'status', 0) != 200:
            self.unserved += 1
        self.times_s[number] = self.clock() - begun_s


def percentile(times_s: list[float], share: float) -> float:
    """Return a percentile of sorted times."""
    return times_s[min(len(times_s) - 1, int(share * len(times_s)))]


def measure(variant: Variant, requests: int, seed: int) -> dict[str, float]:
    """Run one variant; return the figures of its row."""
    logging.disable(logging.CRITICAL)

    async def run():
        model = Model(variant, requests, seed)
        await model.run()
        return model

    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        model = runner.run(run())
    counted = range(WARM_UP_REQUESTS, requests)
    times_s = sorted(model.times_s[n] for n in counted)
    figures = {
        f'p{100 * share:g}': 1000 * percentile(times_s, share)
        for share in (0.5, 0.95, 0.99, 0.999)
    }
    seconds = sum(model.attempts[n] > 1 for n in counted)
    figures['second'] = 100 * seconds / len(counted)
    busy_s = sum(server.busy_s for server in model.servers)
    figures['work'] = 1000 * busy_s / requests
    figures['unserved'] = model.unserved
    return figures


def make_variants() -> list[Variant]:
    """Return the rows of the table."""
    off = {'limit': 0.0}
    rows = [
        Variant(name='off', table=off),
        Variant(name='without the table (as before)', table=None),
    ]
    for limit in (0.01, 0.02, 0.05):
        text = f'{100 * limit:g}%'
        table = {'limit': limit}
        rows += [
            Variant(
                name=f'quantile 0.95, {text}',
                table=table | {'quantile': 0.95},
            ),
            Variant(
                name=f'exactly at the quantile, {text}',
                table=table | {'quantile': 0.95},
                policy=AtQuantile,
            ),
            Variant(
                name=f'full knowledge, {text}',
                table=table,
                policy=FullKnowledge,
            ),
        ]
    two, five = {'limit': 0.02}, {'limit': 0.05}
    usual = five | {'quantile': 0.95}
    return [
        *rows,
        Variant(name='fixed 0.6 s, 2%', table=two | {'after_s': 0.6}),
        Variant(name='fixed 0.6 s, 5%', table=five | {'after_s': 0.6}),
        Variant(name='fixed 1.3 s, 5%', table=five | {'after_s': 1.3}),
        Variant(name='quantile 0.97, 5%', table=five | {'quantile': 0.97}),
        Variant(name='remaining time, 5%', table=five, policy=RemainingTime),
        Variant(name='other zone, 5%', table=usual, policy=OtherZone),
        Variant(name='loser runs on, 5%', table=usual, cancels=False),
        Variant(name='long at each server, 5%', table=usual, long_again=True),
        Variant(
            name='off, 3.5 times the rate', table=off, rate=3.5 * RATE_PER_S
        ),
        Variant(
            name='quantile 0.95, 5%, 3.5 times the rate',
            table=usual,
            rate=3.5 * RATE_PER_S,
        ),
    ]


def main():
    parser = argparse.ArgumentParser(description=__doc__.partition('\n')[0])
    parser.add_argument('--requests', type=int, default=30_000)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--processes', type=int, default=2)
    parser.add_argument('--only', default='')
    options = parser.parse_args()
    if options.requests <= WARM_UP_REQUESTS:
        parser.error(f'more than {WARM_UP_REQUESTS} requests are needed')
    variants = [v for v in make_variants() if options.only in v.name]
    print(
        '| second attempts | p50 | p95 | p99 | p99.9 | given |'
        ' work each | not served |'
    )
    print('| --- | --- | --- | --- | --- | --- | --- | --- |')
    with concurrent.futures.ProcessPoolExecutor(options.processes) as pool:
        run = functools.partial(
            measure, requests=options.requests, seed=options.seed
        )
        for variant, row in zip(
            variants, pool.map(run, variants), strict=True
        ):
            times = ' | '.join(
                f'{row[key]:,.0f} ms' for key in ('p50', 'p95', 'p99', 'p99.9')
            )
            print(
                f'| {variant.name} | {times} | {row["second"]:.2f}% |'
                f' {row["work"]:.0f} ms | {row["unserved"]} |',
                flush=True,
            )


if __name__ == '__main__':
    main()

"""Measures the worth earned at and above capacity, relative to a bound.

Usage: python measures/crest.py [seconds] [seed]

Simulates 36 entry instances and 16 servers with 3 slots each. A response
within its deadline earns the worth of its request. The bound is reached when
every slot is always busy and, in each second, executes the offered work with
the most worth per slot time. Prints the baselines and the current policy from
the same run.
"""

import asyncio
from concurrent import futures
import random
import sys

from citronshelf_traffic import selection
from citronshelf_traffic import work as work_module

import slots_model

INSTANCES = 36
SERVERS = 16
SLOTS = 3
QUEUE = 4
BIN_S = 1.0
# Seconds, from the last arrival on, in which offered work may be executed;
# covers the longest deadline.
CARRY_OVER_BINS = 6
WORKERS = 4
STRAGGLER_SHARE = 0.01
STRAGGLER_FACTOR = 20
# Name, share of requests, expected ms, deadline ms, worth, body bytes.
CLASSES = (
    ('deposit', 0.15, 60, 3000, 20.0, 2000),
    ('commission', 0.25, 80, 3000, 6.0, 20000),
    ('catalogue', 0.45, 30, 1000, 0.5, 20000),
    ('export', 0.15, 120, 5000, 0.2, 40000),
)
MEAN_S = sum(share * ms for _n, share, ms, _d, _w, _b in CLASSES) / 1000
CAPACITY = SERVERS * SLOTS / MEAN_S
VARIANTS = {
    'round robin': (selection.RoundRobin, False),
    'least outst.': (selection.LeastOutstanding, False),
    'no admission': (selection.LowestCost, False),
    'current': (selection.LowestCost, True),
}


def constant_load(factor):
    return lambda now: factor


def swinging_load(now):
    """Switch between half and three times the capacity every 2 s."""
    return 3.0 if now % 4 < 2 else 0.5


SCENARIOS = {
    '0.8x': {'load': constant_load(0.8)},
    '1x': {'load': constant_load(1.0)},
    '1.5x': {'load': constant_load(1.5)},
    '2x': {'load': constant_load(2.0)},
    '4x': {'load': constant_load(4.0)},
    'swings': {'load': swinging_load},
    '1.5x, stragglers': {'load': constant_load(1.5), 'stragglers': True},
    '2x, 4 servers crash': {'load': constant_load(2.0), 'crash_count': 4},
}


class WorthBound:
    """Upper bound of the worth that the slots of running servers can earn.

    Attributes
    ----------
    bins : dict of int to list
        For each second, the offered work as tuples of worth per second of
        service time, service time in s and deadline in s.
    """

    def __init__(self):
        self.bins = {}

    def add(self, now, worth, service_s, deadline_s):
        offered = self.bins.setdefault(int(now / BIN_S), [])
        offered.append((worth / service_s, service_s, now + deadline_s))

    def total(self, slots_at):
        """Return the upper bound of the earned worth.

        Fills the slots of each second with the work of the highest worth per
        slot time; the rest stays available until its deadline.

        Parameters
        ----------
        slots_at : callable
            Returns the number of slots of the running servers at a time.
        """
        earned = 0.0
        unserved = []
        for number in range(max(self.bins) + CARRY_OVER_BINS):
            start = number * BIN_S
            free_s = slots_at(start) * BIN_S
            offered = [item for item in unserved if item[2] > start]
            offered = sorted(offered + self.bins.get(number, []), reverse=True)
            unserved = []
            for rate, service_s, until in offered:
                used = min(free_s, service_s)
                earned += rate * used
                free_s -= used
                if used < service_s:
                    unserved.append((rate, service_s - used, until))
        return earned


def draw_request(rng, scenario):
    shares = [row[1] for row in CLASSES]
    class_name, _s, ms, deadline_ms, worth, size = rng.choices(
        CLASSES, shares
    )[0]
    service_s = ms / 1000 * rng.uniform(0.5, 1.5)
    if scenario.get('stragglers') and rng.random() < STRAGGLER_SHARE:
        service_s *= STRAGGLER_FACTOR
    return class_name, ms, deadline_ms, worth, size, service_s


async def measure(policy, admitted, scenario, seconds, seed):
    """Run one variant in one scenario.

    Returns
    -------
    float
        Worth earned as a share of the bound.
    """
    loop = asyncio.get_running_loop()
    cluster = slots_model.Cluster(
        servers=SERVERS, slots=SLOTS, queue=QUEUE, zones=2, loop=loop
    )
    options = {
        'policy': lambda number: policy(),
        'admission': admitted,
        'slots': SLOTS,
        'instances': INSTANCES,
        'zones': 2,
    }
    bound = WorthBound()
    earned = 0.0
    crash_at = seconds / 2
    crash_count = scenario.get('crash_count', 0)
    tasks = []

    async def run_request(instance, work, service_s):
        nonlocal earned
        ending = await instance.handle(work, service_s)
        is_in_time = loop.time() <= work.deadline_at
        if ending == work_module.Ending.ANSWERED and is_in_time:
            earned += work.worth

    async def offer_load(number):
        rng = random.Random(f'{seed}-{number}')
        instance = slots_model.ModelInstance(
            number=number, cluster=cluster, options=options
        )
        peak = 4.0 * CAPACITY / INSTANCES
        while True:
            await asyncio.sleep(rng.expovariate(peak))
            now = loop.time()
            if now > seconds:
                return
            if rng.random() > scenario['load'](now) / 4.0:
                continue
            class_name, ms, deadline_ms, worth, size, service_s = draw_request(
                rng, scenario
            )
            bound.add(now, worth, service_s, deadline_ms / 1000)
            work = work_module.Work(
                request_id=str(number),
                service='s',
                pool='p',
                request_class=class_name,
                idempotent=class_name in ('catalogue', 'export'),
                long=False,
                worth=worth,
                expected_ms=ms,
                deadline_at=now + deadline_ms / 1000,
                max_response_bytes=size,
            )
            tasks.append(
                loop.create_task(run_request(instance, work, service_s))
            )

    async def crash_servers():
        await asyncio.sleep(crash_at)
        for server in list(cluster.servers.values())[:crash_count]:
            server.crash()

    offers = [offer_load(number) for number in range(INSTANCES)]
    await asyncio.gather(crash_servers(), *offers)
    await asyncio.gather(*tasks)

    def slots_at(now):
        return SLOTS * (SERVERS - (crash_count if now >= crash_at else 0))

    return earned / bound.total(slots_at)


def run_one(job):
    """Run one variant in one scenario on a virtual clock.

    Parameters
    ----------
    job : tuple
        Scenario, variant, duration in seconds and seed.
    """
    scenario_name, variant_name, seconds, seed = job
    policy, admitted = VARIANTS[variant_name]
    return slots_model.run_virtual(
        lambda: measure(
            policy, admitted, SCENARIOS[scenario_name], seconds, seed
        )
    )


def main():
    """Run all variants in all scenarios and print a table."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 6.0
    seed = sys.argv[2] if len(sys.argv) > 2 else '1'
    jobs = [(s, v, seconds, seed) for s in SCENARIOS for v in VARIANTS]
    print(f'worth earned as a share of the bound, {seconds:g} s')
    print(
        f'{"scene":20}'
        + ''.join(f'{variant_name:>14}' for variant_name in VARIANTS)
    )
    with futures.ProcessPoolExecutor(WORKERS) as workers:
        for job, share in zip(jobs, workers.map(run_one, jobs)):
            if job[1] == next(iter(VARIANTS)):
                print(f'\n{job[0]:20}', end='')
            print(f'{share:14.1%}', end='', flush=True)
    print()


if __name__ == '__main__':
    main()

"""Models servers with slots, for the measurements of traffic decisions.

The decision classes are the real ones and run on a virtual clock. Only the
servers and the network are modelled, as slots, a bounded queue and hop delays.
"""

import asyncio
import collections
import logging
import random
import types

from citronshelf_common import fleet
from expression import Ok

from citronshelf_traffic import admission
from citronshelf_traffic import budgets
from citronshelf_traffic import choosing
from citronshelf_traffic import region_link
from citronshelf_traffic import virtual_loop
from citronshelf_traffic import work as work_module

Ending = work_module.Ending
REQUEUED_ENDINGS = (Ending.SHED, Ending.NO_SERVER)
ZONES = (('r1', 'z1'), ('r1', 'z2'), ('r2', 'z3'), ('r2', 'z4'))


def make_record(**fields):
    return types.SimpleNamespace(**fields)


class Cluster:
    """Servers of one pool, with counters shared with the instances.

    Attributes
    ----------
    waiting_at_instances : int
        Requests that wait for admission at an instance.
    idle_while_waiting_s : float
        Slot seconds that were idle while requests waited.
    updated_at : float
        Time up to which ``idle_while_waiting_s`` is computed.
    counts : Counter
        Dispatches, collisions (dispatches that find all slots of the server
        busy) and, by reason, refused admissions.
    """

    def __init__(self, *, servers, slots, queue, zones, loop):
        self.loop = loop
        self.waiting_at_instances = 0
        self.idle_while_waiting_s = 0.0
        self.updated_at = 0.0
        self.counts = collections.Counter()
        self.servers = {}
        for number in range(servers):
            location = fleet.Location(*ZONES[number % zones])
            server = fleet.BackendServer(
                f's{number}', 'p', fleet.Address('127.0.0.1', 1), location
            )
            self.servers[server.server_id] = ModelServer(
                server=server, slots=slots, queue=queue, cluster=self
            )

    def accrue_idle_time(self):
        """Add the slot time that was idle while requests waited.

        Counts at most one idle slot for each waiting request. Must be called
        before each change of a slot or queue.
        """
        now = self.loop.time()
        waiting = self.waiting_at_instances
        idle = 0
        for server in self.servers.values():
            waiting += len(server.queue)
            idle += (server.slots - server.busy) if server.alive else 0
        self.idle_while_waiting_s += (now - self.updated_at) * min(
            idle, waiting
        )
        self.updated_at = now

    def make_view(self, instances):
        views = tuple(
            fleet.ServerView(s.server, fleet.Standing.ADMITTED, 1.0)
            for s in self.servers.values()
        )
        return fleet.FleetView(1, views, instances)


class ModelServer:
    """Server with slots and a bounded FIFO queue; sheds when both are full."""

    def __init__(self, *, server, slots, queue, cluster):
        self.server = server
        self.slots = slots
        self.queue_limit = queue
        self.cluster = cluster
        self.busy = 0
        self.queue = collections.deque()
        self.alive = True

    def report(self):
        return fleet.LoadReport(self.busy, self.slots, len(self.queue))

    def crash(self):
        """Refuse connections; running and queued requests fail."""
        self.cluster.accrue_idle_time()
        self.alive = False
        while self.queue:
            self.queue.popleft().cancel()

    async def run(self, service_s):
        """Execute one request; return its ending and the load.

        The load is None if the server refuses the connection or crashes.
        """
        counts = self.cluster.counts
        counts['dispatches'] += 1
        if not self.alive:
            return Ending.REFUSED, None
        self.cluster.accrue_idle_time()
        if self.busy >= self.slots:
            counts['collisions'] += 1
            if len(self.queue) >= self.queue_limit:
                return Ending.SHED, self.report()
            slot_granted = self.cluster.loop.create_future()
            self.queue.append(slot_granted)
            await asyncio.wait([slot_granted])
            if slot_granted.cancelled():
                return Ending.FAILED, None
        else:
            self.busy += 1
        await asyncio.sleep(service_s)
        self.cluster.accrue_idle_time()
        if self.queue and self.alive:
            self.queue.popleft().set_result(None)
        else:
            self.busy -= 1
        if not self.alive:
            return Ending.FAILED, None
        return Ending.ANSWERED, self.report()


class NoAdmission:
    """Baseline that admits every request immediately."""

    async def admit(self, work):
        return Ok(None)

    def record_ending(self, admitted, ending, load):
        pass

    def release(self, admitted):
        pass


class ModelInstance:
    """An instance with the real decision classes.

    Parameters
    ----------
    number : int
        Determines the zone, and the random numbers of the chooser.
    cluster : Cluster
    options : dict
        Keys ``policy``, ``admission``, ``slots``, ``instances``, ``zones``
        and, optionally, ``long_percent``.
    """

    def __init__(self, *, number, cluster, options):
        self.cluster = cluster
        clock = cluster.loop.time
        location = fleet.Location(*ZONES[number % options['zones']])
        self.chooser = choosing.ServerChooser(
            instance=f'e{number}',
            location=location,
            store_region='r1',
            link=region_link.RegionLink(
                megabits=30,
                cross_region=make_record(
                    policy='spare', link_percent=20, max_body_bytes=65536
                ),
                clock=clock,
            ),
            rng=random.Random(number),
            clock=clock,
            policy=options['policy'](number),
        )
        pool = make_record(
            slots_per_server=options['slots'],
            connections_per_server=330,
            prefer='nearest',
            long_work_percent=options.get('long_percent', 25),
        )
        self.chooser.set_pools({'p': pool})
        self.chooser.set_view(cluster.make_view(options['instances']))
        self.queue = NoAdmission()
        if options['admission']:
            self.queue = admission.AdmissionQueue(clock=clock)
            self.queue.set_services({'s': make_record(queue_limit_ms=2000)})
        self.retries = budgets.RetryBudget(percent=10)

    def hop_delay_s(self, server):
        remote, local = server.location, self.chooser.location
        if remote.region != local.region:
            return 0.020
        return 0.001 if remote.zone != local.zone else 0.0002

    async def handle(self, work, service_s):
        """Admit and dispatch one request; return its ending."""
        self.cluster.accrue_idle_time()
        self.cluster.waiting_at_instances += 1
        try:
            result = await self.queue.admit(work)
        finally:
            self.cluster.accrue_idle_time()
            self.cluster.waiting_at_instances -= 1
        if result.is_error():
            self.cluster.counts[result.error.reason] += 1
            return Ending.NO_SERVER
        self.retries.record_new_request()
        while True:
            ending = await self.dispatch(result.ok, work, service_s)
            if ending not in REQUEUED_ENDINGS or result.ok is None:
                self.queue.release(result.ok)
                return ending
            self.cluster.accrue_idle_time()
            self.cluster.waiting_at_instances += 1
            result = await self.queue.requeue(result.ok)
            self.cluster.accrue_idle_time()
            self.cluster.waiting_at_instances -= 1
            if result.is_error():
                self.cluster.counts[result.error.reason] += 1
                return Ending.NO_SERVER

    async def dispatch(self, admitted, work, service_s):
        tried = frozenset()
        while True:
            choice = self.chooser.choose(work, tried)
            if choice.is_error():
                return Ending.NO_SERVER
            placement = choice.ok
            self.chooser.begin(placement)
            server = self.cluster.servers[placement.server.server_id]
            await asyncio.sleep(self.hop_delay_s(placement.server))
            ending, load = await server.run(service_s)
            await asyncio.sleep(self.hop_delay_s(placement.server))
            self.chooser.end(placement, load, ending=ending)
            self.queue.record_ending(admitted, ending, load)
            if not budgets.may_choose_again(
                ending, work, tried, self.cluster.loop.time(), self.retries
            ):
                return ending
            tried |= {placement.server.server_id}


def run_virtual(main):
    """Run a coroutine function on a virtual clock with logging disabled."""
    logging.disable(logging.CRITICAL)
    try:
        with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
            return runner.run(main())
    finally:
        logging.disable(logging.NOTSET)

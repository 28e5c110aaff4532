"""Measures failed and late requests while servers fail and recover.

Simulated instances, with the server choice and the health estimates of the
real instance daemon, send requests to simulated servers on a simulated clock.
Runs are deterministic.
"""

import argparse
import heapq
import itertools
import logging
import math
import random
from typing import NamedTuple

import instance_cost

from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import evidence_exchange
from citronshelf_instance import placement
from citronshelf_instance import registrations

# A service that issues serial numbers, as seen from one region, and the
# traffic of its busiest route, from a user's logs of quiet days.
INSTANCES = 18
SERVERS = 17
SLOTS = 2
QUEUE = 8
WORK_S = 0.14
# Coefficient of variation of the service time.
WORK_SPREAD = 0.8
LONG_SHARE = 0.03
LONG_FACTOR = 7.0
TARGET_S = 0.8
ERROR_SHARE = 0.012
FAILING_ERROR_SHARE = 0.9
HEALTHY_MEAN_S = 22.0
FAILING_MEAN_S = 10.0
RATE_SWING = 0.55
RATE_PERIOD_S = 15.0
HOP_S = 0.002
MAX_SERVERS = 2
# Request rates to measure, in requests per second.
RATES = (30.0, 60.0, 90.0)


class Dispatch(NamedTuple):
    """One dispatch of a request to a server.

    Attributes
    ----------
    instance : Instance
    server : RegisteredServer
    route : Route
    arrived_s : float
        Arrival time of the request at the instance.
    sent_s : float
        Time of this dispatch.
    tried : set of str
        Servers to which the request has been dispatched, with this one.
    """

    instance: 'Instance'
    server: registrations.RegisteredServer
    route: configuration.Route
    arrived_s: float
    sent_s: float
    tried: set[str]


class Simulation:
    """Event queue with a simulated clock."""

    def __init__(self, seed: int):
        self.now = 0.0
        self.pending = []
        self.sequence = itertools.count()
        self.rng = random.Random(seed)

    def clock(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def schedule(self, seconds: float, action, *arguments) -> None:
        """Call ``action`` after a delay in simulated time."""
        event = (self.now + seconds, next(self.sequence), action, arguments)
        heapq.heappush(self.pending, event)

    def run(self, until_s: float) -> None:
        """Execute the events that are due before a time."""
        while self.pending and self.pending[0][0] < until_s:
            self.now, _, action, arguments = heapq.heappop(self.pending)
            action(*arguments)


class Server:
    """A server with slots and a short queue; it can fail and recover."""

    def __init__(self, simulation: Simulation):
        self.simulation = simulation
        self.running = 0
        self.queue: list[tuple[Dispatch, object]] = []
        self.error_share = FAILING_ERROR_SHARE
        self.work_factor = 1.0
        self.received_s: list[float] = []
        self.is_failing = False

    def start_failure_cycle(self) -> None:
        """Start failing or healthy at random, and alternate from then on."""
        share = FAILING_MEAN_S / (FAILING_MEAN_S + HEALTHY_MEAN_S)
        self.is_failing = self.simulation.rng.random() < share
        self.schedule_transition()

    def schedule_transition(self) -> None:
        """Schedule the next transition, exponentially distributed."""
        mean_s = FAILING_MEAN_S if self.is_failing else HEALTHY_MEAN_S
        wait_s = self.simulation.rng.expovariate(1 / mean_s)
        self.simulation.schedule(wait_s, self.transition)

    def transition(self) -> None:
        """Switch between failing and healthy."""
        self.is_failing = not self.is_failing
        self.schedule_transition()

    def receive(self, dispatch: Dispatch, on_completion) -> None:
        """Fail, execute, queue or shed a request."""
        rng = self.simulation.rng
        self.received_s.append(self.simulation.now)
        if self.is_failing and rng.random() < self.error_share:
            self.simulation.schedule(
                HOP_S, on_completion, dispatch, evidence.HealthSignal.FAILED
            )
        elif self.running < SLOTS:
            self.start(dispatch, on_completion)
        elif len(self.queue) < QUEUE:
            self.queue.append((dispatch, on_completion))
        else:
            self.simulation.schedule(
                HOP_S, on_completion, dispatch, evidence.HealthSignal.SHED
            )

    def start(self, dispatch: Dispatch, on_completion) -> None:
        """Execute a request in a free slot."""
        self.running += 1
        rng = self.simulation.rng
        spread = math.sqrt(math.log(1 + WORK_SPREAD**2))
        work_s = WORK_S * rng.lognormvariate(-(spread**2) / 2, spread)
        work_s *= self.work_factor
        if rng.random() < LONG_SHARE:
            work_s *= LONG_FACTOR
        self.simulation.schedule(work_s, self.finish, dispatch, on_completion)

    def finish(self, dispatch: Dispatch, on_completion) -> None:
        """Send the response and start the next queued request."""
        self.running -= 1
        if self.queue:
            self.start(*self.queue.pop(0))
        failed = self.simulation.rng.random() < ERROR_SHARE
        signal = (
            evidence.HealthSignal.FAILED
            if failed
            else evidence.HealthSignal.GOOD
        )
        self.simulation.schedule(HOP_S, on_completion, dispatch, signal)


class Instance:
    """An instance that places requests and shares its observations."""

    def __init__(self, region: 'Region'):
        self.region = region
        self.simulation = region.simulation
        self.directory = registrations.Directory(clock=self.simulation.clock)
        for number in range(SERVERS):
            self.directory.add_or_update(
                instance_cost.make_registration(number)
            )
        self.directory.index()
        self.placer = placement.Placer(
            directory=self.directory,
            location=fleet.Location('region', 'zone'),
            regions={'zone': 'region'},
            distances=placement.DistanceCosts(0.0, 0.0, 0.0),
            clock=self.simulation.clock,
            rng=random.Random(self.simulation.rng.random()),
        )
        self.observations: list[evidence.PendingObservation] = []
        self.is_flush_scheduled = False

    def send(
        self, route: configuration.Route, arrived_s: float, tried
    ) -> bool:
        """Dispatch a request; return False if no server can be chosen.

        At most ``MAX_SERVERS`` servers are tried for one request.

        Parameters
        ----------
        route : Route
        arrived_s : float
            Arrival time of the request.
        tried : set of str
            Servers to which it has been dispatched.
        """
        if len(tried) >= MAX_SERVERS:
            return False
        server = self.placer.choose(route, 'service', 'r', 0, tried)
        if server is None:
            return False
        server.running += 1
        now = self.simulation.now
        dispatch = Dispatch(
            self, server, route, arrived_s, now, {*tried, server.server_id}
        )
        target = self.region.servers[server.registration.address.port]
        self.simulation.schedule(
            HOP_S, target.receive, dispatch, self.handle_completion
        )
        return True

    def handle_completion(
        self, dispatch: Dispatch, signal: evidence.HealthSignal
    ) -> None:
        """Record the outcome of a dispatch and retry the request if allowed.

        Only idempotent and shed requests are retried. A request that is not
        retried, or for which no server is left, counts as failed.
        """
        dispatch.server.running -= 1
        now = self.simulation.now
        slowness = 0.0
        if signal is evidence.HealthSignal.GOOD:
            usage = self.placer.usage_of(dispatch.route)
            slowness = (now - dispatch.sent_s) / max(usage.seconds, 0.001)
            usage.record(now - dispatch.sent_s, 1000)
            self.region.late += now - dispatch.arrived_s > TARGET_S
        self.observe(
            evidence.Observation(
                dispatch.server.server_id,
                signal,
                slowness,
                now - dispatch.sent_s,
            )
        )
        if signal is evidence.HealthSignal.GOOD:
            return
        may_retry = (
            dispatch.route.idempotent or signal is evidence.HealthSignal.SHED
        )
        if not may_retry or not self.send(
            dispatch.route, dispatch.arrived_s, dispatch.tried
        ):
            self.region.failed += 1

    def observe(self, observation: evidence.Observation) -> None:
        """Record an observation and schedule sending it to the others."""
        shift = self.directory.record(observation, 'own')
        self.observations.append(
            evidence.PendingObservation(observation, self.simulation.now)
        )
        if evidence_exchange.is_urgent(observation, shift):
            self.simulation.schedule(
                evidence_exchange.URGENT_DELAY_S, self.flush
            )
        elif not self.is_flush_scheduled:
            self.is_flush_scheduled = True
            self.simulation.schedule(
                evidence_exchange.EVIDENCE_DELAY_S, self.flush
            )

    def flush(self) -> None:
        """Send the collected observations to the other instances."""
        now = self.simulation.now
        observations = [pending.to_send(now) for pending in self.observations]
        self.observations, self.is_flush_scheduled = [], False
        self.simulation.schedule(
            HOP_S, self.region.deliver, self, observations
        )


class Region:
    """The instances and servers of one service in a region.

    Parameters
    ----------
    seed : int
    rate : float
        Mean arrival rate in requests per second.
    idempotent : bool
    pooled : bool
        Whether instances share their observations.
    """

    def __init__(
        self, *, seed: int, rate: float, idempotent: bool, pooled: bool = True
    ):
        self.simulation = Simulation(seed)
        self.rate = rate
        self.pooled = pooled
        self.route = make_route(idempotent)
        self.requests = self.failed = self.late = self.messages = 0
        self.servers = [Server(self.simulation) for _ in range(SERVERS)]
        self.instances = [Instance(self) for _ in range(INSTANCES)]
        self.handle_arrival()

    def handle_arrival(self) -> None:
        """Send a request to a random instance and schedule the next one."""
        simulation = self.simulation
        wave = math.sin(2 * math.pi * simulation.now / RATE_PERIOD_S)
        rate = self.rate * (1 + RATE_SWING * wave)
        simulation.schedule(
            simulation.rng.expovariate(rate), self.handle_arrival
        )
        self.requests += 1
        instance = simulation.rng.choice(self.instances)
        instance.send(self.route, simulation.now, set())

    def deliver(self, sender: Instance, observations) -> None:
        """Deliver observations to the other instances.

        Counts one message even if the instances do not share observations.
        """
        self.messages += 1
        for instance in self.instances:
            if self.pooled and instance is not sender:
                for observation in observations:
                    instance.directory.record(observation, 'other')


def make_route(idempotent: bool) -> configuration.Route:
    """Return the route of all requests."""
    return configuration.Route(
        name='route',
        host='a.example',
        prefix='/',
        weighted_services=(configuration.WeightedService('service', 1.0),),
        idempotent=idempotent,
        max_servers=MAX_SERVERS,
        timeout_s=4.0,
        target_latency_s=TARGET_S,
        priority=1,
    )


def main() -> None:
    """Print the shares of failed and late requests at each rate.

    Also prints the evidence messages per request, each counted once although
    it goes to every instance.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=6)
    parser.add_argument('--seconds', type=float, default=60.0)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for idempotent, rate in itertools.product((False, True), RATES):
        requests = failed = late = messages = 0
        for seed in range(options.seeds):
            region = Region(seed=seed, rate=rate, idempotent=idempotent)
            for server in region.servers:
                server.start_failure_cycle()
            region.simulation.run(options.seconds)
            requests += region.requests
            failed += region.failed
            late += region.late
            messages += region.messages
        print(
            f'{"idempotent" if idempotent else "once":10} {rate:5.0f}/s'
            f'  failed {failed / requests:.4f}  late {late / requests:.4f}'
            f'  messages {messages / requests:.2f}'
            f'  of {requests} requests'
        )


if __name__ == '__main__':
    main()

"""Generates request outcomes and models the two detectors to compare."""

import bisect
import collections
import itertools
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_health import board as boards
from citronshelf_health import policy as policies
from citronshelf_health import slowness

SERVERS = 17
SLOTS = 2
FLOOR_PERCENT = 70
INSTANCES = 36
ZONES = ('a', 'b', 'c', 'd')
REQUESTS_PER_S = 340.0
TICK_S = 0.05
TICKS_PER_REPORT = 20
TICKS_PER_STEP = 5
MEDIAN_LATENCY_S = 0.03
LATENCY_SIGMA = 0.8
STRAGGLER_SHARE = 0.005
STRAGGLER_FACTOR = 30.0
HEALTHY_ERROR_SHARE = 0.002
CONNECT_TIMEOUT_S = 1.0
FLAP_HALF_PERIOD_S = 10.0
CLASS = 'issue'
POOL = model.Pool(
    slots_per_server=SLOTS,
    connections_per_server=330,
    floor_percent=FLOOR_PERCENT,
    minimum_servers=2,
)


class Fault(NamedTuple):
    """A fault of the first servers of the pool.

    Attributes
    ----------
    kind : str
        'none', 'errors', 'slow', 'flap' or 'cut'. A flapping server fails all
        requests in every other period of ``FLAP_HALF_PERIOD_S``; a cut server
        is unreachable from zone a.
    size : float
        Share of failed requests for 'errors', factor of the latency for
        'slow'.
    servers : int
        Number of faulty servers.
    """

    kind: str
    size: float = 1.0
    servers: int = 1


class Response(NamedTuple):
    """A completed request.

    Attributes
    ----------
    instance, server : int
        Numbers of the instance and of the server.
    outcome : str
        Name of a field of ``OutcomeCounts``.
    seconds : float
        Time from sending the request to its outcome.
    """

    instance: int
    server: int
    outcome: str
    seconds: float


def zone_of(instance):
    return ZONES[instance % len(ZONES)]


def backend_servers():
    """Create the servers, all in the region of the instances."""
    return tuple(
        fleet.BackendServer(
            f'server-{number}',
            'pool',
            fleet.Address('127.0.0.1', 20000 + number),
            fleet.Location('region', ZONES[number % len(ZONES)]),
        )
        for number in range(SERVERS)
    )


class PooledDetector:
    """The current design: health boards with evidence from many instances.

    Each board holds one view of the servers, which a group of instances uses.

    Parameters
    ----------
    rng : random.Random
    policy : HealthPolicy, optional
    groups : sequence of (str, callable), optional
        For each board, its zone and a predicate that selects the instances
        that use it and send it evidence. Defaults to one board in zone a for
        all instances.
    is_shared : bool
        Whether every board receives the evidence of all instances.
    """

    def __init__(self, rng, policy=None, groups=None, is_shared=True):
        self.rng = rng
        self.now = 0.0
        self.is_shared = is_shared
        groups = groups or [('a', lambda instance: True)]
        self.group_of = [
            next(
                i
                for i, (_, contains) in enumerate(groups)
                if contains(instance)
            )
            for instance in range(INSTANCES)
        ]
        self.servers = backend_servers()
        self.boards = [
            boards.HealthBoard(
                own_zone=zone,
                clock=lambda: self.now,
                policy=policy or policies.HealthPolicy(),
            )
            for zone, _ in groups
        ]
        for board in self.boards:
            board.set_pools({'pool': POOL})
            board.set_servers(self.servers, ())
        self.classifiers = [
            slowness.SlowResponseClassifier() for _ in range(INSTANCES)
        ]
        self.phases = [
            rng.randrange(TICKS_PER_REPORT) for _ in range(INSTANCES)
        ]
        self.pending = [collections.Counter() for _ in range(INSTANCES)]
        self.in_transit = []
        self.weights = [
            self.cumulative_weights(board) for board in self.boards
        ]

    def cumulative_weights(self, board):
        views = board.standings()
        return list(itertools.accumulate(view.weight for view in views))

    def choose(self, instance):
        """Choose a server at random, by weight, for a request."""
        weights = self.weights[self.group_of[instance]]
        point = self.rng.random() * weights[-1]
        return bisect.bisect_right(weights, point)

    def observe(self, response):
        """Count an outcome at the instance that observed it."""
        outcome = response.outcome
        if outcome == 'good':
            classifier = self.classifiers[response.instance]
            server = self.servers[response.server]
            if classifier.record_and_classify(CLASS, server, response.seconds):
                outcome = 'slow'
        self.pending[response.instance][response.server, outcome] += 1

    def tick(self, number, now):
        """Send due reports, deliver those of the last tick, run the boards."""
        self.now = now
        for instance, counts in self.in_transit:
            self.deliver(instance, counts)
        self.in_transit = []
        phase = number % TICKS_PER_REPORT
        for instance, counts in enumerate(self.pending):
            if self.phases[instance] == phase and counts:
                self.in_transit.append((instance, counts))
                self.pending[instance] = collections.Counter()
        if number % TICKS_PER_STEP == 0:
            for index, board in enumerate(self.boards):
                if board.step(now):
                    self.weights[index] = self.cumulative_weights(board)

    def deliver(self, instance, counts):
        fields = collections.defaultdict(dict)
        for (server, outcome), count in counts.items():
            fields[server][outcome] = count
        rows = [
            fleet.OutcomeCounts(self.servers[server].server_id, CLASS, **row)
            for server, row in fields.items()
        ]
        for index, board in enumerate(self.boards):
            if self.is_shared or self.group_of[instance] == index:
                board.record(zone_of(instance), f'entry-{instance}', rows)

    def excluded_sets(self):
        """Return, for each view, the servers that receive no work."""
        return [
            {
                number
                for number, view in enumerate(board.standings())
                if view.weight == 0.0
            }
            for board in self.boards
        ]

    def excluded_share(self, server):
        """Return the share of instances that send no work to a server."""
        excluded = self.excluded_sets()
        return sum(server in excluded[g] for g in self.group_of) / INSTANCES


class ConsecutiveErrors:
    """The baseline: ejects a server after consecutive errors.

    Each instance counts on its own and ejects a server for ``EJECTION_S``.
    """

    ERRORS_TO_EJECT = 5
    EJECTION_S = 30.0

    def __init__(self, rng):
        self.rng = rng
        self.now = 0.0
        self.error_runs = [[0] * SERVERS for _ in range(INSTANCES)]
        self.ejected_until = [{} for _ in range(INSTANCES)]

    def choose(self, instance):
        """Choose a server that this instance has not ejected.

        If all are ejected, it chooses one of them.
        """
        ejected = self.ejected_until[instance]
        server = self.rng.randrange(SERVERS)
        for _ in range(SERVERS if ejected else 0):
            if server not in ejected:
                break
            server = (server + 1) % SERVERS
        return server

    def observe(self, response):
        """Count consecutive errors and eject a server at ``ERRORS_TO_EJECT``.

        Slow responses are not errors.
        """
        error_run_lengths = self.error_runs[response.instance]
        if response.outcome == 'good':
            error_run_lengths[response.server] = 0
            return
        error_run_lengths[response.server] += 1
        if error_run_lengths[response.server] >= self.ERRORS_TO_EJECT:
            error_run_lengths[response.server] = 0
            until = self.now + self.EJECTION_S
            self.ejected_until[response.instance][response.server] = until

    def tick(self, number, now):
        """Readmit the servers whose ejection has expired."""
        self.now = now
        for ejected in self.ejected_until:
            for server in [s for s, until in ejected.items() if until <= now]:
                del ejected[server]

    def excluded_sets(self):
        """Return, for each instance, the servers that it has ejected."""
        return [set(ejected) for ejected in self.ejected_until]

    def excluded_share(self, server):
        """Return the share of instances that have ejected a server."""
        return (
            sum(server in ejected for ejected in self.ejected_until)
            / INSTANCES
        )


class Traffic:
    """Sends requests at a constant mean rate to servers with a fault.

    Latency is log-normal with rare stragglers. While a server executes a
    straggler, half of its other requests wait for it, so slow responses come
    in bursts, as on a server with two slots.

    Parameters
    ----------
    rng : random.Random
    detector : PooledDetector or ConsecutiveErrors
    fault : Fault
    fault_at : float
        Time at which the fault begins, in seconds.

    Attributes
    ----------
    failed : int
        Requests that failed at the faulty servers.
    """

    def __init__(self, *, rng, detector, fault, fault_at):
        self.rng = rng
        self.detector = detector
        self.fault = fault
        self.fault_at = fault_at
        self.tick_number = 0
        self.now = 0.0
        self.next_arrival = 0.0
        self.busy_until = [0.0] * SERVERS
        self.finished = collections.defaultdict(list)
        self.failed = 0

    def run_tick(self):
        """Send the requests of one tick and report those that complete."""
        end = self.now + TICK_S
        while self.next_arrival < end:
            self.send(self.next_arrival)
            self.next_arrival += self.rng.expovariate(REQUESTS_PER_S)
        for response in self.finished.pop(self.tick_number, ()):
            self.detector.observe(response)
        self.tick_number += 1
        self.now = self.tick_number * TICK_S
        self.detector.tick(self.tick_number, self.now)

    def send(self, at):
        instance = self.rng.randrange(INSTANCES)
        server = self.detector.choose(instance)
        outcome, seconds = self.draw_outcome(at, instance, server)
        if outcome != 'good' and server < self.fault.servers:
            self.failed += 1
        tick = max(self.tick_number, int((at + seconds) / TICK_S))
        response = Response(instance, server, outcome, seconds)
        self.finished[tick].append(response)

    def draw_outcome(self, at, instance, server):
        """Return a random outcome and duration, in seconds, of a request."""
        rng = self.rng
        seconds = self.draw_latency(at, server)
        if server < self.fault.servers and at >= self.fault_at:
            match self.fault.kind:
                case 'errors' if rng.random() < self.fault.size:
                    return 'errored', seconds
                case 'flap' if self.is_flap_down(at):
                    return 'errored', seconds
                case 'cut' if zone_of(instance) == 'a':
                    return 'unreachable', CONNECT_TIMEOUT_S
                case 'slow':
                    return 'good', seconds * self.fault.size
        if rng.random() < HEALTHY_ERROR_SHARE:
            return 'errored', seconds
        return 'good', seconds

    def is_flap_down(self, at):
        periods = int((at - self.fault_at) / FLAP_HALF_PERIOD_S)
        return periods % 2 == 0

    def draw_latency(self, at, server):
        rng = self.rng
        seconds = MEDIAN_LATENCY_S * rng.lognormvariate(0.0, LATENCY_SIGMA)
        wait = self.busy_until[server] - at
        if rng.random() < STRAGGLER_SHARE:
            seconds *= STRAGGLER_FACTOR
            self.busy_until[server] = at + seconds
        elif wait > 0 and rng.random() < 0.5:
            seconds += wait
        return seconds

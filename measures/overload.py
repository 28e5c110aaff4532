"""Measures what is served while a service gets more than it can run.

Simulated instances with the real server choice, health estimates, retry
budgets and admission send requests to simulated servers on a simulated clock.
Runs are deterministic.
"""

import argparse
import collections
import heapq
import itertools
import logging
from pathlib import Path
import random
import sys
import types
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'libs/citronshelf_instance/tests'))

from citronshelf_instance import admission  # noqa: E402
from citronshelf_instance import caller_identity  # noqa: E402
from citronshelf_instance import evidence  # noqa: E402
from citronshelf_instance import evidence_exchange  # noqa: E402
from citronshelf_instance import retry_budget  # noqa: E402
from citronshelf_instance import routing  # noqa: E402
from citronshelf_instance import service_load  # noqa: E402
import instance_builders  # noqa: E402

INSTANCES = 60
SERVERS = 24
SLOTS = 3
QUEUE = 12
HOP_S = 0.002
# Time until a peer has an observation that is sent at once, and the mean of
# those that wait for the next message.
URGENT_S = 0.004
BATCHED_S = 0.4
# Processing times vary by this share around their mean.
WORK_SPREAD = 0.5
LATE_WORTH = 1 / 3
WARM_UP_S = 5.0
VARIANTS = ('none', 'first come', 'admission')


class RequestClass(NamedTuple):
    """A class of requests.

    Attributes
    ----------
    name : str
    share : float
        Share of all requests.
    work_s, target_s, timeout_s : float
        Mean processing time on a server, target latency and timeout.
    priority : int
    worth : float
        Of a response within the target latency.
    idempotent : bool
    """

    name: str
    share: float
    work_s: float
    target_s: float
    timeout_s: float
    priority: int
    worth: float
    idempotent: bool


# The requests of a deployment with accounts, all sent to one service.
CLASSES = (
    RequestClass('payments', 107 / 621, 0.123, 0.417, 0.8, 0, 6.0, False),
    RequestClass('status', 114 / 621, 0.16, 0.806, 1.2, 1, 1.1, True),
    RequestClass('declarations', 46 / 621, 0.133, 0.517, 1.0, 1, 1.1, False),
    RequestClass('amendments', 354 / 621, 0.21, 1.506, 1.5, 2, 1.1, False),
)
MEAN_WORK_S = sum(one.share * one.work_s for one in CLASSES)
CAPACITY_PER_S = SERVERS * SLOTS / MEAN_WORK_S
ACCOUNTS = 20
ACCOUNT_WEIGHTS = [1 / (rank + 1) ** 1.2 for rank in range(ACCOUNTS)]
# A middle-sized account that sends more than usual in one scene.
LOUD_ACCOUNT = 5


class Scene(NamedTuple):
    """What is sent.

    Attributes
    ----------
    name : str
    load : float
        Arriving work as a multiple of the capacity.
    seconds : float
    loud_factor : float
        Requests of one account as a multiple of its usual ones.
    shed_share : float
        Share of the arrivals that servers shed at random.
    long_share : float
        Share of the requests that take seven times as long.
    """

    name: str
    load: float
    seconds: float = 20.0
    loud_factor: float = 1.0
    shed_share: float = 0.0
    long_share: float = 0.0


SCENES = (
    Scene('0.5 times capacity', 0.5),
    Scene('0.5, servers shed 0.55', 0.5, shed_share=0.55),
    Scene('0.5, 3% take 7 times as long', 0.5, long_share=0.03),
    Scene('0.9 times capacity', 0.9),
    Scene('1.5 times capacity', 1.5),
    Scene('2 times capacity', 2.0),
    Scene('1.2, one account sends 6 times', 1.2, loud_factor=6.0),
)


class Request:
    """One request of a caller."""

    def __init__(self, *, kind, account: str, arrived_s: float, work_s: float):
        self.kind = kind
        self.account = account
        self.arrived_s = arrived_s
        self.work_s = work_s
        self.tried = set()
        self.sends = 0
        self.sent_s = 0.0

    def caller_request(self):
        """Return what admission reads of a caller's request."""
        head = types.SimpleNamespace(
            timeout_s=self.kind.timeout_s, request_id='r'
        )
        return types.SimpleNamespace(
            head=head, body=b'', arrived_s=self.arrived_s
        )


class Server:
    """A server with slots and a queue."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.running = 0
        self.queue = collections.deque()

    def receive(self, request, on_end) -> None:
        """Run, queue or shed a request."""
        simulation = self.simulation
        sheds = simulation.rng.random() < simulation.scene.shed_share
        if sheds or (self.running >= SLOTS and len(self.queue) >= QUEUE):
            simulation.schedule(HOP_S, on_end, False)
        elif self.running < SLOTS:
            self.start(request, on_end)
        else:
            self.queue.append((request, on_end))

    def start(self, request, on_end) -> None:
        """Run a request."""
        self.running += 1
        self.simulation.schedule(request.work_s, self.finish, on_end)

    def finish(self, on_end) -> None:
        """End a request and start the next whose caller still waits."""
        self.running -= 1
        self.simulation.schedule(HOP_S, on_end, True)
        while self.queue:
            request, next_end = self.queue.popleft()
            expires_s = request.arrived_s + request.kind.timeout_s
            if self.simulation.now < expires_s:
                self.start(request, next_end)
                return


class Instance:
    """An instance with the real decisions."""

    def __init__(self, simulation, number: int):
        self.simulation = simulation
        clock = simulation.clock
        entries = [
            instance_builders.make_registration(f's{n}', slots=SLOTS)
            for n in range(SERVERS)
        ]
        self.directory = instance_builders.make_directory(clock, *entries)
        self.placer = instance_builders.make_placer(
            self.directory, clock, seed=number
        )
        self.budget = retry_budget.RetryBudget(
            settings=retry_budget.BudgetSettings(0.2, 10.0, 1.5),
            clock=clock,
            rng=simulation.rng,
        )
        self.admission = admission.Admission(
            loads=service_load.ServiceLoads(
                directory=self.directory, clock=clock
            ),
            placer=self.placer,
            settings=admission.AdmissionSettings(simulation.min_share),
            weight_of=weight_of,
            metrics=types.SimpleNamespace(count=lambda *names: None),
            clock=clock,
            rng=random.Random(number),
        )
        self.routes = {
            kind.name: instance_builders.make_route(
                name=kind.name,
                idempotent=kind.idempotent,
                timeout_s=kind.timeout_s,
                target_latency_s=kind.target_s,
                priority=kind.priority,
            )
            for kind in CLASSES
        }

    def handle(self, request: Request) -> None:
        """Admit and dispatch a request."""
        route = self.routes[request.kind.name]
        if self.simulation.variant != 'none':
            refusal = self.admission.check(
                request.caller_request(),
                routing.RoutedService(route, 'ledger'),
                caller_identity.Caller(request.account, None),
            )
            if refusal is not None:
                self.simulation.end(request, 'refused')
                return
        self.budget.record_request()
        self.dispatch(request)

    def dispatch(self, request: Request) -> None:
        """Send a request to one server."""
        simulation = self.simulation
        route = self.routes[request.kind.name]
        chosen = self.placer.choose(route, 'ledger', 'r', 0, request.tried)
        if chosen is None:
            simulation.end(request, 'refused')
            return
        request.tried.add(chosen.server_id)
        request.sends += 1
        request.sent_s = simulation.now
        chosen.running += 1
        simulation.schedule(
            HOP_S,
            simulation.servers[chosen.server_id].receive,
            request,
            lambda is_run: self.finish(request, chosen, is_run),
        )

    def finish(self, request: Request, chosen, is_run: bool) -> None:
        """Record the end of a dispatch."""
        simulation = self.simulation
        chosen.running -= 1
        now = simulation.now
        elapsed_s = now - request.sent_s
        signal, slowness = evidence.HealthSignal.SHED, 0.0
        if is_run:
            if now > request.arrived_s + request.kind.timeout_s:
                return
            usage = self.placer.usage_of(self.routes[request.kind.name])
            signal = evidence.HealthSignal.GOOD
            slowness = elapsed_s / max(usage.seconds, 0.001)
            usage.record(elapsed_s, 1000)
        observation = evidence.Observation(
            chosen.server_id, signal, slowness, elapsed_s
        )
        shift = self.directory.record(observation, 'own')
        urgent = evidence_exchange.is_urgent(observation, shift)
        simulation.schedule(
            URGENT_S if urgent else BATCHED_S,
            simulation.share,
            self,
            observation,
        )
        if is_run:
            simulation.end(request, 'served')
        elif request.sends < 2 and self.budget.try_spend():
            self.dispatch(request)
        else:
            simulation.end(request, 'shed')


class Simulation:
    """Event queue with a simulated clock, callers and servers.

    Attributes
    ----------
    offered, served, refused, late : Counter
        Requests by class and by account, after the warm-up.
    worth : float
    latencies_s : dict of str to list of float
        By class.
    """

    def __init__(self, scene: Scene, variant: str, seed: int, min_share=0.25):
        self.scene = scene
        self.variant = variant
        self.min_share = 1.0 if variant == 'first come' else min_share
        self.now = 1000.0
        self.begin_s = self.now + WARM_UP_S
        self.pending = []
        self.sequence = itertools.count()
        self.rng = random.Random(seed)
        self.servers = {f's{n}': Server(self) for n in range(SERVERS)}
        self.offered = collections.Counter()
        self.served = collections.Counter()
        self.late = collections.Counter()
        self.ends = collections.Counter()
        self.worth = 0.0
        self.latencies_s = collections.defaultdict(list)
        self.instances = [Instance(self, n) for n in range(INSTANCES)]

    def clock(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def schedule(self, seconds: float, action, *arguments) -> None:
        """Call ``action`` after a delay in simulated time."""
        event = (self.now + seconds, next(self.sequence), action, arguments)
        heapq.heappush(self.pending, event)

    def share(self, source, observation) -> None:
        """Deliver an observation to all other instances."""
        for instance in self.instances:
            if instance is not source:
                instance.directory.record(observation, 'peer')

    def run(self) -> None:
        """Send requests for the time of the scene."""
        self.schedule(0.0, self.arrive)
        until_s = self.begin_s + self.scene.seconds
        while self.pending and self.pending[0][0] < until_s + 3.0:
            self.now, _, action, arguments = heapq.heappop(self.pending)
            if action == self.arrive and self.now > until_s:
                continue
            action(*arguments)

    def load(self) -> float:
        """Return the load now; half of the capacity during the warm-up."""
        if self.now < self.begin_s:
            return min(0.5, self.scene.load)
        return self.scene.load

    def arrive(self) -> None:
        """Let a request arrive at a random instance; schedule the next."""
        rng = self.rng
        [kind] = rng.choices(CLASSES, [one.share for one in CLASSES])
        weights = ACCOUNT_WEIGHTS
        if self.now >= self.begin_s and self.scene.loud_factor > 1:
            weights = list(weights)
            weights[LOUD_ACCOUNT] *= self.scene.loud_factor
        [account] = rng.choices(range(ACCOUNTS), weights)
        work_s = kind.work_s * rng.uniform(1 - WORK_SPREAD, 1 + WORK_SPREAD)
        if rng.random() < self.scene.long_share:
            work_s *= 7
        request = Request(
            kind=kind,
            account=str(account),
            arrived_s=self.now,
            work_s=work_s,
        )
        if self.now >= self.begin_s:
            self.offered[kind.name] += 1
            self.offered[request.account] += 1
        rng.choice(self.instances).handle(request)
        rate = self.load() * CAPACITY_PER_S
        self.schedule(rng.expovariate(rate), self.arrive)

    def end(self, request: Request, reason: str) -> None:
        """Count the end of a request."""
        if request.arrived_s < self.begin_s:
            return
        kind = request.kind
        self.ends[reason] += 1
        if reason != 'served':
            return
        latency_s = self.now - request.arrived_s
        self.latencies_s[kind.name].append(latency_s)
        self.served[kind.name] += 1
        self.served[request.account] += 1
        is_late = latency_s > kind.target_s
        self.late[kind.name] += is_late
        self.worth += kind.worth * (LATE_WORTH if is_late else 1.0)

    def bound(self) -> float:
        """Return the worth with full knowledge.

        All slots run without a pause. A quarter of each class is served, and
        beyond that the requests with the most worth for their work.
        """
        work_s = SERVERS * SLOTS * self.scene.seconds
        worth = 0.0
        factor = 1 + 6 * self.scene.long_share
        for kind in CLASSES:
            least = 0.25 * self.offered[kind.name]
            worth += least * kind.worth
            work_s -= least * kind.work_s * factor
        for kind in sorted(CLASSES, key=lambda one: -one.worth / one.work_s):
            rest = 0.75 * self.offered[kind.name]
            run = min(rest, max(0.0, work_s) / (kind.work_s * factor))
            worth += run * kind.worth
            work_s -= run * kind.work_s * factor
        return worth

    def served_shares(self, names) -> dict[str, float]:
        """Return the served share of classes or accounts."""
        return {
            name: self.served[name] / self.offered[name]
            for name in names
            if self.offered[name] >= 20
        }


def weight_of(account: str) -> float:
    """Return the permitted rate of an account."""
    return ACCOUNT_WEIGHTS[int(account)] if account else 1.0


def row(scene: Scene, variant: str, seed: int) -> str:
    """Run one scene and return a row of the table."""
    simulation = Simulation(scene, variant, seed)
    simulation.run()
    total = sum(simulation.offered[kind.name] for kind in CLASSES)
    mean = sum(simulation.served[kind.name] for kind in CLASSES) / total
    by_class = simulation.served_shares([kind.name for kind in CLASSES])
    by_account = simulation.served_shares(map(str, range(ACCOUNTS)))
    medians = []
    for kind in CLASSES:
        latencies_s = sorted(simulation.latencies_s[kind.name]) or [0.0]
        median_s = latencies_s[len(latencies_s) // 2]
        medians.append(f'{1000 * median_s:.0f}')
    late = sum(simulation.late.values()) / total
    return ' | '.join(
        [
            scene.name,
            variant,
            f'{simulation.worth / simulation.bound():.3f}',
            f'{mean:.3f}',
            f'{late:.3f}',
            ' '.join(f'{share:.2f}' for share in by_class.values()),
            f'{min(by_account.values()):.2f}',
            f'{by_account.get(str(LOUD_ACCOUNT), 0):.2f}',
            ' '.join(medians),
            f'{simulation.ends["refused"] / total:.3f}',
            f'{simulation.ends["shed"] / total:.3f}',
        ]
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--scene', default='')
    parser.add_argument('--seconds', type=float, default=20.0)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print(
        'scene | variant | share of the bound | served | late | served of'
        ' payments, status, declarations, amendments | least account |'
        ' loud account | medians in ms | refused | shed'
    )
    for scene in SCENES:
        if options.scene not in scene.name:
            continue
        scene = scene._replace(seconds=options.seconds)
        for variant in VARIANTS:
            print(row(scene, variant, options.seed), flush=True)


if __name__ == '__main__':
    main()

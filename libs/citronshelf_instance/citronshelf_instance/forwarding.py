"""One request of a caller, from its route to its outcome."""

import asyncio
import logging
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_common import outcomes
from citronshelf_entry import upstream
from citronshelf_instance import answers
from citronshelf_instance import caller_request
from citronshelf_instance import dispatch
from citronshelf_instance import events
from citronshelf_instance import placement
from citronshelf_instance import registrations
from citronshelf_instance import retry_budget
from citronshelf_instance import routing

LOG = logging.getLogger(__name__)

# Servers whose connection failed before anything was sent; each costs at
# most one connect timeout.
MAX_UNREACHED = 4
# An answer that takes longer than this many times the usual is a sign against
# its server, and an idempotent request is sent to a second one.
STALL_FACTOR = 3.0
MIN_STALL_S = 0.05
# A request that ends within this time is not sent to another server.
MIN_REMAINING_S = 0.02
# The answer to a timeout must reach the caller before its own clock runs out.
ANSWER_MARGIN_S = 0.01
DEFAULT_DEADLINE_S = 30.0


class BudgetTerms(NamedTuple):
    """Budget of repeats of each service over the fleet.

    Attributes
    ----------
    ratio : float
        Repeats for each fresh request.
    slack : float
        Repeats beyond the ratio in each window.
    window_s : float
    """

    ratio: float
    slack: float
    window_s: float


class Forwarder:
    """Sends requests to backend servers.

    Parameters
    ----------
    placer : Placer
    client : UpstreamClient
    names : HeaderNames
    terms : BudgetTerms
    instances : callable
        Returns how many instances share the budgets.
    observe : callable
        Takes each ``Observation``.
    metrics : InstanceMetrics
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        *,
        placer: placement.Placer,
        client: upstream.UpstreamClient,
        names: caller_request.HeaderNames,
        terms: BudgetTerms,
        instances,
        observe,
        metrics,
        clock,
    ):
        self.placer = placer
        self.client = client
        self.names = names
        self.terms = terms
        self.instances = instances
        self.observe = observe
        self.metrics = metrics
        self.clock = clock
        self.began_s = clock()
        self.budgets: dict[str, retry_budget.RetryBudget] = {}

    def set_terms(self, terms: BudgetTerms) -> None:
        """Use other terms from now on; what was spent stays spent."""
        self.terms = terms
        for budget in self.budgets.values():
            budget.ratio = terms.ratio
            budget.slack = terms.slack
            budget.window_s = terms.window_s

    def budget_of(self, service: str) -> retry_budget.RetryBudget:
        """Return the budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = retry_budget.RetryBudget(
                ratio=self.terms.ratio,
                slack=self.terms.slack,
                window_s=self.terms.window_s,
                slack_from_s=self.began_s + self.terms.window_s,
                clock=self.clock,
            )
        return budget

    async def run(
        self,
        request: caller_request.CallerRequest,
        routed: routing.RoutedService,
    ) -> outcomes.Outcome:
        """Run a request until there is a final outcome."""
        self.budget_of(routed.service).record_fresh()
        running = RunningRequest(
            forwarder=self, request=request, routed=routed
        )
        try:
            return await running.run()
        finally:
            running.cancel()


class RunningRequest:
    """Dispatches of one request.

    Parameters
    ----------
    forwarder : Forwarder
    request : CallerRequest
    routed : RoutedService
    """

    def __init__(self, *, forwarder, request, routed):
        self.forwarder = forwarder
        self.request = request
        self.route = routed.route
        self.service = routed.service
        waits_s = request.head.deadline_s or DEFAULT_DEADLINE_S
        ends_in_s = min(waits_s, self.route.timeout_s) - ANSWER_MARGIN_S
        self.ends_s = request.arrived_s + ends_in_s
        self.tried: set[str] = set()
        self.sent = 0
        self.unreached = 0
        self.running: dict[asyncio.Task, dispatch.Dispatch] = {}
        self.stalls_s: float | None = None
        self.may_have_run = ''
        self.failed_answer: outcomes.Response | None = None
        self.refusal = 'no-server'

    async def run(self) -> outcomes.Outcome:
        """Dispatch until a server answers or nothing more may be tried."""
        self.start(is_repeat=False)
        while self.running:
            await asyncio.wait(
                self.running,
                timeout=max(0.0, self.wake_s() - self.forwarder.clock()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            answered = self.take_ended()
            if answered is not None:
                return answered
            if self.forwarder.clock() >= self.ends_s:
                return self.end_late()
            self.look_for_stall()
        return self.conclude()

    def wake_s(self) -> float:
        """Return when to act without an answer."""
        if self.stalls_s is None:
            return self.ends_s
        return min(self.stalls_s, self.ends_s)

    def take_ended(self) -> outcomes.Response | None:
        """Take the dispatches that ended; returns an answer to pass on."""
        for task in [task for task in self.running if task.done()]:
            one = self.running.pop(task)
            result = task.result()
            self.forwarder.metrics.count_dispatch(result.kind)
            match result:
                case dispatch.Good():
                    return result.answer
                case dispatch.NotRun():
                    self.take_not_run(one, result)
                case dispatch.ServerFailed():
                    self.failed_answer = result.answer
                    self.try_again()
                case dispatch.Lost():
                    self.may_have_run = result.reason
                    self.try_again()
        return None

    def take_not_run(self, one: dispatch.Dispatch, result) -> None:
        """Choose another server for work that provably did not run."""
        self.refusal = result.reason
        if not result.arrived:
            self.sent -= 1
            self.unreached += 1
            if self.unreached > MAX_UNREACHED:
                return
        if not self.running:
            self.start(is_repeat=self.sent > 0)

    def try_again(self) -> None:
        """Repeat idempotent work that failed."""
        if self.route.idempotent and not self.running:
            self.start(is_repeat=True)

    def start(self, *, is_repeat: bool) -> bool:
        """Dispatch to one more server if route, time and budget allow it."""
        forwarder = self.forwarder
        now = forwarder.clock()
        if self.sent >= max(1, self.route.max_servers):
            return False
        if now + MIN_REMAINING_S >= self.ends_s:
            return False
        server = forwarder.placer.choose(
            self.route,
            self.service,
            self.request.head.request_id,
            len(self.request.body),
            self.tried,
        )
        if server is None:
            return False
        if is_repeat and not self.take_budget():
            return False
        self.tried.add(server.server_id)
        self.sent += 1
        one = dispatch.Dispatch(
            forwarder=forwarder,
            request=self.request,
            route=self.route,
            server=server,
            ends_s=self.ends_s,
        )
        task = asyncio.create_task(one.run())
        self.running[task] = one
        self.stalls_s = now + self.stall_time_s(server)
        return True

    def take_budget(self) -> bool:
        """Spend one repeat."""
        forwarder = self.forwarder
        budget = forwarder.budget_of(self.service)
        if budget.take(forwarder.instances()):
            return True
        log_events.log_event(
            LOG,
            events.REPEAT_DENIED,
            request_id=self.request.head.request_id,
            service=self.service,
            repeats=len(budget.repeats),
            fresh=len(budget.fresh),
            instances=forwarder.instances(),
        )
        forwarder.metrics.count('repeats_denied')
        return False

    def stall_time_s(self, server: registrations.ServerState) -> float:
        """Return the time after which a server's answer is overdue."""
        placer = self.forwarder.placer
        usual_s = placer.usage_of(self.route).seconds
        _, latency_s = placer.distance(server, 0.0)
        # Behind a queue a late answer is no sign against the server.
        queued = max(1.0, server.evidence.slowness)
        return max(MIN_STALL_S, STALL_FACTOR * usual_s * queued + latency_s)

    def look_for_stall(self) -> None:
        """Act on a server whose answer is overdue."""
        if self.stalls_s is None or self.forwarder.clock() < self.stalls_s:
            return
        self.stalls_s = None
        for one in self.running.values():
            one.note_stall()
        if self.route.idempotent and self.start(is_repeat=True):
            self.forwarder.metrics.count('hedges')

    def end_late(self) -> outcomes.Outcome:
        """Return the outcome when the time is over."""
        for one in self.running.values():
            one.note_timeout()
        if any(one.is_sent() for one in self.running.values()):
            self.may_have_run = self.may_have_run or answers.TIMEOUT
        return self.conclude()

    def conclude(self) -> outcomes.Outcome:
        """Return the outcome when no server gave a good answer."""
        if self.failed_answer is not None:
            return self.failed_answer
        if self.may_have_run:
            return outcomes.Unknown(reason=self.may_have_run)
        return outcomes.NotRun(reason=self.refusal)

    def cancel(self) -> None:
        """Stop what still runs; servers see their connections close."""
        for task in self.running:
            task.cancel()

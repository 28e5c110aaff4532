"""Forwarding of a caller's request until it has an outcome."""

import asyncio
import logging

from citronshelf_common import events as log_events
from citronshelf_common import outcomes
from citronshelf_entry import request_head
from citronshelf_entry import upstream
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import caller_response
from citronshelf_instance import dispatch
from citronshelf_instance import events
from citronshelf_instance import hedging
from citronshelf_instance import placement
from citronshelf_instance import registrations
from citronshelf_instance import request_hedge
from citronshelf_instance import retry_budget
from citronshelf_instance import routing

LOG = logging.getLogger(__name__)

# After more than this many dispatches that fail before anything is sent, a
# request is not dispatched again. Each takes at most one connect timeout.
MAX_FAILED_CONNECTIONS = 4
# A response that takes longer than this many times the usual time is evidence
# against its server, and an idempotent request is hedged on a second one.
STALL_FACTOR = 3.0
MIN_STALL_S = 0.05
# A request that expires within this time is not dispatched to a server.
MIN_REMAINING_S = 0.02
# A request that two servers shed is worth a third send only if they shed at
# random. Where requests queue, servers shed because they are full.
MAX_RESENDS = 1
RESEND_MAX_SLOWNESS = 1.5
# Subtracted from the deadline, so that the response that reports a timeout
# reaches the caller before the caller gives up.
RESPONSE_MARGIN_S = 0.01
SHUTDOWN_REASON = 'shutdown'
CALLER_CHANGED_REASON = 'account-changed'

FinalOutcome = outcomes.Outcome | caller_identity.Refused


class Forwarder:
    """Sends requests to backend servers.

    Parameters
    ----------
    placer : Placer
    client : UpstreamClient
    names : HeaderNames
    budgets : RetryBudgets
    borrow : callable
        Called with a service; awaits a credit of other instances for its
        budget, for a short time.
    observe : callable
        Called with each ``Observation``.
    metrics : InstanceMetrics
    clock : callable
        Monotonic seconds.
    report_leaving : callable
        Called with a ``RegisteredServer`` that announced that it leaves.
    identifier : CallerIdentifier or None
        Identifies callers again before each dispatch; None without accounts.
    max_response_bytes : int
        Larger responses are not passed on.
    max_resends : int
        How often one request may be sent again to a server that shed it, if
        no other server may be used.
    hedger : Hedger or None
        Decides about second attempts for which there are settings.

    Attributes
    ----------
    ending : bool
        No request is dispatched any more, and cancelled requests get an
        outcome.
    """

    def __init__(
        self,
        *,
        placer: placement.Placer,
        client: upstream.UpstreamClient,
        names: caller_request.HeaderNames,
        budgets: retry_budget.RetryBudgets,
        borrow,
        observe,
        metrics,
        clock,
        report_leaving=lambda server: None,
        identifier: caller_identity.CallerIdentifier | None = None,
        max_response_bytes: int = dispatch.MAX_RESPONSE_BYTES,
        max_resends: int = 0,
        hedger: hedging.Hedger | None = None,
    ):
        self.max_resends = max_resends
        self.hedger = hedger
        self.report_leaving = report_leaving
        self.identifier = identifier
        self.max_response_bytes = max_response_bytes
        self.placer = placer
        self.client = client
        self.names = names
        self.budgets = budgets
        self.borrow = borrow
        self.observe = observe
        self.metrics = metrics
        self.clock = clock
        self.ending = False

    async def run(
        self,
        request: caller_request.CallerRequest,
        routed: routing.RoutedService,
        caller: caller_identity.Caller = caller_identity.ANONYMOUS,
    ) -> FinalOutcome:
        """Forward a request and return its final outcome.

        The request counts for the retry budget of its service. Dispatches that
        are still running at the end are cancelled. While the instance ends, a
        cancelled request has an outcome as well.
        """
        self.budgets.get(routed.service).record_request()
        running = RunningRequest(
            forwarder=self, request=request, routed=routed, caller=caller
        )
        running.hedge.record_request()
        try:
            return await running.run()
        except asyncio.CancelledError:
            if not self.ending:
                raise
            asyncio.current_task().uncancel()
            return running.stop()
        finally:
            running.cancel()
            running.hedge.record_end()


class RunningRequest:
    """One request with all its dispatches.

    Parameters
    ----------
    forwarder : Forwarder
    request : CallerRequest
    routed : RoutedService
    caller : Caller
    """

    def __init__(
        self,
        *,
        forwarder,
        request,
        routed,
        caller: caller_identity.Caller = caller_identity.ANONYMOUS,
    ):
        self.forwarder = forwarder
        self.request = request
        self.caller = caller
        self.route = routed.route
        self.service = routed.service
        timeout_s = (
            min(request.head.timeout_s, self.route.timeout_s)
            - RESPONSE_MARGIN_S
        )
        self.expires_s = request.arrived_s + timeout_s
        self.tried: set[str] = set()
        self.shed_by: set[str] = set()
        self.dispatches = 0
        self.resends = 0
        self.failed_connections = 0
        self.running: dict[asyncio.Task, dispatch.Dispatch] = {}
        self.all_dispatches: list[dispatch.Dispatch] = []
        # Waits for a credit with which to start a retry.
        self.loan: asyncio.Task | None = None
        self.may_borrow = True
        self.overdue_at_s: float | None = None
        self.unknown_reason = ''
        self.failed_response: outcomes.Response | None = None
        self.not_run_reason = 'no-server'
        self.refusal: request_head.RequestRefusal | None = None
        self.hedge = request_hedge.RequestHedge(running=self)

    async def run(self) -> FinalOutcome:
        """Dispatch until there is an outcome and return it.

        This is when a good response arrives, the request expires or nothing
        more may be tried.
        """
        self.start(is_retry=False)
        while waiting := self.unfinished_tasks():
            await asyncio.wait(
                waiting,
                timeout=max(
                    0.0, self.next_wakeup_s() - self.forwarder.clock()
                ),
                return_when=asyncio.FIRST_COMPLETED,
            )
            response = self.collect_finished()
            if response is not None:
                return response
            if self.forwarder.clock() >= self.expires_s:
                return self.time_out()
            self.check_loan()
            self.check_for_stall()
            self.hedge.check()
        return self.final_outcome()

    def unfinished_tasks(self) -> set[asyncio.Task]:
        """Return the tasks that may lead to an outcome."""
        loan = {self.loan} if self.loan is not None else set()
        return loan | self.running.keys()

    def next_wakeup_s(self) -> float:
        """Return the monotonic time to act if no dispatch has finished."""
        times_s = (self.overdue_at_s, self.hedge.start_at_s, self.expires_s)
        return min(each for each in times_s if each is not None)

    def collect_finished(self) -> outcomes.Response | None:
        """Handle finished dispatches.

        Returns a good response to pass on, or None if there is none yet.
        """
        for task in [task for task in self.running if task.done()]:
            finished_dispatch = self.running.pop(task)
            result = task.result()
            self.forwarder.metrics.count_dispatch(result.kind)
            match result:
                case dispatch.GoodResult():
                    self.hedge.record_response(finished_dispatch)
                    return result.response
                case dispatch.NotRunResult():
                    self.handle_not_run(finished_dispatch, result)
                case dispatch.ServerErrorResult():
                    self.failed_response = result.response
                    self.retry()
                case dispatch.LostResult():
                    self.unknown_reason = result.reason
                    self.retry()
        return None

    def handle_not_run(
        self, finished_dispatch: dispatch.Dispatch, result
    ) -> None:
        """Try another server for work that provably did not run.

        Dispatches nothing while another dispatch is running. Failed
        connections do not count against the route's limit of servers, but have
        a limit of their own, ``MAX_FAILED_CONNECTIONS``.
        """
        self.not_run_reason = result.reason
        if result.refused_by_server:
            self.shed_by.add(finished_dispatch.server.server_id)
        else:
            if not finished_dispatch.is_resend:
                self.dispatches -= 1
            self.failed_connections += 1
            if self.failed_connections > MAX_FAILED_CONNECTIONS:
                return
        if not self.running:
            self.start(is_retry=self.dispatches > 0)

    def retry(self) -> None:
        """Retry an idempotent request unless another dispatch is running."""
        if self.route.idempotent and not self.running:
            self.start(is_retry=True)

    def start(
        self, *, is_retry: bool, excluded: frozenset[str] = frozenset()
    ) -> bool:
        """Dispatch to one more server if possible.

        The route's limit of servers, the remaining time, a caller whose key
        was withdrawn, a lack of usable servers, the end of the instance or,
        for a retry, the retry budget can prevent it. Without a credit, a
        retry is started later if another instance lends one. Returns whether
        the request was dispatched.

        Parameters
        ----------
        is_retry : bool
        excluded : frozenset of str
            Ids of servers that must not get this dispatch.
        """
        forwarder = self.forwarder
        now = forwarder.clock()
        if forwarder.ending:
            self.not_run_reason = SHUTDOWN_REASON
            return False
        if is_retry and self.loan is not None:
            return False
        if now + MIN_REMAINING_S >= self.expires_s:
            return False
        if not self.confirm_caller():
            return False
        server = self.choose_server(excluded)
        if server is None:
            return False
        if is_retry and not self.try_spend_retry():
            self.borrow_for_retry()
            return False
        is_resend = server.server_id in self.tried
        self.tried.add(server.server_id)
        if is_resend:
            self.resends += 1
        else:
            self.dispatches += 1
        new_dispatch = dispatch.Dispatch(
            forwarder=forwarder,
            request=self.request,
            route=self.route,
            caller=self.caller,
            server=server,
            expires_s=self.expires_s,
            is_resend=is_resend,
        )
        new_dispatch.overdue_at_s = now + self.stall_timeout_s(server)
        if self.overdue_at_s is None or not self.running:
            self.overdue_at_s = new_dispatch.overdue_at_s
        task = asyncio.create_task(new_dispatch.run())
        self.running[task] = new_dispatch
        self.all_dispatches.append(new_dispatch)
        self.hedge.plan(new_dispatch)
        if is_retry and len(self.running) > 1:
            forwarder.metrics.count('hedges')
        return True

    def confirm_caller(self) -> bool:
        """Identify the caller by the configuration in force.

        Returns False if it is refused, or if its account has changed after
        the request was sent: two servers would get it for two accounts.
        """
        identifier = self.forwarder.identifier
        if identifier is None:
            return True
        confirmed = identifier.confirm(
            self.caller, self.request.head, self.route
        )
        if confirmed.is_error():
            self.refusal = confirmed.error
            self.log_changed_caller(self.refusal.reason)
            return False
        if confirmed.ok.account != self.caller.account:
            self.log_changed_caller(CALLER_CHANGED_REASON)
            if any(one.is_sent() for one in self.all_dispatches):
                self.not_run_reason = CALLER_CHANGED_REASON
                return False
        self.caller = confirmed.ok
        return True

    def log_changed_caller(self, reason: str) -> None:
        """Log that the caller is refused or has another account."""
        log_events.log_event(
            LOG,
            events.CALLER_CHANGED,
            request_id=self.request.head.request_id,
            account=self.caller.account or '',
            revision=self.caller.revision,
            reason=reason,
        )

    def choose_server(
        self, excluded: frozenset[str]
    ) -> registrations.RegisteredServer | None:
        """Choose a new server, or one that shed the request if none is left.

        A server counts once against the route's limit, however often it gets
        the request. Returns None if the request may not be sent again.

        Parameters
        ----------
        excluded : frozenset of str
            Ids of servers that must not get this dispatch.
        """
        if self.dispatches < max(1, self.route.max_servers):
            server = self.choose_except(self.tried | excluded)
            if server is not None:
                return server
        if self.running or self.resends >= self.forwarder.max_resends:
            return None
        usable = self.forwarder.placer.directory.usable(self.service)
        others = {
            server.server_id
            for server in usable
            if server.server_id not in self.shed_by
            or server.estimate.slowness >= RESEND_MAX_SLOWNESS
        }
        if len(others) == len(usable):
            return None
        return self.choose_except(others)

    def choose_except(self, excluded):
        """Choose a server whose id is not excluded; None if none is left."""
        return self.forwarder.placer.choose(
            self.route,
            self.service,
            self.request.head.request_id,
            len(self.request.body),
            excluded,
        )

    def try_spend_retry(self) -> bool:
        """Spend one retry from the retry budget; log the decision."""
        is_allowed = self.forwarder.budgets.get(self.service).try_spend()
        if is_allowed or not self.may_borrow:
            self.log_retry(is_allowed)
        return is_allowed

    def log_retry(self, is_allowed: bool) -> None:
        """Log and count whether the retry budget allows a retry."""
        forwarder = self.forwarder
        budget = forwarder.budgets.get(self.service)
        log_events.log_event(
            LOG,
            events.RETRY_ALLOWED if is_allowed else events.RETRY_DENIED,
            request_id=self.request.head.request_id,
            service=self.service,
            repeats=len(budget.retries),
            fresh=len(budget.requests),
            credits=budget.count_credits(),
            has_asked=not self.may_borrow,
        )
        forwarder.metrics.count('repeats' if is_allowed else 'repeats_denied')

    def borrow_for_retry(self) -> None:
        """Ask other instances for a credit, once for each request."""
        if self.may_borrow:
            self.may_borrow = False
            self.loan = asyncio.create_task(
                self.forwarder.borrow(self.service)
            )

    def check_loan(self) -> None:
        """Start the retry that has waited for a credit.

        A dispatch that has begun meanwhile gets its time before it is hedged.
        A non-idempotent request has no running dispatch here: it asks for a
        credit only after the last one has provably not run.
        """
        if self.loan is None or not self.loan.done():
            return
        self.loan = None
        if self.running and self.hedge.rule is not None:
            self.hedge.start()
        elif not self.running or self.overdue_at_s is None:
            self.start(is_retry=True)

    def stall_timeout_s(self, server: registrations.RegisteredServer) -> float:
        """Return the seconds after which a server's response is overdue."""
        placer = self.forwarder.placer
        usual_s = placer.usage_of(self.route).seconds
        _, latency_s = placer.distance(server, 0.0)
        # Behind a queue, a late response is no evidence against the server.
        queue_factor = max(1.0, server.estimate.slowness)
        return max(
            MIN_STALL_S, STALL_FACTOR * usual_s * queue_factor + latency_s
        )

    def check_for_stall(self) -> None:
        """Record a stall and hedge if a response is overdue.

        Only idempotent requests are hedged, and only while a dispatch runs:
        after the last one has ended, its retry has been decided. With settings
        for second attempts, those decide instead.
        """
        now = self.forwarder.clock()
        if self.overdue_at_s is None or now < self.overdue_at_s:
            return
        self.overdue_at_s = None
        for running_dispatch in self.running.values():
            if running_dispatch.overdue_at_s <= now:
                running_dispatch.record_stall()
            elif self.overdue_at_s is None:
                self.overdue_at_s = running_dispatch.overdue_at_s
        if self.route.idempotent and self.running and self.hedge.rule is None:
            self.start(is_retry=True)

    def time_out(self) -> FinalOutcome:
        """Return the outcome of an expired request.

        Running dispatches are recorded as timed out. If one of them may have
        reached its server, the work counts as possibly run.
        """
        for running_dispatch in self.running.values():
            running_dispatch.record_timeout()
        self.hedge.record_first_time()
        if self.abort_running():
            self.unknown_reason = (
                self.unknown_reason or caller_response.TIMEOUT_REASON
            )
        return self.final_outcome()

    def stop(self) -> FinalOutcome:
        """Return the outcome of a request that the shutdown ends."""
        response = self.collect_finished()
        if response is not None:
            return response
        if self.abort_running():
            self.unknown_reason = self.unknown_reason or SHUTDOWN_REASON
        self.not_run_reason = SHUTDOWN_REASON
        return self.final_outcome()

    def abort_running(self) -> bool:
        """Abort running dispatches; return whether one may have been sent.

        Nothing is sent after this, so that an outcome "not run" stays true.
        """
        for running_dispatch in self.running.values():
            running_dispatch.abort()
        return any(
            running_dispatch.is_sent()
            for running_dispatch in self.running.values()
        )

    def final_outcome(self) -> FinalOutcome:
        """Return the outcome of a request without a good response.

        A server's error response takes precedence, then ``Unknown`` if a
        server may have run the request, then the refusal of the caller.
        """
        if self.failed_response is not None:
            return self.failed_response
        if self.unknown_reason:
            return outcomes.Unknown(reason=self.unknown_reason)
        if self.refusal is not None:
            return caller_identity.Refused(self.refusal)
        directory = self.forwarder.placer.directory
        return outcomes.NotRun(
            reason=self.not_run_reason,
            retry_after_s=directory.retry_after_s(self.service),
        )

    def cancel(self) -> None:
        """Cancel running dispatches, which closes their connections.

        The responses of finished ones are released only now: a server's error
        response is held while the request is retried.
        """
        for task in self.unfinished_tasks():
            task.cancel()
        for any_dispatch in self.all_dispatches:
            any_dispatch.abort()

"""Handling of callers' requests from routing to the final response."""

import asyncio
import dataclasses
import logging
import traceback

from citronshelf_common import events as log_events
from citronshelf_common import outcomes
from citronshelf_entry import request_head
from citronshelf_instance import admission
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import caller_response
from citronshelf_instance import configuration
from citronshelf_instance import events
from citronshelf_instance import forwarding
from citronshelf_instance import metrics
from citronshelf_instance import published
from citronshelf_instance import quota
from citronshelf_instance import quota_exchange
from citronshelf_instance import routing
from citronshelf_instance import store_reader

LOG = logging.getLogger(__name__)
# Requests that arrive while the process starts wait for the first read of the
# store, which takes about a tenth of this.
FIRST_READ_WAIT_S = 0.5
# Only the end of a traceback, with the exception itself, is logged.
MAX_TRACE_CHARACTERS = 2000


@dataclasses.dataclass(kw_only=True)
class HandledRequest:
    """What the steps find out about one request.

    Attributes
    ----------
    request : CallerRequest
    routes : RouteTable or None
        The table in which the route was found. Another one may be in force
        after a step that waits.
    route : Route or None
    caller : Caller
    routed : RoutedService or None
        The route with the service that was chosen for the request.
    token : Token or None
        Token of the account's quota; None if it has no limit.
    """

    request: caller_request.CallerRequest
    routes: routing.RouteTable | None = None
    route: configuration.Route | None = None
    caller: caller_identity.Caller = caller_identity.ANONYMOUS
    routed: routing.RoutedService | None = None
    token: quota.Token | None = None


class RequestHandler:
    """Takes requests through the steps that lead to a response.

    Each step before the forwarding is a method that adds what it finds out
    to a ``HandledRequest``, and returns a ``RequestRefusal`` or None.

    Parameters
    ----------
    state : PublishedState
    reader : StoreReader
    identifier : CallerIdentifier
    forwarder : Forwarder
    metrics : InstanceMetrics
    clock : callable
        Monotonic seconds.
    quotas : QuotaExchange or None
        None if accounts have no quotas.
    admission_control : Admission or None
        All requests are admitted if None.
    """

    def __init__(
        self,
        *,
        state: published.PublishedState,
        reader: store_reader.StoreReader,
        identifier: caller_identity.CallerIdentifier,
        forwarder: forwarding.Forwarder,
        metrics: metrics.InstanceMetrics,
        clock,
        quotas: quota_exchange.QuotaExchange | None = None,
        admission_control: admission.Admission | None = None,
    ):
        self.quotas = quotas
        self.admission_control = admission_control
        self.state = state
        self.reader = reader
        self.identifier = identifier
        self.forwarder = forwarder
        self.metrics = metrics
        self.clock = clock

    def may_run_concurrently(self, head: caller_request.RequestHead) -> bool:
        """Return whether a request may run before earlier ones have finished.

        Only requests to non-idempotent routes must wait for them.
        """
        if self.state.routes is None:
            return True
        route = self.state.routes.match(head.host, head.path)
        return route is None or route.idempotent

    async def handle(
        self, request: caller_request.CallerRequest
    ) -> caller_response.CallerResponse:
        """Return the response to a request and record its metrics.

        An internal error is logged and gives a response with status 502.
        """
        try:
            response, route_name = await self.respond(request)
        except Exception as error:
            trace = ''.join(traceback.format_exception(error))
            log_events.log_event(
                LOG,
                events.REQUEST_FAULT,
                request_id=request.head.request_id,
                reason=trace[-MAX_TRACE_CHARACTERS:],
            )
            response = caller_response.error_response(
                502, 'unknown', 'internal-fault'
            )
            route_name = ''
        elapsed_s = self.clock() - request.arrived_s
        self.metrics.record_request(route_name, response.status, elapsed_s)
        return response

    async def respond(
        self, request: caller_request.CallerRequest
    ) -> tuple[caller_response.CallerResponse, str]:
        """Return the response to a request and the name of its route.

        The name is empty if the request was refused before the forwarding.
        """
        handled = HandledRequest(request=request)
        refusal = await self.find_refusal(handled)
        if refusal is not None:
            self.return_token(handled)
            return self.refuse(handled, refusal), ''
        return await self.forward(handled), handled.route.name

    async def find_refusal(
        self, handled: HandledRequest
    ) -> request_head.RequestRefusal | None:
        """Take the steps before the forwarding, up to the first refusal."""
        return (
            await self.await_configuration()
            or self.find_route(handled)
            or self.identify_caller(handled)
            or await self.check_quota(handled)
            or self.choose_service(handled)
            or self.check_admission(handled)
        )

    async def await_configuration(self) -> request_head.RequestRefusal | None:
        """Wait a short time for the first configuration."""
        if await self.wait_routable():
            return None
        return request_head.RequestRefusal(503, 'no configuration')

    def find_route(
        self, handled: HandledRequest
    ) -> request_head.RequestRefusal | None:
        """Find the route of a request."""
        head = handled.request.head
        handled.routes = self.state.routes
        handled.route = handled.routes.match(head.host, head.path)
        return self.refusal_without_route() if handled.route is None else None

    def identify_caller(
        self, handled: HandledRequest
    ) -> request_head.RequestRefusal | None:
        """Identify the caller by the configuration in force."""
        identified = self.identifier.identify(
            handled.request.head, handled.route
        )
        if identified.is_error():
            return identified.error
        handled.caller = identified.ok
        is_anonymous = handled.caller.account is None
        self.metrics.count(
            'callers', 'anonymous' if is_anonymous else 'account'
        )
        return None

    def choose_service(
        self, handled: HandledRequest
    ) -> request_head.RequestRefusal | None:
        """Choose a service of the route by the weights."""
        handled.routed = handled.routes.assign(handled.route)
        return None

    async def forward(
        self, handled: HandledRequest
    ) -> caller_response.CallerResponse:
        """Forward a request to a server and return the response."""
        outcome = await self.forwarder.run(
            handled.request, handled.routed, handled.caller
        )
        if isinstance(outcome, outcomes.NotRun | caller_identity.Refused):
            self.return_token(handled)
        if isinstance(outcome, caller_identity.Refused):
            return self.refuse(handled, outcome.refusal)
        response = caller_response.from_outcome(
            outcome, handled.request.head, self.forwarder.names
        )
        reason = getattr(outcome, 'reason', '')
        self.log_request_end(handled, response, reason)
        return response

    async def check_quota(
        self, handled: HandledRequest
    ) -> request_head.RequestRefusal | None:
        """Take a token of the caller's account, if it has a limit."""
        account = handled.caller.account
        if self.quotas is None or account is None:
            return None
        try:
            token = await self.quotas.admit(account)
        except asyncio.CancelledError:
            if not self.forwarder.ending:
                raise
            asyncio.current_task().uncancel()
            return request_head.RequestRefusal(503, 'shutting down')
        if isinstance(token, quota.Refused):
            return request_head.RequestRefusal(
                429, 'quota', retry_after_s=token.wait_s
            )
        handled.token = token
        return None

    def check_admission(
        self, handled: HandledRequest
    ) -> request_head.RequestRefusal | None:
        """Refuse a request for which its service has no room."""
        if self.admission_control is None:
            return None
        return self.admission_control.check(
            handled.request, handled.routed, handled.caller
        )

    def return_token(self, handled: HandledRequest) -> None:
        """Give back the token of a request that did not run."""
        if handled.token is not None:
            self.quotas.give_back(handled.token)
            handled.token = None

    async def wait_routable(self) -> bool:
        """Wait a short time until requests can be routed.

        Returns False if they cannot, or if the shutdown ends the request.
        """
        try:
            return await self.state.wait_routable(FIRST_READ_WAIT_S)
        except asyncio.CancelledError:
            if not self.forwarder.ending:
                raise
            asyncio.current_task().uncancel()
            return False

    def refusal_without_route(self) -> request_head.RequestRefusal:
        """Return the refusal of a request that matches no route.

        A newer configuration may have the route.
        """
        if self.reader.is_up_to_date():
            return request_head.RequestRefusal(404, 'no such route')
        return request_head.RequestRefusal(503, 'outdated configuration')

    def refuse(
        self, handled: HandledRequest, refusal: request_head.RequestRefusal
    ) -> caller_response.CallerResponse:
        """Count and log the refusal of a request; return the response."""
        self.metrics.record_refusal(refusal.status, refusal.reason)
        response = caller_response.from_refusal(
            refusal, closes_connection=False
        )
        self.log_request_end(handled, response, refusal.reason)
        return response

    def record_unread_request(
        self, refusal: request_head.RequestRefusal, request_id: str
    ) -> None:
        """Count and log the refusal of a request that cannot be read."""
        self.metrics.record_refusal(refusal.status, refusal.reason)
        log_events.log_event(
            LOG,
            events.REQUEST_REFUSED,
            request_id=request_id,
            status=refusal.status,
            reason=refusal.reason,
            **self.configuration_fields(),
        )

    def configuration_fields(self) -> dict[str, float | None]:
        """Return log fields about the configuration that decides a request."""
        published_configuration = self.state.configuration
        age_s = self.state.age_s()
        return {
            'configuration_revision': published_configuration.revision
            if published_configuration
            else 0,
            'configuration_age_s': None if age_s is None else round(age_s, 3),
        }

    def log_request_end(
        self,
        handled: HandledRequest,
        response: caller_response.CallerResponse,
        reason: str,
    ) -> None:
        """Log the final response to a request and the reason for it."""
        head = handled.request.head
        elapsed_s = self.clock() - handled.request.arrived_s
        log_events.log_event(
            LOG,
            events.REQUEST_ENDED,
            request_id=head.request_id,
            method=head.method[:32],
            host=head.host,
            path=head.path[:200],
            route=handled.route.name if handled.route else '',
            account=handled.caller.account or '',
            deadline_s=head.deadline_s,
            status=response.status,
            reason=reason,
            elapsed_ms=round(elapsed_s * 1000, 1),
            **self.configuration_fields(),
        )

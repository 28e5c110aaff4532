"""Handling of callers' requests from routing to the final response."""

import asyncio
import logging
import traceback

from citronshelf_common import events as log_events
from citronshelf_entry import request_head
from citronshelf_instance import admission
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import caller_response
from citronshelf_instance import events
from citronshelf_instance import forwarding
from citronshelf_instance import metrics
from citronshelf_instance import published
from citronshelf_instance import store_reader

LOG = logging.getLogger(__name__)
# Requests that arrive while the process starts wait for the first read of the
# store, which takes about a tenth of this.
FIRST_READ_WAIT_S = 0.5
# Only the end of a traceback, with the exception itself, is logged.
MAX_TRACE_CHARACTERS = 2000


class RequestHandler:
    """Routes requests and refuses those that have no route.

    Parameters
    ----------
    state : PublishedState
    reader : StoreReader
    forwarder : Forwarder
    metrics : InstanceMetrics
    clock : callable
        Monotonic seconds.
    admission_control : Admission or None
        All requests are admitted if None.
    """

    def __init__(
        self,
        *,
        state: published.PublishedState,
        reader: store_reader.StoreReader,
        forwarder: forwarding.Forwarder,
        metrics: metrics.InstanceMetrics,
        clock,
        admission_control: admission.Admission | None = None,
    ):
        self.admission_control = admission_control
        self.state = state
        self.reader = reader
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

        The name is empty if no route was found.
        """
        head = request.head
        if not await self.wait_routable():
            refusal = request_head.RequestRefusal(503, 'no configuration')
            return self.refuse(request, refusal), ''
        route = self.state.routes.match(head.host, head.path)
        if route is None:
            return self.refuse(request, self.refusal_without_route()), ''
        routed = self.state.routes.assign(route)
        caller = caller_identity.ANONYMOUS
        if self.admission_control is not None:
            refusal = self.admission_control.check(request, routed, caller)
            if refusal is not None:
                return self.refuse(request, refusal), route.name
        outcome = await self.forwarder.run(request, routed, caller)
        response = caller_response.from_outcome(
            outcome, head, self.forwarder.names
        )
        reason = getattr(outcome, 'reason', '')
        self.log_request_end(request, response, route.name, reason)
        return response, route.name

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
        self, request, refusal: request_head.RequestRefusal
    ) -> caller_response.CallerResponse:
        """Count and log a refusal before a dispatch; return the response."""
        self.metrics.record_refusal(refusal.status, refusal.reason)
        response = caller_response.from_refusal(
            refusal, closes_connection=False
        )
        self.log_request_end(request, response, '', refusal.reason)
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
        self, request, response, route_name: str, reason: str
    ) -> None:
        """Log the final response to a request and the reason for it."""
        head = request.head
        elapsed_s = self.clock() - request.arrived_s
        log_events.log_event(
            LOG,
            events.REQUEST_ENDED,
            request_id=head.request_id,
            method=head.method[:32],
            host=head.host,
            path=head.path[:200],
            route=route_name,
            deadline_s=head.deadline_s,
            status=response.status,
            reason=reason,
            elapsed_ms=round(elapsed_s * 1000, 1),
            **self.configuration_fields(),
        )

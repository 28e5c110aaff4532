"""One attempt to run a request on a chosen server."""

import dataclasses
import logging

from citronshelf_common import events as log_events
from citronshelf_common import outcomes
from citronshelf_entry import classify
from citronshelf_entry import clock
from citronshelf_entry import events
from citronshelf_entry import exchange
from citronshelf_entry import freshness
from citronshelf_entry import headers
from citronshelf_entry import job as jobs
from citronshelf_entry import observer as observers
from citronshelf_entry import upstream
from citronshelf_traffic import choosing
from citronshelf_traffic import work as traffic_work

LOG = logging.getLogger(__name__)
Ending = traffic_work.Ending
REQUEST_ID_HEADER = 'x-request-id'


@dataclasses.dataclass(frozen=True, kw_only=True)
class PartialResponse:
    """Head and first bytes of a large response that is still arriving."""

    head: exchange.ResponseHead
    first: bytes


AttemptResult = outcomes.Response | PartialResponse | classify.Failure


class Attempt:
    """One attempt on one server; its creation starts the exchange.

    The result is recorded exactly once.

    Parameters
    ----------
    job : Job
    placement : Placement
    client : UpstreamClient
    observer : Observer
        Notified of the result of the attempt.
    """

    def __init__(
        self,
        *,
        job: jobs.Job,
        placement: choosing.Placement,
        client: upstream.UpstreamClient,
        observer: observers.Observer,
    ):
        self.job = job
        self.placement = placement
        self.client = client
        self.observer = observer
        self.concluded = False
        self.started_s = clock.now_s()
        self.head_s = self.started_s
        observer.begin(placement)
        self.exchange = client.start(self.upstream_request())

    @property
    def server_id(self) -> str:
        """Return the identifier of the server."""
        return self.placement.server.server_id

    def upstream_request(self) -> upstream.UpstreamRequest:
        """Return the request in the form that is sent to the server."""
        job = self.job
        return upstream.UpstreamRequest(
            request_id=job.work.request_id,
            address=self.placement.server.address,
            method=job.method,
            target=job.target,
            headers=job.headers,
            body=job.body,
            timeout_s=max(0.001, job.remaining_s()),
            new_connection=not job.work.idempotent,
            max_response_bytes=job.work.max_response_bytes,
            may_send=self.may_send,
        )

    def may_send(self) -> bool:
        """Return whether the server choice is recent and time is left.

        The process may have been suspended while the connection was opened.
        """
        now_s = clock.now_s()
        recent = now_s - self.started_s <= freshness.SUSPENSION_GAP_S
        return recent and now_s < self.job.work.deadline_at

    async def result(self, *, read_all: bool) -> AttemptResult:
        """Wait for the response and record the result.

        After a ``PartialResponse`` nothing is recorded yet: whoever reads
        the rest must conclude the attempt.

        Parameters
        ----------
        read_all : bool
            Wait for the end of large responses too.
        """
        head = await self.exchange.wait_head()
        self.head_s = clock.now_s()
        if isinstance(head, classify.Failure):
            return self.conclude_failure(head)
        self.observer.on_head(self, head)
        shed = exchange.not_run_reason(head)
        part = await self.exchange.read(exchange.STREAM_THRESHOLD_BYTES)
        if isinstance(part, exchange.Part) and not part.last and read_all:
            part = await self.read_rest(part)
        if isinstance(part, classify.Failure):
            return self.conclude_failure(part)
        if not part.last:
            return PartialResponse(head=head, first=part.data)
        if shed:
            return self.conclude_shed(head, shed)
        self.conclude_response(head, len(part.data))
        return outcomes.Response(
            status=head.status,
            headers=response_headers(self.job.method, head),
            body=part.data,
        )

    async def read_rest(self, first) -> exchange.Part | classify.Failure:
        """Read the rest of the body; return the whole body or the failure.

        The whole body is returned as the last part.
        """
        rest = await self.exchange.read_whole()
        self.exchange.release_memory()
        if isinstance(rest, classify.Failure):
            return rest
        return exchange.Part(first.data + rest, True)

    def conclude_response(
        self, head: exchange.ResponseHead, size: int
    ) -> None:
        """Record a complete response."""
        if self.mark_concluded():
            self.observer.record_response(self, head, size)

    def conclude_shed(self, head, reason: str) -> classify.Failure:
        """Record a response with a "not run" marker as a failure."""
        execution = (
            classify.ExecutionStatus.NOT_RUN
            if self.is_own_refusal(head)
            else classify.ExecutionStatus.UNKNOWN
        )
        failure = classify.Failure(
            execution,
            classify.FailureSignal.NONE,
            reason,
            True,
        )
        if self.mark_concluded():
            draining = reason == 'draining' or exchange.is_draining(head)
            ending = Ending.DRAINING if draining else Ending.SHED
            self.observer.record_failure(
                self, failure, ending, exchange.parse_load(head)
            )
        return failure

    def is_own_refusal(self, head: exchange.ResponseHead) -> bool:
        """Return whether a refusal is proved to belong to this request.

        On a kept connection, a refusal without the id of a request may be an
        earlier one that the server sent again. Only idempotent requests use
        kept connections.
        """
        has_id = bool(headers.first_of(head.headers, REQUEST_ID_HEADER))
        return has_id or not self.job.work.idempotent

    def conclude_failure(self, failure: classify.Failure) -> classify.Failure:
        """Record and log an exchange without a complete response."""
        if self.mark_concluded():
            self.observer.record_failure(
                self, failure, ending_from_failure(failure), None
            )
            log_events.log_event(
                LOG,
                events.EXCHANGE_FAILED,
                request_id=self.job.work.request_id,
                server=self.server_id,
                proof=failure.execution,
                reason=failure.reason,
            )
        return failure

    def cancel(self) -> None:
        """Stop the attempt; whether the work ran remains unknown.

        For idempotent work, the server is notified that the result is not
        needed. Has no effect on a concluded attempt.
        """
        if self.concluded:
            return
        # A response that was complete but not read is still held.
        self.exchange.release_memory()
        if self.exchange.cancel() and self.job.work.idempotent:
            self.client.cancel(
                self.placement.server.address, self.job.work.request_id
            )
        if self.mark_concluded():
            self.observer.record_failure(
                self,
                classify.Failure(
                    classify.ExecutionStatus.UNKNOWN,
                    classify.FailureSignal.NONE,
                    'cancelled',
                ),
                Ending.CANCELLED,
                None,
            )

    def mark_concluded(self) -> bool:
        """Mark the attempt as concluded; True on the first call only."""
        first = not self.concluded
        self.concluded = True
        return first


def ending_from_failure(failure: classify.Failure) -> Ending:
    """Return how the traffic package counts a failed dispatch."""
    if failure.reason == 'cancelled':
        return Ending.CANCELLED
    if failure.execution is not classify.ExecutionStatus.NOT_RUN:
        return Ending.FAILED
    if failure.signal is classify.FailureSignal.UNREACHABLE:
        return Ending.REFUSED
    return Ending.NO_SERVER


def response_headers(
    method: str, head: exchange.ResponseHead
) -> headers.HeaderList:
    """Return the headers of a response that are passed on.

    In a response to HEAD, Content-Length is passed on, since it is not the
    length of that response's own body.
    """
    own = headers.OWN_RESPONSE_HEADERS
    if method == 'HEAD':
        own = own - {'content-length'}
    return headers.end_to_end(head.headers, own)

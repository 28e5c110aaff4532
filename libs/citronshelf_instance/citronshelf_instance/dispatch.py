"""Dispatch of a request to one backend server."""

import dataclasses
import logging

from citronshelf_common import events as log_events
from citronshelf_common import outcomes
from citronshelf_entry import classify
from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_entry import upstream
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import configuration
from citronshelf_instance import events
from citronshelf_instance import evidence
from citronshelf_instance import registrations
from citronshelf_instance import server_announcements

LOG = logging.getLogger(__name__)

# Covers a round trip between regions of at most 45 ms and a processor that is
# stalled for 100 ms.
CONNECT_TIMEOUT_S = 0.25
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# These statuses tell the caller that the work did not run, so a server's
# response with one of them is never passed on. The work counts as not run only
# if the response has the server's not-run header or status 421.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
MAX_STATUS = 599


@dataclasses.dataclass(frozen=True, kw_only=True)
class GoodResult:
    """A complete response that is passed on to the caller."""

    response: outcomes.Response
    kind: str = 'good'


@dataclasses.dataclass(frozen=True, kw_only=True)
class ServerErrorResult:
    """A complete response with a status from 500 to 599, except 503."""

    response: outcomes.Response
    kind: str = 'server-failed'


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRunResult:
    """The server provably did not run the work.

    Attributes
    ----------
    reason : str
    refused_by_server : bool
        The server read the request and refused it. False if the exchange
        failed with proof that the server did not run the request.
    """

    reason: str
    refused_by_server: bool
    kind: str = 'not-run'


@dataclasses.dataclass(frozen=True, kw_only=True)
class LostResult:
    """The work may have run, but there is no response to pass on.

    Attributes
    ----------
    reason : str
    status : int
        Status of a response that was rejected; 0 without a response.
    is_server_failure : bool
        False if this instance ended the exchange for a reason of its own.
    """

    reason: str
    status: int = 0
    is_server_failure: bool = True
    kind: str = 'lost'


Result = GoodResult | ServerErrorResult | NotRunResult | LostResult


class Dispatch:
    """Sends a request to a server and classifies the response.

    Parameters
    ----------
    forwarder : Forwarder
    request : CallerRequest
    route : Route
    caller : Caller
    server : RegisteredServer
    expires_s : float
        Monotonic time by which the caller gets its final response.
    is_resend : bool
        The server shed this request before.

    Attributes
    ----------
    overdue_at_s : float
        Monotonic time from which the response is overdue.
    """

    def __init__(
        self,
        *,
        forwarder,
        request,
        route,
        caller: caller_identity.Caller,
        server,
        expires_s: float,
        is_resend: bool = False,
    ):
        self.forwarder = forwarder
        self.is_resend = is_resend
        self.request = request
        self.route: configuration.Route = route
        self.caller = caller
        self.server: registrations.RegisteredServer = server
        self.expires_s = expires_s
        self.started_s = forwarder.clock()
        self.overdue_at_s = expires_s
        self.exchange: exchange.Exchange | None = None
        self.stalled = False
        self.aborted = False

    async def run(self) -> Result:
        """Send the request and return its result.

        The result is recorded for the server. If the task is cancelled, so is
        the exchange. Both results and cancellations are logged.
        """
        self.server.running += 1
        self.server.body_bytes += len(self.request.body)
        self.exchange = self.forwarder.client.start(self.build_request())
        result: Result | None = None
        try:
            result = await self.read_response()
            self.record_result(result)
            return result
        finally:
            self.server.running -= 1
            self.server.body_bytes -= len(self.request.body)
            self.exchange.cancel()
            self.log(result)

    def build_request(self) -> upstream.UpstreamRequest:
        """Return the caller's request with the headers of this instance."""
        head = self.request.head
        names = self.forwarder.names
        remaining_s = max(0.001, self.expires_s - self.started_s)
        added_headers = (
            (names.request_id, head.request_id),
            (names.deadline, str(int(remaining_s * 1000))),
            (names.expected_server, self.server.server_id),
        )
        if self.caller.account is not None:
            added_headers += ((names.account, self.caller.account),)
        replaced = {name.lower() for name, _ in added_headers} | {
            'content-length',
            'expect',
        }
        if self.caller.hides_headers:
            replaced |= {names.account.lower(), names.key.lower()}
        return upstream.UpstreamRequest(
            request_id=head.request_id,
            address=self.server.registration.address,
            method=head.method,
            target=head.target,
            headers=headers.end_to_end(head.headers, replaced),
            body=self.request.body,
            timeout_s=remaining_s,
            new_connection=True,
            max_response_bytes=self.forwarder.max_response_bytes,
            may_send=self.may_send,
            own_headers=added_headers,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            close_after=True,
            rules=exchange.ResponseRules(
                echo_header=names.request_id.lower(),
                close_delimited=True,
                ignore_surplus=True,
            ),
        )

    def abort(self) -> None:
        """Abort the exchange at once and stop counting its response as held.

        Cancelling the task takes effect only after libcurl may have sent the
        request or received more bytes.
        """
        self.aborted = True
        if self.exchange is not None:
            self.exchange.cancel()
            self.exchange.release_memory()

    def may_send(self) -> bool:
        """Return whether the server may still get work.

        The client calls this just before sending: since it was chosen, the
        server may have left, begun to drain or asked for time, the request
        may have ended, or the caller's key may have been withdrawn.
        """
        if self.aborted or not self.is_caller_confirmed():
            return False
        known = self.forwarder.placer.directory.servers.get(
            self.server.server_id
        )
        now = self.forwarder.clock()
        return known is self.server and known.accepts_work(now)

    def is_caller_confirmed(self) -> bool:
        """Return whether the request still belongs to the same account."""
        identifier = self.forwarder.identifier
        if identifier is None:
            return True
        confirmed = identifier.confirm(
            self.caller, self.request.head, self.route
        )
        return (
            confirmed.is_ok() and confirmed.ok.account == self.caller.account
        )

    def is_sent(self) -> bool:
        """Return whether the server may have received the request."""
        return self.exchange is not None and self.exchange.sends > 0

    async def read_response(self) -> Result:
        """Read the complete response and classify it."""
        head = await self.exchange.wait_head()
        if isinstance(head, classify.Failure):
            return self.classify_failure(head)
        self.handle_announcements(head)
        body = await self.exchange.read_whole()
        if isinstance(body, classify.Failure):
            return self.classify_failure(body)
        return self.classify_response(head, body)

    def handle_announcements(self, head: exchange.ResponseHead) -> None:
        """Apply what the server announces in the head of its response."""
        request_id = self.request.head.request_id
        forwarder = self.forwarder
        directory = forwarder.placer.directory
        for announcement in server_announcements.read_announcements(
            head, forwarder.names, request_id
        ):
            match announcement:
                case server_announcements.Leaving():
                    if directory.record_leaving(self.server, request_id):
                        forwarder.metrics.count('announcements', 'leaving')
                        forwarder.report_leaving(self.server)
                case server_announcements.RetryLater():
                    forwarder.metrics.count('announcements', 'retry-later')
                    directory.record_retry_later(
                        self.server,
                        announcement.seconds,
                        forwarder.placer.rng,
                        request_id,
                    )
                case server_announcements.InvalidRetryAfter():
                    forwarder.metrics.count('announcements', 'invalid')
                    directory.record_invalid_time(
                        self.server, announcement.text, request_id
                    )

    def classify_failure(self, failure: classify.Failure) -> Result:
        """Return the result of a failed exchange."""
        if failure.execution is classify.ExecutionStatus.NOT_RUN:
            return NotRunResult(reason=failure.reason, refused_by_server=False)
        return LostResult(
            reason=failure.reason,
            is_server_failure=(
                failure.signal is not classify.FailureSignal.NONE
            ),
        )

    def classify_response(
        self, head: exchange.ResponseHead, body: bytes
    ) -> Result:
        """Return the result of a complete response."""
        names = self.forwarder.names
        if headers.first_of(head.headers, names.not_run.lower()):
            return NotRunResult(
                reason=f'refused-{head.status}', refused_by_server=True
            )
        if head.status == caller_request.MISDIRECTED_STATUS:
            return NotRunResult(
                reason='another-server', refused_by_server=True
            )
        if head.status in NOT_RUN_STATUSES:
            return LostResult(
                reason=f'unproved-{head.status}', status=head.status
            )
        if not is_from_server(head, names):
            return LostResult(
                reason='not-the-servers-answer', status=head.status
            )
        response = outcomes.Response(
            status=head.status, headers=head.headers, body=body
        )
        if head.status >= 500:
            return ServerErrorResult(response=response)
        return GoodResult(response=response)

    def record_result(self, result: Result) -> None:
        """Record what a result shows about the server.

        Nothing is recorded if this instance did not send the request, because
        ``may_send`` returned False or it has too many exchanges, or if it
        ended the exchange itself.
        """
        now = self.forwarder.clock()
        match result:
            case GoodResult():
                self.server.record_reachable()
                self.record_good(result, now - self.started_s)
            case NotRunResult(refused_by_server=True, reason='another-server'):
                self.server.record_unreachable(now)
            case NotRunResult(refused_by_server=True):
                self.observe(evidence.HealthSignal.SHED, 0.0)
            case NotRunResult(
                reason=exchange.SEND_WITHDRAWN | upstream.CLIENT_FULL.reason
            ):
                pass
            case LostResult(is_server_failure=False):
                pass
            case NotRunResult():
                self.record_unreachable(result.reason, now)
            case ServerErrorResult() | LostResult():
                self.observe(evidence.HealthSignal.FAILED, 0.0)

    def record_good(self, result: GoodResult, elapsed_s: float) -> None:
        """Update the route's usual time and report a good response."""
        usage = self.forwarder.placer.usage_of(self.route)
        slowness = elapsed_s / max(usage.seconds, 0.001)
        usage.record(elapsed_s, len(result.response.body))
        self.observe(evidence.HealthSignal.GOOD, slowness)

    def record_unreachable(self, reason: str, now: float) -> None:
        """Start a backoff of the server after a failed connection; log it."""
        backoff_s = self.server.record_unreachable(now)
        log_events.log_event(
            LOG,
            events.SERVER_UNREACHABLE,
            request_id=self.request.head.request_id,
            server=self.server.server_id,
            reason=reason,
            held_s=backoff_s,
        )

    def record_stall(self) -> None:
        """Report an overdue response as evidence against the server.

        It is reported once, and only if the request was sent.
        """
        if not self.stalled and self.is_sent():
            self.stalled = True
            self.observe(evidence.HealthSignal.STALLED, 0.0)

    def record_timeout(self) -> None:
        """Report a failure at the deadline if a stall was reported before."""
        if self.stalled:
            self.observe(evidence.HealthSignal.FAILED, 0.0)

    def observe(self, signal: evidence.HealthSignal, slowness: float) -> None:
        """Report an observation with the time since the dispatch started."""
        self.forwarder.observe(
            evidence.Observation(
                self.server.server_id,
                signal,
                slowness,
                self.forwarder.clock() - self.started_s,
            )
        )

    def log(self, result: Result | None) -> None:
        """Log the result; None means that the dispatch was cancelled."""
        elapsed_s = self.forwarder.clock() - self.started_s
        log_events.log_event(
            LOG,
            events.DISPATCH_ENDED,
            request_id=self.request.head.request_id,
            server=self.server.server_id,
            result=result.kind if result else 'cancelled',
            reason=getattr(result, 'reason', ''),
            status=received_status(result),
            sent=self.is_sent(),
            elapsed_ms=round(elapsed_s * 1000, 1),
        )


def received_status(result: Result | None) -> int:
    """Return the status that the server's response had, or 0."""
    match result:
        case GoodResult() | ServerErrorResult():
            return result.response.status
        case LostResult():
            return result.status
        case _:
            return 0


def is_from_server(
    head: exchange.ResponseHead, names: caller_request.HeaderNames
) -> bool:
    """Return whether a server gave this response.

    Another program at the address of a server that has ended does not sign
    its responses. Server errors need no signature: they promise the caller
    nothing, whichever program sent them.
    """
    if 500 <= head.status <= MAX_STATUS:
        return True
    signed = headers.first_of(head.headers, names.signature.lower())
    if head.status > MAX_STATUS or not signed:
        return False
    encoded = headers.first_of(head.headers, 'content-encoding')
    return head.status >= 300 or not encoded

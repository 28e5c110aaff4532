"""Routes callers' requests, runs them and sends their outcomes."""

import asyncio
import logging

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_common import events as log_events
from citronshelf_common import outcomes
from citronshelf_document import routing
from citronshelf_entry import caller_response
from citronshelf_entry import caller_server
from citronshelf_entry import dispatch
from citronshelf_entry import events
from citronshelf_entry import forward_messages
from citronshelf_entry import forwarding
from citronshelf_entry import instance_state
from citronshelf_entry import job as jobs
from citronshelf_entry import key_table
from citronshelf_entry import keyed
from citronshelf_entry import keys
from citronshelf_entry import metrics as entry_metrics
from citronshelf_entry import request_head

LOG = logging.getLogger(__name__)
ANONYMOUS = 'anonymous'
INSTANCE_PATH_PREFIX = '/_citronshelf/'
KEYS_PATH = '/_citronshelf/keys'
MAX_KEYS_BODY_BYTES = 1024
MAX_LOGGED_PATH_CHARS = 200


class CallerService:
    """Routes requests of callers and runs them.

    Parameters
    ----------
    state : InstanceState
    dispatcher : Dispatcher
    metrics : EntryMetrics
    owner : KeyOwner
    forwarder : OwnerForwarder

    Attributes
    ----------
    work_end_s : float
        Time at which the shutdown ends running work.
    """

    def __init__(
        self,
        *,
        state: instance_state.InstanceState,
        dispatcher: dispatch.Dispatcher,
        metrics: entry_metrics.EntryMetrics,
        owner: keyed.KeyOwner,
        forwarder: forwarding.OwnerForwarder,
    ):
        self.state = state
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.owner = owner
        self.forwarder = forwarder
        self.detached: set[asyncio.Task] = set()
        self.work_end_s = float('inf')

    def route(self, request: caller_server.CallerRequestHandler) -> Result:
        """Return the route of a request and its body limit in bytes.

        Also checks the idempotency key and stores it in the request. The
        route is None for a request to the instance itself. An ``Error`` holds
        the ``RequestRefusal``.
        """
        head = request.head
        if head.path.startswith(INSTANCE_PATH_PREFIX):
            return self.route_own(head)
        if self.state.routes is None:
            return Error(
                request_head.RequestRefusal(503, 'no document in force')
            )
        found = self.state.routes.match(head.method, head.host, head.path)
        if found.is_error():
            return Error(route_refusal(found.error))
        match = found.ok
        log_events.log_event(
            LOG,
            events.ROUTE_CHOSEN,
            request_id=request.request_id,
            method=head.method,
            path=head.path[:MAX_LOGGED_PATH_CHARS],
            route=match.route_name,
            service=match.service_name,
            request_class=match.class_name,
        )
        refusal = self.check_key(request, match.request_class)
        if refusal is not None:
            return Error(refusal)
        return Ok((match, match.request_class.max_request_bytes))

    def route_own(self, head: request_head.RequestHead) -> Result:
        """Accept a request for a new key; return no route and its body limit.

        Other requests to the instance itself are refused.
        """
        if head.path != KEYS_PATH:
            return Error(request_head.RequestRefusal(404, 'no such path'))
        if head.method != 'POST':
            return Error(
                request_head.RequestRefusal(
                    405, 'keys are issued by POST', 'POST'
                )
            )
        if self.state.rules is None:
            return Error(
                request_head.RequestRefusal(503, 'no document in force')
            )
        return Ok((None, MAX_KEYS_BODY_BYTES))

    def check_key(
        self, request, request_class
    ) -> request_head.RequestRefusal | None:
        """Check the key of a request and store it in the request.

        Idempotent classes ignore the key.

        Returns
        -------
        RequestRefusal or None
            None if the key is valid or not needed.
        """
        if request_class.idempotent:
            return None
        text = request.head.key
        if not text and request_class.key == 'required':
            return request_head.RequestRefusal(
                400, 'Idempotency-Key is required'
            )
        if not text:
            return None
        read = self.owner.signer.read(text)
        if read.is_error():
            log_key_refused(request, read.error)
            return request_head.RequestRefusal(400, read.error)
        request.key = read.ok
        return None

    async def handle(
        self, request: caller_server.CallerRequestHandler
    ) -> None:
        """Issue a key or run a request, and send the response."""
        if request.match is None:
            self.issue_key(request)
        elif request.key is not None:
            await self.handle_keyed(request)
        else:
            await self.handle_unkeyed(request)

    def issue_key(self, request: caller_server.CallerRequestHandler) -> None:
        """Respond with a new key, subject to the account's rate limit."""
        account = request.head.account or ANONYMOUS
        limited = self.state.rules.limiter.admit(account)
        if limited.is_error():
            reason = limited.error.reason
            request.response.send_outcome(outcomes.NotRun(reason=reason))
            return
        key = self.owner.issue()
        if not key:
            outcome = outcomes.NotRun(reason='no-key-available')
            request.response.send_outcome(outcome)
            return
        self.metrics.count('keys_issued')
        request.response.next_key = key
        request.response.outcome = caller_response.DONE
        request.response.send_json(200, {'key': key})

    async def handle_unkeyed(self, request) -> None:
        """Run a request without a key and send its outcome.

        Non-idempotent work continues if the caller disconnects.
        """
        head = request.head
        job = jobs.make_job(
            request.match,
            request_id=request.request_id,
            method=head.method,
            target=head.target,
            fields=head.headers,
            body=request.body,
            account=head.account or ANONYMOUS,
            deadline_ms=head.deadline_ms,
        )
        request.job = job
        receiver = request.response if head.may_chunk else None
        running = self.run_in_time(job, receiver)
        if not job.work.idempotent:
            running = self.detach(running)
        outcome = await running
        self.metrics.count('requests', outcome_label(outcome))
        if outcome is not None:
            request.response.send_outcome(outcome)

    async def handle_keyed(self, request) -> None:
        """Run a request with a key and send its outcome.

        A final outcome of a key issued here counts as collected unless the
        caller has disconnected.
        """
        head, key = request.head, request.key
        keyed_request = keyed.KeyedRequest(
            request_id=request.request_id,
            method=head.method,
            target=head.target,
            # The host identifies the request only if the route matches on it,
            # so that a retry may use another host name of this service.
            host=request.match.route.host,
            account=head.account or ANONYMOUS,
            headers=head.headers,
            deadline_ms=head.deadline_ms,
            body=request.body,
        )
        wait_ms = request.match.request_class.deadline_ms
        if head.deadline_ms is not None:
            wait_ms = min(wait_ms, head.deadline_ms)
        wait_s = max(1, wait_ms) / 1000
        outcome, record = await self.run_or_forward(
            key, head.key, keyed_request, wait_s
        )
        self.respond_keyed(request, outcome)
        if record is not None and not request.connection.stream.closed():
            self.owner.table.mark_collected(record)

    async def run_or_forward(
        self,
        key: keys.Key,
        text: str,
        keyed_request: keyed.KeyedRequest,
        wait_s: float,
    ) -> tuple[forward_messages.KeyedOutcome, key_table.KeyRecord | None]:
        """Run a keyed request here or forward it to the owner of its key.

        The record is returned only for a final outcome of a key issued here.
        """
        if self.owner.is_owner(key):
            return await self.owner.handle(key, keyed_request, wait_s)
        self.metrics.count('forwards')
        forwarded = self.forwarder.forward(key, text, keyed_request, wait_s)
        return await forwarded, None

    def respond_keyed(self, request, outcome) -> None:
        """Send the outcome of a keyed request and, if issued, the next key."""
        self.metrics.count('requests', outcome_label(outcome))
        if isinstance(outcome, forward_messages.Conflict):
            log_key_refused(request, outcome.reason)
            refusal = request_head.RequestRefusal(409, outcome.reason)
            request.response.send_refusal(refusal, is_keyed=True)
            return
        request.response.next_key = self.owner.issue_next()
        request.response.send_outcome(outcome)

    async def run_keyed(self, request: keyed.KeyedRequest) -> outcomes.Outcome:
        """Run a request whose key was issued by this process.

        It is routed by the document of this instance. Without a document or a
        route, or if the body is too large, the outcome is "not run".
        """
        if self.state.routes is None:
            return outcomes.NotRun(reason='no-document')
        path = request.target.partition('?')[0]
        found = self.state.routes.match(request.method, request.host, path)
        if found.is_error():
            return outcomes.NotRun(reason='no-route')
        if len(request.body) > found.ok.request_class.max_request_bytes:
            return outcomes.NotRun(reason='body-too-large')
        job = jobs.make_job(
            found.ok,
            request_id=request.request_id,
            method=request.method,
            target=request.target,
            fields=request.headers,
            body=request.body,
            account=request.account,
            deadline_ms=request.deadline_ms,
        )
        return await self.run_in_time(job, None)

    async def run_in_time(
        self, job: jobs.Job, receiver
    ) -> outcomes.Outcome | None:
        """Run a job, unless it may last longer than this process.

        Returns
        -------
        Outcome or None
            None if the response was streamed to the receiver.
        """
        if job.work.deadline_at > self.work_end_s:
            return outcomes.NotRun(reason='stopping')
        return await self.dispatcher.run(job, receiver)

    def detach(self, running) -> asyncio.Future:
        """Run work in a task that continues if its caller disconnects."""
        task = asyncio.create_task(running)
        self.detached.add(task)
        task.add_done_callback(self.detached.discard)
        return asyncio.shield(task)

    def on_disconnect(
        self, request: caller_server.CallerRequestHandler
    ) -> None:
        """Abandon a request after its caller disconnected.

        Non-idempotent work without a key is detached: it continues but is not
        sent to further servers. Work with a key is run by the owner of the key
        and is not affected.
        """
        if request.job is not None:
            request.job.abandoned = True
        request.task.cancel()


def log_key_refused(request, reason: str) -> None:
    """Log an invalid key, or one that was used for a different request."""
    log_events.log_event(
        LOG,
        events.KEY_REFUSED,
        request_id=request.request_id,
        reason=reason,
    )


def route_refusal(absent: routing.NoRoute) -> request_head.RequestRefusal:
    """Return the refusal for a request that no route matches.

    The status is 405 if only the method differs, otherwise 404.
    """
    if absent.allowed_methods:
        allow = ', '.join(absent.allowed_methods)
        return request_head.RequestRefusal(405, absent.reason, allow)
    return request_head.RequestRefusal(404, absent.reason)


def outcome_label(outcome: outcomes.Outcome | None) -> str:
    """Return the metrics label of an outcome; None is a streamed response."""
    match outcome:
        case outcomes.NotRun():
            return caller_response.NOT_RUN
        case outcomes.Unknown():
            return caller_response.UNKNOWN
        case outcomes.Broken():
            is_gone = outcome.reason == dispatch.CALLER_GONE
            return outcome.reason if is_gone else 'broken'
        case forward_messages.Conflict():
            return 'conflict'
    return caller_response.DONE

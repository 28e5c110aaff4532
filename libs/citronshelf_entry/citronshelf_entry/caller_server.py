"""HTTP server for callers: reads requests and sends responses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from tornado import httputil

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_common import outcomes
from citronshelf_entry import caller_response
from citronshelf_entry import clock
from citronshelf_entry import events
from citronshelf_entry import job as jobs
from citronshelf_entry import keys
from citronshelf_entry import request_head
from citronshelf_entry import strict_connection

LOG = logging.getLogger(__name__)
MAX_BODY_BYTES = 16 * 1024 * 1024
# Limit for the bodies of all requests in flight together. A request whose
# declared length would exceed it is refused before its body is read.
MAX_BODIES_BYTES = 64 * 1024 * 1024
# The body of a refused request up to this size is read and discarded so that
# the connection can be kept; for a larger or chunked one it is closed.
MAX_DISCARDED_BYTES = 256 * 1024
MAX_REQUESTS = 2048

Handle = Callable[['CallerRequestHandler'], Awaitable[None]]
Admit = Callable[[request_head.RequestHead], object]


class CallerRequestHandler(httputil.HTTPMessageDelegate):
    """Receives one request of a caller and runs it.

    Parameters
    ----------
    server : CallerServer
    session : ServerConnection
    connection : StrictConnection
    """

    def __init__(self, *, server, session, connection):
        self.server = server
        self.session = session
        self.response = caller_response.CallerResponseWriter(
            connection=connection, is_closing=server.is_closing
        )
        self.connection = connection
        self.request_id = ''
        self.head: request_head.RequestHead | None = None
        self.match = None
        self.job: jobs.Job | None = None
        self.key: keys.Key | None = None
        self.refusal: request_head.RequestRefusal | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.limit = 0
        self.arrived_s = 0.0
        self.task: asyncio.Task | None = None

    @property
    def body(self) -> bytes:
        """Return the body received so far."""
        return b''.join(self.parts)

    def headers_received(self, start_line, fields) -> None:
        """Validate and route a request before its body is read."""
        if self.session.ending:
            # The response could no longer be sent, so the request must not
            # run.
            self.response.is_head_sent = True
            self.refuse(
                request_head.RequestRefusal(503, 'connection has ended')
            )
            self.connection.close()
            return
        self.session.busy = True
        self.arrived_s = clock.now_s()
        self.request_id = jobs.new_request_id()
        self.response.request_id = self.request_id
        self.response.method = start_line.method
        pairs = tuple(fields.get_all())
        checked = request_head.check_head(start_line, pairs)
        if checked.is_error():
            self.refuse(checked.error)
        else:
            self.head = checked.ok
            self.route()
        if self.refusal is not None:
            self.refuse_early()

    def route(self) -> None:
        """Find the route and body limit; check the limits of the server."""
        found = self.server.route(self)
        if found.is_error():
            self.refuse(found.error)
            return
        self.match, self.limit = found.ok
        length = self.head.framing.length or 0
        if length > self.limit:
            self.refuse(too_large(self.limit))
        elif self.server.bodies_bytes + length > MAX_BODIES_BYTES:
            self.refuse(request_head.RequestRefusal(503, 'too many bodies'))
        elif len(self.server.requests) >= MAX_REQUESTS:
            self.refuse(request_head.RequestRefusal(503, 'too many requests'))

    def refuse(self, refusal: request_head.RequestRefusal) -> None:
        """Record and log the first reason to refuse the request."""
        if self.refusal is None:
            self.refusal = refusal
            self.parts.clear()
            log_events.log_event(
                LOG,
                events.ROUTE_REFUSED,
                request_id=self.request_id,
                status=refusal.status,
                reason=refusal.reason,
            )

    def refuse_early(self) -> None:
        """Respond before the body arrives if it may be too large to discard.

        A short body of known length is read first, so that the connection
        can be kept.
        """
        framing = self.head.framing if self.head else None
        length = framing.length or 0 if framing else 0
        is_short = framing is not None and not framing.chunked
        if is_short and length <= MAX_DISCARDED_BYTES:
            return
        self.connection._disconnect_on_finish = True
        self.send_refusal()

    def data_received(self, chunk: bytes) -> None:
        """Store a part of the body; refuse the request if it is too large."""
        if self.refusal is not None:
            return
        self.size += len(chunk)
        self.server.bodies_bytes += len(chunk)
        if self.size > self.limit:
            self.refuse(too_large(self.limit))
            self.connection._disconnect_on_finish = True
            self.send_refusal()
            return
        if self.server.bodies_bytes > MAX_BODIES_BYTES:
            self.refuse(request_head.RequestRefusal(503, 'too many bodies'))
            self.send_refusal()
            return
        self.parts.append(chunk)

    def finish(self) -> None:
        """Run the complete request in its own task, or send its refusal."""
        if self.refusal is not None:
            self.send_refusal()
            self.release()
            return
        self.connection.set_close_callback(self.on_disconnect)
        self.task = asyncio.create_task(self.run())
        self.server.requests.add(self)

    async def run(self) -> None:
        """Handle the request; respond "unknown" if an exception is raised."""
        try:
            await self.server.handle(self)
        except asyncio.CancelledError:
            return
        except Exception as error:
            log_events.log_event(
                LOG,
                events.INTERNAL_ERROR,
                request_id=self.request_id,
                reason=repr(error),
            )
            LOG.exception('request %s', self.request_id)
            self.respond_internal_error()
        finally:
            self.server.requests.discard(self)
            self.release()
            self.server.record_duration(clock.now_s() - self.arrived_s)

    def respond_internal_error(self) -> None:
        """Respond "unknown" after an internal error; the work may have run.

        Closes the connection instead if the response has already begun.
        """
        if self.response.is_head_sent:
            self.response.abort()
            return
        self.response.outcome = caller_response.UNKNOWN
        content = {
            'outcome': caller_response.UNKNOWN,
            'reason': 'internal-fault',
        }
        self.response.send_json(504, content)

    def end(self) -> None:
        """End the running request: its work may have run."""
        if self.response.is_head_sent:
            self.response.abort()
        else:
            outcome = outcomes.Unknown(reason='shutdown')
            self.response.send_outcome(outcome)
        self.task.cancel()

    def send_refusal(self) -> None:
        """Send the refusal unless a response has already begun."""
        if not self.response.is_head_sent:
            is_keyed = self.head is not None and bool(self.head.key)
            self.response.send_refusal(self.refusal, is_keyed=is_keyed)

    def on_disconnect(self) -> None:
        """Handle a disconnect of the caller while the request is running."""
        if self.task is not None:
            self.server.on_disconnect(self)

    def on_connection_close(self) -> None:
        """Release the body of a request that the caller did not complete."""
        self.release()

    def release(self) -> None:
        """Free the body and its share of ``MAX_BODIES_BYTES``."""
        self.server.bodies_bytes -= self.size
        self.size = 0
        self.parts.clear()


def too_large(limit: int) -> request_head.RequestRefusal:
    """Return the refusal for a body that exceeds its limit in bytes."""
    return request_head.RequestRefusal(413, f'body over {limit} bytes')


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Accepts connections and requests of callers.

    Parameters
    ----------
    route : callable
        Called with a ``CallerRequestHandler`` that has received its head.
        Returns a ``Result``: ``Ok`` with the match of the request and its
        body limit in bytes, or ``Error`` with a ``RequestRefusal``.
    handle : callable
        Awaited with each complete request.
    on_disconnect : callable
        Called with each running request whose caller disconnects.
    record_duration : callable
        Called with the duration of each request that was run, in seconds
        from its head to the end of its response. Refused requests are not
        included.
    """

    def __init__(
        self, *, route, handle: Handle, on_disconnect, record_duration
    ):
        self.route = route
        self.handle = handle
        self.on_disconnect = on_disconnect
        self.record_duration = record_duration
        self.requests: set[CallerRequestHandler] = set()
        self.bodies_bytes = 0
        self.closing = False
        self.http = strict_connection.StrictServer(
            self,
            idle_connection_timeout=strict_connection.IDLE_TIMEOUT_S,
            body_timeout=strict_connection.BODY_TIMEOUT_S,
            max_header_size=strict_connection.MAX_READ_HEAD_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=strict_connection.MAX_BUFFER_BYTES,
        )

    def listen(self, address: fleet.Address) -> None:
        """Start accepting connections at an address."""
        self.http.limit_connections()
        self.http.listen(address.port, address.ip, backlog=512)

    def start_request(self, session, connection) -> CallerRequestHandler:
        """Create the delegate of one request; called by tornado."""
        return CallerRequestHandler(
            server=self, session=session, connection=connection
        )

    def end_requests(self) -> None:
        """End the running requests with final responses."""
        for request in list(self.requests):
            request.end()

    def is_closing(self) -> bool:
        """Return whether responses close their connections."""
        return self.closing

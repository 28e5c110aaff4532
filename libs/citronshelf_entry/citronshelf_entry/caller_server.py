"""Requests of callers, from the head to the answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from tornado import httputil

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_entry import caller_response
from citronshelf_entry import clock
from citronshelf_entry import events
from citronshelf_entry import job as jobs
from citronshelf_entry import keys
from citronshelf_entry import request_head
from citronshelf_entry import strict_connection

LOG = logging.getLogger(__name__)
MAX_BODY_BYTES = 16 * 1024 * 1024
# Bodies of all requests in flight; more is refused before it is read.
MAX_BODIES_BYTES = 64 * 1024 * 1024
# A refused body up to this size is read and discarded so that the connection
# can be kept; beyond it the connection closes.
MAX_DISCARDED_BYTES = 256 * 1024
MAX_REQUESTS = 2048

Handle = Callable[['CallerRequest'], Awaitable[None]]
Admit = Callable[[request_head.RequestHead], object]


class CallerRequest(httputil.HTTPMessageDelegate):
    """One request of a caller.

    Parameters
    ----------
    server : CallerServer
    session : ServerConnection
    connection : StrictConnection
    """

    def __init__(self, *, server, session, connection):
        self.server = server
        self.session = session
        self.response = caller_response.CallerResponse(
            connection=connection, is_closing=server.is_closing
        )
        self.connection = connection
        self.request_id = ''
        self.head: request_head.RequestHead | None = None
        self.match = None
        self.job: jobs.Job | None = None
        self.key: keys.Key | None = None
        self.refusal: request_head.Refusal | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.limit = 0
        self.arrived_s = 0.0
        self.task: asyncio.Task | None = None

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return b''.join(self.parts)

    def headers_received(self, start_line, fields) -> None:
        """Check and route a head before its body is read."""
        if self.session.ending:
            # Its answer could not be sent any more, so it must not run.
            self.response.is_head_sent = True
            self.refuse(request_head.Refusal(503, 'connection has ended'))
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
        """Find the route and the limit of the body."""
        found = self.server.route(self)
        if found.is_error():
            self.refuse(found.error)
            return
        self.match, self.limit = found.ok
        length = self.head.framing.length or 0
        if length > self.limit:
            self.refuse(too_large(self.limit))
        elif self.server.bodies_bytes + length > MAX_BODIES_BYTES:
            self.refuse(request_head.Refusal(503, 'too many bodies'))
        elif len(self.server.requests) >= MAX_REQUESTS:
            self.refuse(request_head.Refusal(503, 'too many requests'))

    def refuse(self, refusal: request_head.Refusal) -> None:
        """Note the first reason to refuse the request."""
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
        """Answer before the body when too much of it would follow."""
        framing = self.head.framing if self.head else None
        length = framing.length or 0 if framing else 0
        is_short = framing is not None and not framing.chunked
        if is_short and length <= MAX_DISCARDED_BYTES:
            return
        self.connection._disconnect_on_finish = True
        self.send_refusal()

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, up to the limit of the class."""
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
            self.refuse(request_head.Refusal(503, 'too many bodies'))
            self.send_refusal()
            return
        self.parts.append(chunk)

    def finish(self) -> None:
        """Handle the whole request in a task of its own."""
        if self.refusal is not None:
            self.send_refusal()
            self.release()
            return
        self.connection.set_close_callback(self.on_disconnect)
        self.task = asyncio.create_task(self.run())
        self.server.requests.add(self)

    async def run(self) -> None:
        """Handle the request; a fault here is answered as unknown."""
        try:
            await self.server.handle(self)
        except asyncio.CancelledError:
            return
        except Exception as error:
            log_events.log_event(
                LOG,
                events.REQUEST_FAULT,
                request_id=self.request_id,
                reason=repr(error),
            )
            LOG.exception('request %s', self.request_id)
            self.respond_fault()
        finally:
            self.server.requests.discard(self)
            self.release()
            self.server.record_duration(clock.now_s() - self.arrived_s)

    def respond_fault(self) -> None:
        """Answer a fault of this instance: the work may have run."""
        if self.response.is_head_sent:
            self.response.abort()
            return
        self.response.outcome = caller_response.UNKNOWN
        content = {
            'outcome': caller_response.UNKNOWN,
            'reason': 'internal-fault',
        }
        self.response.send_json(504, content)

    def send_refusal(self) -> None:
        """Answer a refused request once."""
        if not self.response.is_head_sent:
            is_keyed = self.head is not None and bool(self.head.key)
            self.response.send_refusal(self.refusal, is_keyed=is_keyed)

    def on_disconnect(self) -> None:
        """Note that the caller closed the connection while waiting."""
        if self.task is not None:
            self.server.on_disconnect(self)

    def on_connection_close(self) -> None:
        """Note that the caller closed the connection in its request."""
        self.release()

    def release(self) -> None:
        """Give back the memory of the body."""
        self.server.bodies_bytes -= self.size
        self.size = 0
        self.parts.clear()


def too_large(limit: int) -> request_head.Refusal:
    """Return the refusal of a body over its limit."""
    return request_head.Refusal(413, f'body over {limit} bytes')


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Listens for callers.

    Parameters
    ----------
    route : callable
        Takes a ``CallerRequest`` with its head; returns a ``Result`` of its
        match and the limit of its body in bytes, or a ``Refusal``.
    handle : callable
        Awaited with each whole request.
    on_disconnect : callable
        Called when a caller goes away before its answer.
    record_duration : callable
        Takes the seconds of each request.
    """

    def __init__(
        self, *, route, handle: Handle, on_disconnect, record_duration
    ):
        self.route = route
        self.handle = handle
        self.on_disconnect = on_disconnect
        self.record_duration = record_duration
        self.requests: set[CallerRequest] = set()
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
        """Accept connections at an address."""
        self.http.limit_connections()
        self.http.listen(address.port, address.ip, backlog=512)

    def start_request(self, session, connection) -> CallerRequest:
        """Begin a request; tornado calls this once for each."""
        return CallerRequest(
            server=self, session=session, connection=connection
        )

    def is_closing(self) -> bool:
        """Tell whether answers close their connections."""
        return self.closing

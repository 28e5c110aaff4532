"""Caller connections with pipelined requests and ordered responses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging
import socket
import time
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
from tornado import iostream
from tornado import tcpserver

from citronshelf_common import events as log_events
from citronshelf_entry import request_head
from citronshelf_entry import response_memory
from citronshelf_entry import strict_connection
from citronshelf_instance import caller_request
from citronshelf_instance import caller_response
from citronshelf_instance import configuration
from citronshelf_instance import events
from citronshelf_instance import request_body

LOG = logging.getLogger(__name__)

# Capacity of the queue of requests behind the one whose response is due next.
MAX_PIPELINED_REQUESTS = 8
MAX_BUFFER_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024
# A caller that lost power acknowledges nothing, and without this limit the
# kernel sends to it for a quarter of an hour. Not below the time that callers
# without a deadline wait for their responses.
ACKNOWLEDGE_TIMEOUT_S = 30.0
# While a caller waits, tornado reads nothing from its connection once bytes of
# a later request are buffered, and so does not see that the caller closes it.
# The connection is then checked at this interval.
CLOSE_CHECK_INTERVAL_S = 0.2
# States of TCP in which the other end sends nothing more, by tcp(7).
TCP_CLOSE = 7
TCP_CLOSE_WAIT = 8
# A head is read up to this multiple of the limit on its headers, so that it is
# refused with a response; a longer one closes the connection without any.
MAX_READ_HEAD_FACTOR = 4
CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
# Limits until the first ones are known. They deny no request.
DEFAULT_LIMITS = configuration.CallerLimits()
LIMIT_STATUSES = frozenset({413, 431})
SHUTTING_DOWN = request_head.RequestRefusal(503, 'shutting down')

# Errors of the caller or its connection while a request is read.
READ_ERRORS = (
    iostream.StreamClosedError,
    iostream.UnsatisfiableReadError,
    TimeoutError,
)


class Application(NamedTuple):
    """Callbacks and header names that connections use.

    Attributes
    ----------
    handle : callable
        Called with a ``CallerRequest``; returns an awaitable
        ``CallerResponse``.
    may_run_concurrently : callable
        Called with a ``RequestHead``; returns whether the request may run
        before earlier ones of its connection have their responses.
    limits : callable
        Returns the ``CallerLimits`` in force; None if none are known.
    is_up_to_date : callable
        Returns False if newer limits are known or likely.
    names : HeaderNames
    record_refusal : callable
        Called with each ``RequestRefusal`` of a request that cannot be read,
        and the request id, which is empty if it is unknown.
    """

    handle: Callable[
        [caller_request.CallerRequest],
        Awaitable[caller_response.CallerResponse],
    ]
    may_run_concurrently: Callable[[caller_request.RequestHead], bool]
    limits: Callable[[], configuration.CallerLimits | None]
    is_up_to_date: Callable[[], bool]
    names: caller_request.HeaderNames
    record_refusal: Callable[[request_head.RequestRefusal, str], None]


class PendingRequest(NamedTuple):
    """A request whose response has not been written."""

    method: str
    request_id: str
    keep_alive: bool
    response: asyncio.Task
    delivery: 'Delivery'


class Delivery:
    """A response that is held until the caller's socket has accepted it.

    Parameters
    ----------
    request_id : str
    stream : IOStream
        Connection of the caller.
    memory : ResponseMemory
        Counts the body, and can close the connection.
    """

    def __init__(
        self,
        *,
        request_id: str,
        stream: iostream.IOStream,
        memory: response_memory.ResponseMemory,
    ):
        self.request_id = request_id
        self.stream = stream
        self.memory = memory

    def begin(self, response: caller_response.CallerResponse) -> None:
        """Count the body of the response."""
        self.memory.add(self, len(response.body))

    def end(self) -> None:
        """Stop counting the body."""
        self.memory.release(self)

    def has_known_length(self) -> bool:
        """Return True: the response is complete."""
        return True

    def drop_for_memory(self) -> None:
        """Close the connection, so that the response looks incomplete."""
        self.stream.close()


class CallerConnection:
    """One connection of a caller.

    Parameters
    ----------
    stream : IOStream
    server : CallerServer
    """

    def __init__(self, *, stream: iostream.IOStream, server: 'CallerServer'):
        self.stream = stream
        self.server = server
        self.pending: asyncio.Queue[PendingRequest] = asyncio.Queue(
            MAX_PIPELINED_REQUESTS
        )
        self.outstanding = 0
        self.response_written = asyncio.Event()
        self.last_response_s = time.monotonic()
        self.announced_idle_s = 0.0
        # Read of the first byte of the next request.
        self.first_byte: asyncio.Future[bytes] | None = None
        self.reading = False
        # Head of the request that is being read, without its first byte.
        self.head_data = b''
        # What the response that is being written announced.
        self.closing = False
        self.keeping_open = False

    async def serve(self) -> None:
        """Serve requests until either side closes the connection.

        While nothing is read, for example behind a request that must run
        alone, the close callback of the stream shows that the caller has
        disconnected; see ``wait_for_responses``.
        """
        gone = asyncio.Event()
        self.stream.set_close_callback(gone.set)
        writer = asyncio.create_task(self.write_responses())
        reader = asyncio.create_task(self.read_requests())
        closed = asyncio.create_task(gone.wait())
        tasks = {writer, reader, closed}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if reader.done() and not self.stream.closed():
                await self.write_remaining_responses(writer, closed)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.cancel_pending()
            self.close()

    async def write_remaining_responses(
        self, writer: asyncio.Task, closed: asyncio.Task
    ) -> None:
        """Wait until the writer has written the remaining responses.

        Returns early if the caller disconnects.
        """
        remaining = asyncio.create_task(self.wait_for_responses())
        try:
            await asyncio.wait(
                {writer, closed, remaining},
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            remaining.cancel()

    def cancel_pending(self) -> None:
        """Cancel the requests that are still queued for the writer."""
        while not self.pending.empty():
            self.cancel_request(self.pending.get_nowait())

    def cancel_request(self, pending: PendingRequest) -> None:
        """Cancel a request and log it, unless it has finished."""
        pending.delivery.end()
        if pending.response.cancel():
            log_events.log_event(
                LOG, events.CALLER_GONE, request_id=pending.request_id
            )

    def close(self) -> None:
        """Close with a delay, so that a response in transit is not lost.

        A socket that is closed with unread bytes resets the connection.
        """
        if not self.stream.closed():
            strict_connection.linger(self.stream)

    def is_idle(self) -> bool:
        """Return whether no request has arrived that is not answered."""
        has_arrived = self.first_byte is not None and self.first_byte.done()
        return not (self.outstanding or self.reading or has_arrived)

    async def read_requests(self) -> None:
        """Read requests up to the last of the connection or a read error.

        Each is read and started in a call of its own, so that its body is not
        kept while the connection is idle.
        """
        while await self.read_and_start():
            if self.pending.full():
                await self.wait_for_responses()

    async def read_and_start(self) -> bool:
        """Read and start one request; return whether another may follow.

        Its body counts as held from its first byte until the request has
        ended or will not be started.
        """
        held = request_body.HeldBody(buffered=self.server.buffered_bodies)
        started = None
        try:
            request = await self.read_next(held)
            if request is None:
                return False
            started = self.start(request)
            started.add_done_callback(lambda task: held.release())
            return request.head.keep_alive
        finally:
            if started is None:
                held.release()

    async def read_next(
        self, held: request_body.HeldBody
    ) -> caller_request.CallerRequest | None:
        """Return the next request when it may start, None if none may."""
        try:
            read = await self.read_request(held)
        except READ_ERRORS as fault:
            self.log_incomplete_request(fault)
            return None
        if read.is_error():
            await self.refuse_last(read.error, held)
            return None
        request = read.ok
        if not self.server.application.may_run_concurrently(request.head):
            await self.wait_for_responses()
        if self.closing or (
            self.server.finishing and self.has_unannounced_response()
        ):
            # A response announces that the connection closes, so the caller
            # sends this request again.
            return None
        if not self.server.is_time_for(request):
            await self.refuse_last(SHUTTING_DOWN, held)
            return None
        return request

    async def refuse_last(
        self,
        refusal: request_head.RequestRefusal,
        held: request_body.HeldBody,
    ) -> None:
        """Refuse the last request; wait until its response is written."""
        held.release()
        self.refuse(refusal)
        await self.wait_for_responses()

    def log_incomplete_request(self, fault: Exception) -> None:
        """Log a read error, unless the connection was idle."""
        if self.reading:
            log_events.log_event(
                LOG,
                events.REQUEST_REFUSED,
                request_id=self.find_request_id(),
                reason=f'unread: {fault!r}',
            )

    async def wait_for_responses(self) -> None:
        """Wait until the responses of all earlier requests are written.

        Closes the stream if the caller disconnects meanwhile.
        """
        while self.outstanding:
            self.response_written.clear()
            try:
                async with asyncio.timeout(CLOSE_CHECK_INTERVAL_S):
                    await self.response_written.wait()
            except TimeoutError:
                if has_disconnected(self.stream):
                    self.stream.close()

    def start(self, request: caller_request.CallerRequest) -> asyncio.Task:
        """Start handling a request in a task of its own; return the task."""
        head = request.head
        delivery = self.make_delivery(head.request_id)
        task = asyncio.create_task(self.server.run(request, delivery))
        self.outstanding += 1
        self.end_reading()
        self.head_data = b''
        self.pending.put_nowait(
            PendingRequest(
                head.method, head.request_id, head.keep_alive, task, delivery
            )
        )
        return task

    def make_delivery(self, request_id: str) -> Delivery:
        """Return the delivery of one response on this connection."""
        return Delivery(
            request_id=request_id,
            stream=self.stream,
            memory=self.server.response_memory,
        )

    def refuse(self, refusal: request_head.RequestRefusal) -> None:
        """Queue the response to a request that is not handled.

        The connection closes after it, so no further request is read.
        """
        self.server.application.record_refusal(refusal, self.find_request_id())
        response = asyncio.get_running_loop().create_future()
        response.set_result(
            caller_response.from_refusal(refusal, closes_connection=True)
        )
        self.outstanding += 1
        self.end_reading()
        self.pending.put_nowait(
            PendingRequest('', '', False, response, self.make_delivery(''))
        )

    def end_reading(self) -> None:
        """Record that the request which was read has been queued."""
        self.first_byte = None
        self.reading = False

    def find_request_id(self) -> str:
        """Return the id of the request being read, empty if unknown."""
        names = self.server.application.names
        return caller_request.find_request_id(self.head_data, names)

    def has_unannounced_response(self) -> bool:
        """Return whether a response is due that has not been begun."""
        return self.outstanding > int(self.keeping_open)

    async def write_responses(self) -> None:
        """Write responses in the order of their requests.

        Each is written in a call of its own, so that its body is not kept
        while the connection is idle.
        """
        while await self.write_next_response():
            pass

    async def write_next_response(self) -> bool:
        """Write one response; return whether another may follow."""
        pending = await self.pending.get()
        try:
            response = await pending.response
        except asyncio.CancelledError:
            self.cancel_request(pending)
            raise
        closes_connection = self.closing = self.should_close_after(
            pending, response
        )
        self.keeping_open = not closes_connection
        limits = self.limits()
        self.announced_idle_s = limits.idle_timeout_s
        parts = caller_response.render(
            response,
            method=pending.method,
            closes_connection=closes_connection,
            limits=limits,
        )
        try:
            for part in parts[:-1]:
                self.stream.write(part)
            await self.stream.write(parts[-1])
        except iostream.StreamClosedError:
            return False
        finally:
            pending.delivery.end()
        self.outstanding -= 1
        self.keeping_open = False
        self.last_response_s = time.monotonic()
        self.response_written.set()
        self.pending.task_done()
        return not closes_connection

    def should_close_after(
        self, pending: PendingRequest, response: caller_response.CallerResponse
    ) -> bool:
        """Return whether to close the connection after a response.

        It stays open while a later request runs, because the caller would
        send that request again.
        """
        if self.outstanding > 1:
            return False
        return (
            response.closes_connection
            or not pending.keep_alive
            or self.server.draining
        )

    async def read_request(self, held: request_body.HeldBody) -> Result:
        """Return ``Ok`` with the next request or ``Error`` with a refusal.

        Raises one of ``READ_ERRORS`` if the caller stops sending or the head
        is too long to be read.
        """
        first = await self.read_first_byte()
        self.reading = True
        self.head_data = b''
        # Other limits may have come into force while the connection was idle.
        published = self.server.application.limits()
        read = await self.read_within(first, held, published or DEFAULT_LIMITS)
        reason = self.undecided_reason(published)
        return read.map_error(lambda fault: withhold_denial(fault, reason))

    def undecided_reason(
        self, published: configuration.CallerLimits | None
    ) -> str:
        """Return why other limits may be in force, or an empty string."""
        if published is None:
            return 'no configuration'
        if not self.server.application.is_up_to_date():
            return 'outdated configuration'
        return ''

    async def read_within(
        self,
        first: bytes,
        held: request_body.HeldBody,
        limits: configuration.CallerLimits,
    ) -> Result:
        """Read the rest of a request as ``read_request`` returns it."""
        async with asyncio.timeout(limits.head_timeout_s):
            rest = await self.stream.read_until(
                b'\r\n\r\n',
                max_bytes=MAX_READ_HEAD_FACTOR * limits.max_head_bytes,
            )
        arrived_s = time.monotonic()
        self.head_data = rest
        if caller_request.count_header_bytes(rest) > limits.max_head_bytes:
            text = f'headers over {limits.max_head_bytes} bytes'
            return Error(request_head.RequestRefusal(431, text))
        parsed = caller_request.parse_head(
            first + rest, self.server.application.names
        )
        if parsed.is_error():
            return parsed
        head = parsed.ok
        if (head.framing.length or 0) > limits.max_body_bytes:
            return Error(request_body.body_too_large(limits))
        if head.expects_continue:
            await self.stream.write(CONTINUE_RESPONSE)
        reader = request_body.BodyReader(
            stream=self.stream,
            held=held,
            limits=limits,
        )
        body = await read_within_deadline(reader, head)
        if body.is_error():
            return body
        return Ok(caller_request.CallerRequest(head, body.ok, arrived_s))

    async def read_first_byte(self) -> bytes:
        """Return the first byte of the next request.

        Raises ``TimeoutError`` if the caller is idle.
        """
        while True:
            first = await self.wait_for_byte()
            # Empty lines before a request are ignored.
            if first not in b'\r\n':
                return first

    async def wait_for_byte(self) -> bytes:
        """Return the next byte; raise ``TimeoutError`` if the caller is idle.

        A caller that waits for a response is not idle.
        """
        reading = self.first_byte = asyncio.ensure_future(
            self.stream.read_bytes(1)
        )
        while True:
            remaining_s = self.idle_timeout_s()
            if not self.outstanding:
                remaining_s += self.last_response_s - time.monotonic()
                if remaining_s <= 0:
                    raise TimeoutError
            await asyncio.wait({reading}, timeout=remaining_s)
            if reading.done():
                return reading.result()

    def idle_timeout_s(self) -> float:
        """Return how long the caller may be idle.

        That is at least as long as the last response announced.
        """
        return max(self.announced_idle_s, self.limits().idle_timeout_s)

    def limits(self) -> configuration.CallerLimits:
        """Return the limits in force, or the default ones."""
        return self.server.application.limits() or DEFAULT_LIMITS


def has_disconnected(stream: iostream.IOStream) -> bool:
    """Return whether the other end has closed an open connection.

    The kernel knows that before the bytes that arrived earlier are read.
    """
    if stream.closed():
        return False
    state = stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return state[0] in (TCP_CLOSE, TCP_CLOSE_WAIT)


def limit_unacknowledged(stream: iostream.IOStream) -> None:
    """End the connection if the caller takes no sent byte for a while."""
    # Fails if the caller has disconnected, which the first read shows.
    with contextlib.suppress(OSError):
        stream.socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            int(ACKNOWLEDGE_TIMEOUT_S * 1000),
        )


async def read_within_deadline(
    reader: request_body.BodyReader, head: caller_request.RequestHead
) -> Result:
    """Return ``Ok`` with the body or ``Error`` with a refusal.

    After the deadline of the request its body is of no use.
    """
    try:
        async with asyncio.timeout(head.timeout_s) as deadline:
            return await reader.read(head.framing)
    except TimeoutError:
        if not deadline.expired():
            raise
    return Error(request_head.RequestRefusal(408, 'body after the deadline'))


class CallerServer(tcpserver.TCPServer):
    """Accepts connections of callers.

    Parameters
    ----------
    application : Application
    max_connections : int
        Connections beyond this number are closed at once.
    memory : ResponseMemory
        Limits the bytes that are held for responses.

    Attributes
    ----------
    tasks : set of asyncio.Task
        Tasks of the requests that are being handled.
    draining : bool
        Each connection closes after the response to its last request.
    finishing : bool
        A request behind a running one of its connection is not handled, nor
        one that may last longer than ``work_end_s``.
    work_end_s : float
        Monotonic time at which the running requests are ended.
    """

    def __init__(
        self,
        *,
        application: Application,
        max_connections: int,
        memory: response_memory.ResponseMemory,
    ):
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self.response_memory = memory
        self.application = application
        self.max_connections = max_connections
        self.connections: set[CallerConnection] = set()
        self.buffered_bodies = request_body.BufferedBytes()
        self.tasks: set[asyncio.Task] = set()
        self.draining = False
        self.finishing = False
        self.work_end_s = float('inf')

    async def handle_stream(self, stream, address) -> None:
        """Serve a connection unless there are too many; called by tornado."""
        if len(self.connections) >= self.max_connections:
            log_events.log_event(
                LOG,
                events.REQUEST_REFUSED,
                reason='too many connections',
                connections=len(self.connections),
            )
            stream.close()
            return
        stream.set_nodelay(True)
        limit_unacknowledged(stream)
        connection = CallerConnection(stream=stream, server=self)
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    async def run(
        self, request: caller_request.CallerRequest, delivery: Delivery
    ) -> caller_response.CallerResponse:
        """Handle a request and count it as running, then begin its delivery.

        The response counts as held at once, as it may wait for earlier ones.
        """
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            response = await self.application.handle(request)
            delivery.begin(response)
            return response
        finally:
            self.tasks.discard(task)

    def is_time_for(self, request: caller_request.CallerRequest) -> bool:
        """Return whether a request will have ended before the shutdown."""
        expires_s = request.arrived_s + request.head.timeout_s
        return not self.finishing or expires_s <= self.work_end_s

    def finish(self, work_end_s: float = float('inf')) -> None:
        """Stop listening; handle only requests that are sure to end in time.

        Parameters
        ----------
        work_end_s : float
            Monotonic time at which the running requests will be ended.
        """
        self.finishing = True
        self.work_end_s = work_end_s
        self.stop()
        self.close_idle()

    def close_idle(self) -> None:
        """Close connections without a request in progress."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.stream.close()

    def end_requests(self) -> None:
        """Cancel the running requests; the application responds to them."""
        for task in list(self.tasks):
            task.cancel()

    def is_finished(self) -> bool:
        """Return whether no connection has a request in progress."""
        return all(connection.is_idle() for connection in self.connections)


def withhold_denial(
    refusal: request_head.RequestRefusal, undecided_reason: str
) -> request_head.RequestRefusal:
    """Return a refusal that allows a retry if other limits may be in force."""
    if undecided_reason and refusal.status in LIMIT_STATUSES:
        return request_head.RequestRefusal(503, undecided_reason)
    return refusal

"""Connections of callers: requests are read ahead and answered in order."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import time
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
from tornado import iostream
from tornado import tcpserver

from citronshelf_common import events as log_events
from citronshelf_entry import request_head
from citronshelf_entry import strict_connection
from citronshelf_instance import answers
from citronshelf_instance import caller_request
from citronshelf_instance import configuration
from citronshelf_instance import events
from citronshelf_instance import request_body

LOG = logging.getLogger(__name__)

# Requests of one connection that run at the same time.
MAX_READ_AHEAD = 8
MAX_BUFFER_BYTES = 256 * 1024
LISTEN_BACKLOG = 1024
# A head over the limit is read so far and refused; a longer one ends the
# connection without an answer.
READ_HEAD_FACTOR = 4
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

# Faults of the caller or its connection while a request is read.
READ_FAULTS = (
    iostream.StreamClosedError,
    iostream.UnsatisfiableReadError,
    TimeoutError,
)


class Service(NamedTuple):
    """What connections need from the rest of the instance.

    Attributes
    ----------
    handle : callable
        Takes a ``CallerRequest``, returns an awaitable ``Answer``.
    may_run_ahead : callable
        Takes a ``Head``; tells whether the request may run before earlier
        ones of its connection are answered.
    limits : callable
        Returns the ``CallerLimits`` in force.
    names : HeaderNames
    """

    handle: Callable[[caller_request.CallerRequest], Awaitable[answers.Answer]]
    may_run_ahead: Callable[[caller_request.Head], bool]
    limits: Callable[[], configuration.CallerLimits]
    names: caller_request.HeaderNames


class Pending(NamedTuple):
    """A request whose answer is not written."""

    method: str
    request_id: str
    keeps_open: bool
    answer: asyncio.Task


class CallerConnection:
    """One connection.

    Parameters
    ----------
    stream : IOStream
    server : CallerServer
    """

    def __init__(self, *, stream: iostream.IOStream, server: 'CallerServer'):
        self.stream = stream
        self.server = server
        self.pending: asyncio.Queue[Pending] = asyncio.Queue(MAX_READ_AHEAD)
        self.unanswered = 0
        self.answered = asyncio.Event()
        self.answered_s = time.monotonic()
        self.reading = False
        self.ending = False

    async def serve(self) -> None:
        """Serve until either side closes."""
        writer = asyncio.create_task(self.write_answers())
        reader = asyncio.create_task(self.read_requests())
        tasks = {writer, reader}
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            if reader.done() and not self.stream.closed():
                await self.finish_writing(writer)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.drop_pending()
            self.close()

    async def finish_writing(self, writer: asyncio.Task) -> None:
        """Write the remaining answers after the last request was read.

        Without a reader, the close callback of the stream tells that the
        caller left.
        """
        gone = asyncio.Event()
        self.stream.set_close_callback(gone.set)
        waits = {
            asyncio.create_task(gone.wait()),
            asyncio.create_task(self.wait_answered()),
        }
        try:
            await asyncio.wait(
                {writer, *waits}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for wait in waits:
                wait.cancel()

    def drop_pending(self) -> None:
        """Stop requests whose caller is gone."""
        while not self.pending.empty():
            self.drop(self.pending.get_nowait())

    def drop(self, one: Pending) -> None:
        """Stop one request."""
        if one.answer.cancel():
            log_events.log_event(
                LOG, events.CALLER_GONE, request_id=one.request_id
            )

    def close(self) -> None:
        """Close; unread bytes must not destroy an answer on its way."""
        if not self.stream.closed():
            strict_connection.linger(self.stream)

    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return not self.unanswered and not self.reading

    async def read_requests(self) -> None:
        """Read requests until one ends the connection."""
        while True:
            try:
                read = await self.read_request()
            except READ_FAULTS as fault:
                self.log_unread(fault)
                return
            if read.is_error():
                self.refuse(read.error)
                await self.pending.join()
                return
            request = read.ok
            if not self.server.service.may_run_ahead(request.head):
                await self.wait_answered()
            if self.ending:
                # The caller was told that the connection closes, so that it
                # sends this request again.
                return
            self.start(request)
            if not request.head.keeps_open:
                return
            if self.pending.full():
                await self.wait_answered()

    def log_unread(self, fault: Exception) -> None:
        """Log a request that its caller began and did not end."""
        if self.reading:
            log_events.log_event(
                LOG, events.REQUEST_REFUSED, reason=f'unread: {fault!r}'
            )

    async def wait_answered(self) -> None:
        """Wait until every earlier request is answered."""
        while self.unanswered:
            self.answered.clear()
            await self.answered.wait()

    def start(self, request: caller_request.CallerRequest) -> None:
        """Handle a request while more are read."""
        head = request.head
        task = asyncio.create_task(self.server.run(request))
        self.unanswered += 1
        self.reading = False
        self.pending.put_nowait(
            Pending(head.method, head.request_id, head.keeps_open, task)
        )

    def refuse(self, refusal: request_head.Refusal) -> None:
        """Answer a request that cannot be read, and read no further."""
        self.server.count_refusal(refusal)
        answer = asyncio.get_running_loop().create_future()
        answer.set_result(answers.of_refusal(refusal, closes=True))
        self.unanswered += 1
        self.reading = False
        self.pending.put_nowait(Pending('', '', False, answer))

    async def write_answers(self) -> None:
        """Write answers in the order of their requests."""
        while True:
            one = await self.pending.get()
            try:
                answer = await one.answer
            except asyncio.CancelledError:
                self.drop(one)
                raise
            closes = self.ending = self.closes_after(one, answer)
            data = answers.render(
                answer,
                method=one.method,
                closes=closes,
                limits=self.server.service.limits(),
            )
            try:
                await self.stream.write(data)
            except iostream.StreamClosedError:
                return
            self.unanswered -= 1
            self.answered_s = time.monotonic()
            self.answered.set()
            self.pending.task_done()
            if closes:
                return

    def closes_after(self, one: Pending, answer: answers.Answer) -> bool:
        """Tell whether the connection ends with an answer.

        It stays open while a later request runs: the caller would send that
        one again.
        """
        if self.unanswered > 1:
            return False
        return answer.closes or not one.keeps_open or self.server.draining

    async def read_request(self) -> Result:
        """Read one request; ``Error`` with a refusal ends the connection."""
        limits = self.server.service.limits()
        first = await self.read_first_byte(limits)
        self.reading = True
        async with asyncio.timeout(limits.head_timeout_s):
            rest = await self.stream.read_until(
                b'\r\n\r\n',
                max_bytes=READ_HEAD_FACTOR * limits.max_head_bytes,
            )
        arrived_s = time.monotonic()
        if len(rest) >= limits.max_head_bytes:
            text = f'head over {limits.max_head_bytes} bytes'
            return Error(request_head.Refusal(431, text))
        parsed = caller_request.parse_head(
            first + rest, self.server.service.names
        )
        if parsed.is_error():
            return parsed
        head = parsed.ok
        if (head.framing.length or 0) > limits.max_body_bytes:
            return Error(request_body.too_large(limits))
        if head.continues:
            await self.stream.write(CONTINUE)
        reader = request_body.BodyReader(
            stream=self.stream, held=self.server.bodies, limits=limits
        )
        body = await reader.read(head.framing)
        if body.is_error():
            return body
        return Ok(caller_request.CallerRequest(head, body.ok, arrived_s))

    async def read_first_byte(self, limits) -> bytes:
        """Wait for the next request as long as an idle caller may take."""
        while True:
            first = await self.wait_for_byte(limits)
            # Empty lines between requests are allowed.
            if first not in b'\r\n':
                return first

    async def wait_for_byte(self, limits) -> bytes:
        """Wait for one byte; the caller is not idle while it waits itself."""
        reading = asyncio.ensure_future(self.stream.read_bytes(1))
        while True:
            left_s = limits.idle_timeout_s
            if not self.unanswered:
                left_s += self.answered_s - time.monotonic()
                if left_s <= 0:
                    raise TimeoutError
            await asyncio.wait({reading}, timeout=left_s)
            if reading.done():
                return reading.result()


class CallerServer(tcpserver.TCPServer):
    """Accepts connections of callers.

    Parameters
    ----------
    service : Service
    max_connections : int
        Further connections are closed at once.
    """

    def __init__(self, *, service: Service, max_connections: int):
        super().__init__(max_buffer_size=MAX_BUFFER_BYTES)
        self.service = service
        self.max_connections = max_connections
        self.connections: set[CallerConnection] = set()
        self.bodies = request_body.HeldBytes()
        self.running = 0
        self.draining = False
        self.refused = 0

    async def handle_stream(self, stream, address) -> None:
        """Serve one connection; tornado calls this for each."""
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
        connection = CallerConnection(stream=stream, server=self)
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)

    async def run(self, request: caller_request.CallerRequest):
        """Handle one request and count it while it runs."""
        self.running += 1
        try:
            return await self.service.handle(request)
        finally:
            self.running -= 1

    def count_refusal(self, refusal: request_head.Refusal) -> None:
        """Log a request that could not be read."""
        self.refused += 1
        log_events.log_event(
            LOG,
            events.REQUEST_REFUSED,
            status=refusal.status,
            reason=refusal.reason,
        )

    def close_idle(self) -> None:
        """Close connections on which no request waits."""
        for connection in list(self.connections):
            if connection.is_idle():
                connection.stream.close()

    def is_finished(self) -> bool:
        """Tell whether every request is answered."""
        return all(one.is_idle() for one in self.connections)

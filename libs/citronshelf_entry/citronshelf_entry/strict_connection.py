"""Tornado's HTTP server with strict validation of raw heads."""

import asyncio
import logging
import resource

from tornado import http1connection
from tornado import httpserver
from tornado import iostream

from citronshelf_common import events as log_events
from citronshelf_entry import events
from citronshelf_entry import request_head

LOG = logging.getLogger(__name__)
# Time limits for an idle or slow caller to hold a connection. Responses
# advertise a shorter idle time, so that callers stop using a connection before
# it is closed.
IDLE_TIMEOUT_S = 75.0
ADVERTISED_IDLE_S = 60
BODY_TIMEOUT_S = 30.0
# Beyond this the connection is closed without a response.
MAX_READ_HEAD_BYTES = 4 * request_head.MAX_HEAD_BYTES
MAX_BUFFER_BYTES = 128 * 1024
# Each connection may hold MAX_BUFFER_BYTES of unread requests.
MAX_CONNECTIONS = 4096
MIN_CONNECTIONS = 256
RESERVED_DESCRIPTORS = 1024
LINGER_S = 1.0
LINGER_BYTES = 256 * 1024
ERROR_RESPONSE = (
    'HTTP/1.1 {status} {reason}\r\n'
    'Content-Type: application/json\r\n'
    'Content-Length: {length}\r\n'
    'Citronshelf-Outcome: not-run\r\n'
    'Connection: close\r\n\r\n'
)


class StrictConnection(http1connection.HTTP1Connection):
    """Reads one request; refuses heads that parsers may read differently."""

    def _parse_headers(self, data: bytes):
        refusal = request_head.find_raw_fault(data)
        if refusal is not None:
            self.refuse(refusal)
            raise iostream.StreamClosedError
        return super()._parse_headers(data)

    def refuse(self, refusal: request_head.RequestRefusal) -> None:
        """Send an error response and close the connection."""
        body = b'{"outcome": "not-run", "reason": "%b"}\n' % (
            refusal.reason.encode()
        )
        head = ERROR_RESPONSE.format(
            status=refusal.status, reason='Refused', length=len(body)
        )
        self.stream.write(head.encode() + body)
        linger(self.stream)


class ServerConnection(http1connection.HTTP1ServerConnection):
    """One connection of a caller.

    Attributes
    ----------
    busy : bool
        A head has arrived and its response is not complete.
    ending : bool
        The server is closing the connection; no further request may run.
    """

    busy = False
    ending = False

    async def _server_request_loop(self, delegate) -> None:
        try:
            while await self.serve_request(delegate):
                self.busy = False
                await asyncio.sleep(0)
        finally:
            delegate.on_close(self)

    async def serve_request(self, delegate) -> bool:
        """Read and handle one request; False ends the connection."""
        connection = StrictConnection(
            self.stream, False, self.params, self.context
        )
        request = delegate.start_request(self, connection)
        try:
            return await connection.read_response(request)
        except (iostream.StreamClosedError, iostream.UnsatisfiableReadError):
            return False


class StrictServer(httpserver.HTTPServer):
    """Accepts connections of callers up to a limit."""

    max_connections = MAX_CONNECTIONS

    def limit_connections(self) -> None:
        """Limit connections by the descriptor limit of the process.

        Some descriptors are reserved for connections to backend servers,
        other instances and the control daemon.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        free = max(MIN_CONNECTIONS, soft - RESERVED_DESCRIPTORS)
        self.max_connections = min(MAX_CONNECTIONS, free)

    def handle_stream(self, stream, address) -> None:
        """Serve a connection, or close it if there are too many."""
        if len(self._connections) >= self.max_connections:
            log_events.log_event(
                LOG, events.CONNECTION_REFUSED, open=len(self._connections)
            )
            stream.close()
            return
        context = httpserver._HTTPRequestContext(
            stream, address, self.protocol, self.trusted_downstream
        )
        # Tornado toggles TCP_NODELAY for each response, which costs two
        # system calls.
        stream.set_nodelay(True)
        stream.set_nodelay = ignore_nodelay
        connection = ServerConnection(stream, self.conn_params, context)
        self._connections.add(connection)
        connection.start_serving(self)

    def open_connections(self) -> list[ServerConnection]:
        """Return the open connections of callers."""
        return list(self._connections)


def ignore_nodelay(_value: bool) -> None:
    """Keep TCP_NODELAY as it was set when the connection was accepted."""


def linger(stream: iostream.IOStream) -> None:
    """Close a connection so that the caller can still read the response.

    If a socket with unread bytes is closed, the kernel sends a reset, which
    may discard the response on the caller's side.
    """
    task = asyncio.ensure_future(read_rest_and_close(stream))
    LINGERING.add(task)
    task.add_done_callback(LINGERING.discard)


LINGERING: set[asyncio.Task] = set()


async def read_rest_and_close(stream: iostream.IOStream) -> None:
    """Shut down writing, discard unread bytes, then close.

    Reads about ``LINGER_BYTES`` at most, for up to ``LINGER_S``.
    """
    try:
        async with asyncio.timeout(LINGER_S):
            await wait_written(stream)
            if stream.closed():
                return
            stream.socket.shutdown(1)
            left = LINGER_BYTES
            while left > 0:
                left -= len(await stream.read_bytes(65536, partial=True))
    except (TimeoutError, OSError, iostream.StreamClosedError):
        return
    except AssertionError:
        # Raised if tornado is already reading from the stream.
        await asyncio.sleep(LINGER_S)
    finally:
        stream.close()


async def wait_written(stream: iostream.IOStream) -> None:
    """Wait until all buffered bytes are written to the socket."""
    while stream.writing():
        await asyncio.sleep(0.01)

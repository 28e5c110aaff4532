"""Applications and helpers for tests of caller connections."""

import asyncio

from citronshelf_entry import response_memory
from citronshelf_instance import caller_connection
from citronshelf_instance import caller_request
from citronshelf_instance import caller_response
from citronshelf_instance import configuration

SHORT = configuration.CallerLimits(
    max_head_bytes=1024,
    max_body_bytes=1000,
    head_timeout_s=0.3,
    idle_timeout_s=0.3,
)
RESPONSE_LIMIT_BYTES = 30_000_000


class ScriptedApplication:
    """Application that echoes path and body of requests after a delay.

    Parameters
    ----------
    delays : dict
        Seconds by path; requests for other paths have no delay.
    """

    def __init__(self, delays=None, limits=SHORT):
        self.delays = delays or {}
        self.limits = limits
        self.up_to_date = True
        self.started = []
        self.ended = []
        self.order = []
        self.cancelled = []
        self.refusals = []

    async def handle(self, request):
        path = request.head.path
        self.started.append(path)
        self.order.append(f'begin {path}')
        try:
            await asyncio.sleep(self.delays.get(path, 0))
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        self.ended.append(path)
        self.order.append(f'end {path}')
        return caller_response.CallerResponse(
            200, (), path.encode() + request.body
        )

    async def __aenter__(self):
        application = caller_connection.Application(
            handle=self.handle,
            may_run_concurrently=lambda head: head.method == 'GET',
            limits=lambda: self.limits,
            is_up_to_date=lambda: self.up_to_date,
            names=caller_request.HeaderNames(),
            record_refusal=lambda refusal, request_id: self.refusals.append(
                (refusal.status, request_id)
            ),
        )
        self.memory = response_memory.ResponseMemory(
            limit_bytes=RESPONSE_LIMIT_BYTES
        )
        self.server = caller_connection.CallerServer(
            application=application, max_connections=4, memory=self.memory
        )
        self.server.listen(0, '127.0.0.1')
        sockets = list(self.server._sockets.values())
        self.port = sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_details):
        self.server.stop()

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)


class RepeatingApplication(ScriptedApplication):
    """Application that keeps request bodies and returns one fixed body."""

    def __init__(self, body):
        super().__init__()
        self.body = body
        self.request_bodies = []

    async def handle(self, request):
        self.request_bodies.append(request.body)
        return caller_response.CallerResponse(200, (), self.body)


def request_bytes(path, method='GET', body=b'', extra=''):
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = f'{method} {path} HTTP/1.1\r\nHost: a\r\n{length}{extra}\r\n'
    return head.encode() + body


async def read_response(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    length = 0
    for line in head.lower().split('\r\n'):
        if line.startswith('content-length:'):
            length = int(line.partition(':')[2])
    return head, await reader.readexactly(length)


async def read_final(reader):
    """Return the next response that is not an interim one."""
    while True:
        head, body = await read_response(reader)
        if not head.startswith('HTTP/1.1 1'):
            return head, body

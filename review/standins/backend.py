"""Stand-in for a backend server that follows the users' protocol."""

import asyncio
import time


class Backend:
    """Runs requests that name it and records each arrival.

    Attributes
    ----------
    arrivals : list of dict
        One entry for each request that it began to run.
    leaving : bool
        It says in each answer that it leaves.
    """

    def __init__(self, *, server_id, service, work_s=0.05):
        self.server_id = server_id
        self.service = service
        self.work_s = work_s
        self.leaving = False
        self.arrivals = []
        self.writers = set()

    async def start(self):
        """Listen on a free loopback port."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """End: the port is closed and open connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, **changes):
        """Return the entry that it writes to the store."""
        return {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'howrah',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmup-left-ms': 0,
            'sequence': 1,
            'born': 1_790_000_000_000,
        } | changes

    async def serve(self, reader, writer):
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                start, fields = parse_head(head)
                length = int(fields.get('content-length', 0))
                body = await reader.readexactly(length)
                await self.answer(start, fields, body, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, start, fields, body, writer):
        """Run one request, or reject one that names another server."""
        request_id = fields.get('request-id', '')
        if fields.get('expect-instance', self.server_id) != self.server_id:
            writer.write(self.encode(421, request_id, b'', sealed=False))
            return
        method, target, _ = start.split(' ')
        self.arrivals.append(
            {
                'at': time.monotonic(),
                'server': self.server_id,
                'request': request_id,
                'method': method,
                'target': target,
                'body': body.decode('latin-1'),
            }
        )
        await asyncio.sleep(self.work_s)
        text = f'{self.server_id} ran {request_id}\n'.encode()
        writer.write(
            self.encode(200, request_id, b'' if method == 'HEAD' else text)
        )

    def encode(self, status, request_id, body, *, sealed=True):
        """Return the bytes of an answer."""
        lines = [f'HTTP/1.1 {status} Answer', f'Request-Id: {request_id}']
        if sealed:
            lines.append(f'Response-Seal: {self.server_id}.{request_id}')
        if self.leaving:
            lines.append('Server-Leaving: 1')
        lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', '')).encode() + body


def parse_head(head):
    """Return the start line and the headers by name in lower case."""
    start, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    return start, fields

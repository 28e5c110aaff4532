"""Stand-in for a client that keeps a connection for many requests."""

import asyncio
import contextlib
import time


class Caller:
    """Sends requests one after another over a kept connection.

    Parameters
    ----------
    port : int
    """

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def send(self, method, target, request_id, body=b'', lines=()):
        """Send a request; return a dict with its times, status and body.

        Status 0 means that the connection ended without a whole answer.
        """
        sent_s = time.monotonic()
        status, head, text = 0, '', b''
        try:
            async with asyncio.timeout(2.5):
                status, head, text = await self.exchange(
                    method, target, request_id, body, lines
                )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
        return {
            'sent': sent_s,
            'ended': time.monotonic(),
            'request': request_id,
            'status': status,
            'head': head,
            'body': text,
        }

    async def exchange(self, method, target, request_id, body, lines):
        """Send one request and read its answer."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                '127.0.0.1', self.port
            )
        head = [
            f'{method} {target} HTTP/1.1',
            'Host: shop.example',
            f'Request-Id: {request_id}',
            'Deadline-Ms: 2500',
            *lines,
        ]
        if body or method not in ('GET', 'HEAD'):
            head.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join((*head, '', '')).encode() + body)
        answer = (await self.reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        fields = answer.lower()
        length = int(fields.partition('content-length: ')[2].split()[0])
        text = b''
        if method != 'HEAD':
            text = await self.reader.readexactly(length)
        if 'connection: close' in fields:
            self.close()
        return int(answer.split(' ')[1]), answer, text

    def close(self):
        """Close the connection; the next request opens a new one."""
        if self.writer is not None:
            with contextlib.suppress(OSError):
                self.writer.close()
        self.reader = self.writer = None

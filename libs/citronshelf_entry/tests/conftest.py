"""Helpers shared by the tests of the entry daemon."""

import asyncio

import pytest

from citronshelf_common import fleet
from citronshelf_entry import upstream


class RawServer:
    """Backend server that writes the bytes given by a script.

    Parameters
    ----------
    script : callable
        Coroutine function, called for each request with this server, the
        head that was read and the writer.
    """

    def __init__(self, script):
        self.script = script
        self.heads = []
        self.connections = 0
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', 0, limit=1 << 20
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = fleet.Address('127.0.0.1', port)
        return self

    async def __aexit__(self, *_details):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b'\r\n\r\n')
                length = 0
                for line in head.lower().split(b'\r\n'):
                    if line.startswith(b'content-length:'):
                        length = int(line.partition(b':')[2])
                await reader.readexactly(length)
                self.heads.append(head)
                await self.script(self, head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def respond_with(data, *, close=False):
    """Return a script that writes the same bytes for each request."""

    async def script(_server, _head, writer):
        writer.write(data)
        await writer.drain()
        if close:
            writer.close()

    return script


def make_upstream_request(address, **changes):
    """Return a request with default values except for ``changes``."""
    values = {
        'request_id': 'r1',
        'address': address,
        'method': 'GET',
        'target': '/x',
        'headers': (),
        'body': b'',
        'timeout_s': 5.0,
        'new_connection': False,
        'max_response_bytes': 1 << 24,
        'may_send': lambda: True,
    }
    return upstream.UpstreamRequest(**(values | changes))


@pytest.fixture
def raw_server():
    return RawServer


@pytest.fixture
def scripts():
    return respond_with


@pytest.fixture
def upstream_request():
    return make_upstream_request

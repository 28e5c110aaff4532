"""Tests of closing connections, over real sockets."""

import asyncio
import socket

from tornado import iostream

from citronshelf_entry import strict_connection


def failures_of_linger(*, closed_after_turns):
    """Close a connection while ``linger`` runs; return what the loop logs."""
    failures = []

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _loop, context: failures.append(context['message'])
        )
        own, other = socket.socketpair()
        stream = iostream.IOStream(own)
        strict_connection.linger(stream)
        for _ in range(closed_after_turns):
            await asyncio.sleep(0)
        stream.close()
        other.close()
        while strict_connection.LINGERING:
            await asyncio.sleep(0.01)

    asyncio.run(run())
    return failures


class TestLinger:
    """A connection may be closed by others while it lingers."""

    # Such a connection logged an error with a traceback.
    def test_connection_that_is_closed_at_once(self):
        assert failures_of_linger(closed_after_turns=0) == []

    def test_connection_that_is_closed_while_it_is_read(self):
        assert failures_of_linger(closed_after_turns=3) == []

"""TCP relay whose open connections can go silent."""

import asyncio


class Connection:
    """One relayed connection; ``silent`` ones pass nothing on."""

    def __init__(self):
        self.silent = False


class Relay:
    """Relays connections from one loopback address to another.

    ``silence`` makes the connections that are open go silent for good,
    without a reset; later connections work.

    Parameters
    ----------
    listen : tuple of (str, int)
    target : tuple of (str, int)
    replaced : tuple of (bytes, bytes) or None
        Bytes that are replaced by others of the same length.
    unacknowledged_s : float or None
        Time after which a sender on a silent connection sees it end, as if
        its bytes were never acknowledged and it had set that
        ``TCP_USER_TIMEOUT``. None: it never does.
    """

    def __init__(
        self, *, listen, target, replaced=None, unacknowledged_s=None
    ):
        self.listen = listen
        self.target = target
        self.replaced = replaced
        self.unacknowledged_s = unacknowledged_s
        self.open = set()
        self.tasks = set()

    async def start(self):
        """Listen; port 0 chooses a free one."""
        self.server = await asyncio.start_server(self.serve, *self.listen)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence(self):
        """Silence the connections that are open now; return their number."""
        for connection in self.open:
            connection.silent = True
        return len(self.open)

    async def serve(self, reader, writer):
        """Relay one connection in both directions."""
        connection = Connection()
        self.tasks.add(asyncio.current_task())
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.target
            )
        except OSError:
            writer.transport.abort()
            return
        self.open.add(connection)
        try:
            await asyncio.gather(
                self.copy(connection, reader, writer, far_writer),
                self.copy(connection, far_reader, far_writer, writer),
            )
        finally:
            self.open.discard(connection)
            writer.close()
            far_writer.close()

    async def end(self):
        """Close all connections and stop listening."""
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def copy(self, connection, reader, sender, receiver):
        """Relay one direction until its sender closes."""
        loop = asyncio.get_running_loop()
        timer = None
        try:
            while data := await reader.read(65536):
                if connection.silent:
                    if timer is None and self.unacknowledged_s is not None:
                        timer = loop.call_later(
                            self.unacknowledged_s, sender.transport.abort
                        )
                    continue
                if self.replaced is not None:
                    data = data.replace(*self.replaced)
                receiver.write(data)
                await receiver.drain()
        except OSError:
            pass
        if not connection.silent:
            receiver.close()

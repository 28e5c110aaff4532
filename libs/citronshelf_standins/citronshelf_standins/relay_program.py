"""Stand-in for a network path: a TCP relay that can cut each direction."""

import asyncio
import contextlib
import json
import logging

import tornado.web

from citronshelf_common import events as log_events
from citronshelf_common import program
from citronshelf_common import settings
from citronshelf_standins import events

LOG = logging.getLogger(__name__)
READ_BYTES = 65536


class NetworkPath:
    """Relays TCP connections; each direction can be cut on its own.

    A cut direction delivers neither data nor the end of a connection, like a
    network that drops all packets: the receiver gets no error and no data.

    Parameters
    ----------
    target : Address
        Address that connections are relayed to.
    """

    def __init__(self, *, target):
        self.target = target
        self.open_events = {
            'to_target': asyncio.Event(),
            'back': asyncio.Event(),
        }
        for event in self.open_events.values():
            event.set()

    def set_cut_directions(self, directions: list[str]) -> None:
        """Cut the named directions and open the others.

        Parameters
        ----------
        directions : list of str
            ``to_target`` or ``back``.
        """
        for name, event in self.open_events.items():
            if name in directions:
                event.clear()
            else:
                event.set()

    async def serve(self, reader, writer) -> None:
        """Relay one connection until both directions have ended.

        The connection to the target is opened only while ``to_target`` is
        not cut; if that fails, the accepted connection is closed.
        """
        try:
            await self.open_events['to_target'].wait()
            target_reader, target_writer = await asyncio.open_connection(
                self.target.ip, self.target.port
            )
        except OSError:
            writer.close()
            return
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self.copy_direction('to_target', reader, target_writer)
            )
            group.create_task(
                self.copy_direction('back', target_reader, writer)
            )

    async def copy_direction(self, direction: str, reader, writer) -> None:
        """Copy one direction until it ends, then close the receiving side.

        Data and the end are held back while the direction is cut.
        """
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self.open_events[direction].wait()
                writer.write(data)
                await writer.drain()
        await self.open_events[direction].wait()
        with contextlib.suppress(OSError):
            writer.close()


class CutHandler(tornado.web.RequestHandler):
    """Sets the cut directions: ``PUT /_standin/cut``, a JSON list."""

    def initialize(self, path: NetworkPath) -> None:
        """Set the path whose directions are cut."""
        self.path = path

    def put(self) -> None:
        """Cut the named directions and open the others."""
        directions = json.loads(self.request.body)
        self.path.set_cut_directions(directions)
        log_events.log_event(LOG, events.PATH_CUT, directions=directions)
        self.finish({})

    def get(self) -> None:
        """Respond with 200, which shows that the relay is running."""
        self.finish({})


def main(arguments: list[str] | None = None) -> int:
    """Run one relay; return the exit status."""
    parser = program.make_parser(
        name='citronshelf-standin-relay',
        package='citronshelf-standins',
        about='Stand-in for a network path, for development and tests.',
    )
    for name in ('--listen', '--target', '--admin'):
        parser.add_argument(name, required=True, metavar='IP:PORT')
    options = parser.parse_args(arguments)
    log_events.configure_logging()
    listen = settings.parse_address(options.listen)
    admin = settings.parse_address(options.admin)

    async def serve(stopping: asyncio.Event) -> int:
        path = NetworkPath(target=settings.parse_address(options.target))
        server = await asyncio.start_server(path.serve, listen.ip, listen.port)
        application = tornado.web.Application(
            [(r'/_standin/cut', CutHandler, {'path': path})],
            log_function=lambda handler: None,
        )
        application.listen(admin.port, admin.ip)
        async with server:
            await stopping.wait()
        return 0

    return program.run_daemon(
        name='citronshelf-standin-relay', serve=serve, listen=options.listen
    )

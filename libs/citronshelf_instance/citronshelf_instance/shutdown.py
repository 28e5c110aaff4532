"""Graceful shutdown of an instance."""

import asyncio
import logging
import time

from citronshelf_common import events as log_events
from citronshelf_instance import caller_connection
from citronshelf_instance import events
from citronshelf_instance import settings

LOG = logging.getLogger(__name__)
POLL_INTERVAL_S = 0.05


async def shut_down(
    server: caller_connection.CallerServer, table: settings.ShutdownTable
) -> None:
    """Finish all requests and stop the server.

    The instance already reports that it is not ready. New connections that the
    load balancer still directs here are accepted for ``accept_s``. After that,
    the function returns when all requests have their responses, or at
    ``end_s``.
    """
    started_s = time.monotonic()
    server.draining = True
    log('accepting', server)
    await asyncio.sleep(table['accept_s'])
    server.finish()
    log('finishing', server)
    while not server.is_finished():
        if time.monotonic() - started_s >= table['end_s']:
            log('cut', server)
            return
        await asyncio.sleep(POLL_INTERVAL_S)
        server.close_idle()
    log('finished', server)


def log(step: str, server: caller_connection.CallerServer) -> None:
    """Log a shutdown step with the work that is still running."""
    log_events.log_event(
        LOG,
        events.SHUTDOWN_STEP,
        step=step,
        requests=server.running,
        connections=len(server.connections),
    )

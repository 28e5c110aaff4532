"""Graceful shutdown of an instance."""

import asyncio
from collections.abc import Callable
import logging
import time

from citronshelf_common import events as log_events
from citronshelf_entry import strict_connection
from citronshelf_instance import caller_connection
from citronshelf_instance import events
from citronshelf_instance import settings

LOG = logging.getLogger(__name__)
POLL_INTERVAL_S = 0.05
# Share of the grace period in which running requests may be completed. The
# rest is for the responses to those that are not, and for the exit.
WORK_SHARE = 11 / 12
# Time for callers to receive the responses to requests that are ended.
RESPONSE_TIME_S = 0.2


async def shut_down(
    server: caller_connection.CallerServer,
    table: settings.ShutdownTable,
    end_requests: Callable[[], None],
) -> None:
    """Finish all requests and stop the server.

    The instance already reports that it is not ready. New connections that the
    load balancer still directs here are accepted for ``accept_s``. After that,
    the function returns when all requests have their responses. Requests that
    still run near the end of ``grace_s`` are ended.

    Parameters
    ----------
    server : CallerServer
    table : ShutdownTable
    end_requests : callable
        Ends the running requests with final responses.
    """
    end_s = time.monotonic() + table['grace_s'] * WORK_SHARE
    server.draining = True
    log('accepting', server)
    await asyncio.sleep(min(table['accept_s'], table['grace_s'] * WORK_SHARE))
    server.finish()
    log('finishing', server)
    if not await wait_finished(server, end_s):
        log('cut', server)
        end_requests()
        await wait_finished(server, end_s + RESPONSE_TIME_S)
    log('finished', server)


async def wait_finished(
    server: caller_connection.CallerServer, end_s: float
) -> bool:
    """Wait until callers have all responses; return whether they have.

    Returns at the monotonic time ``end_s`` at the latest.
    """
    while not server.is_finished() or strict_connection.LINGERING:
        remaining_s = end_s - time.monotonic()
        if remaining_s <= 0:
            return False
        await asyncio.sleep(min(POLL_INTERVAL_S, remaining_s))
        server.close_idle()
    return True


def log(step: str, server: caller_connection.CallerServer) -> None:
    """Log a shutdown step with the work that is still running."""
    log_events.log_event(
        LOG,
        events.SHUTDOWN_STEP,
        step=step,
        requests=len(server.tasks),
        connections=len(server.connections),
    )

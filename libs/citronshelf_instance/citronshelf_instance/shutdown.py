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
# Shares of the grace period after which running requests are ended, and after
# which callers have had the time to receive those responses. The rest is for
# the exit.
WORK_SHARE = 11 / 12
RESPONSE_SHARE = 19 / 20
# Time for callers to close their connections after the last responses.
CLOSING_TIME_S = 0.2


async def shut_down(
    server: caller_connection.CallerServer,
    table: settings.ShutdownTable,
    end_requests: Callable[[], None],
) -> None:
    """Finish all requests and stop the server.

    The instance already reports that it is not ready. New connections that the
    load balancer still directs here are accepted for ``accept_s``. After that,
    a request that may last too long is refused, and the function returns when
    all requests have their responses. Requests that still run near the end of
    ``grace_s`` are ended.

    Parameters
    ----------
    server : CallerServer
    table : ShutdownTable
    end_requests : callable
        Ends the running requests with final responses.
    """
    started_s = time.monotonic()
    work_s = table['grace_s'] * WORK_SHARE
    server.draining = True
    log('accepting', server)
    await asyncio.sleep(min(table['accept_s'], work_s))
    server.finish(started_s + work_s)
    log('finishing', server)

    def is_finished() -> bool:
        server.close_idle()
        return server.is_finished()

    responses_s = started_s + table['grace_s'] * RESPONSE_SHARE
    if not await wait_until(is_finished, started_s + work_s):
        log('cut', server)
        end_requests()
        await wait_until(is_finished, responses_s)
    # The exit resets connections with unread bytes, which may discard the
    # responses before them.
    await wait_until(
        lambda: not strict_connection.LINGERING,
        min(time.monotonic() + CLOSING_TIME_S, responses_s),
    )
    log('finished', server)


async def wait_until(condition: Callable[[], bool], end_s: float) -> bool:
    """Wait until a condition holds; return whether it does.

    Returns at the monotonic time ``end_s`` at the latest.
    """
    while not condition():
        remaining_s = end_s - time.monotonic()
        if remaining_s <= 0:
            return False
        await asyncio.sleep(min(POLL_INTERVAL_S, remaining_s))
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

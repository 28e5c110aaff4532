"""Graceful shutdown without interrupting requests."""

import asyncio
import logging
import select
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_entry import caller_server
from citronshelf_entry import clock
from citronshelf_entry import events
from citronshelf_entry import forwarding
from citronshelf_entry import keyed
from citronshelf_entry import service as services
from citronshelf_entry import strict_connection

LOG = logging.getLogger(__name__)
COLLECT_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.02
# Time for a caller that has begun to send a head to complete it.
HEAD_TIMEOUT_S = 5.0
# Shares of the grace period after which running requests are ended, and after
# which callers have had the time to receive those responses. The rest is for
# the exit.
WORK_SHARE = 11 / 12
RESPONSE_SHARE = 19 / 20


class ShutdownTimes(NamedTuple):
    """Times after a termination signal, in seconds.

    Attributes
    ----------
    balancer_lag_s : float
        Time for which the load balancer may still send callers here; new
        connections are accepted until then.
    grace_s : float
        After this time the process is killed.
    """

    balancer_lag_s: float
    grace_s: float


async def shut_down(
    *,
    callers: caller_server.CallerServer,
    owner: keyed.KeyOwner,
    forward_server: forwarding.ForwardServer,
    service: services.CallerService,
    times: ShutdownTimes,
) -> None:
    """Stop accepting connections and complete the requests in progress.

    Once the listener is closed, work that may last too long is not begun.
    Work that still runs near the end of the grace period is ended, so that
    its callers get a response. Callers have up to ``COLLECT_TIMEOUT_S`` to
    collect the outcomes of finished keys.

    Parameters
    ----------
    callers : CallerServer
    owner : KeyOwner
    forward_server : ForwardServer
    service : CallerService
    times : ShutdownTimes
    """

    def is_working() -> bool:
        return bool(
            callers.requests
            or service.detached
            or owner.tasks
            or forward_server.tasks
        )

    started_s = clock.now_s()
    work_end_s = started_s + times.grace_s * WORK_SHARE
    end_s = started_s + times.grace_s * RESPONSE_SHARE
    callers.closing = True
    log_events.log_event(LOG, events.SHUTDOWN_STARTED)
    await asyncio.sleep(min(times.balancer_lag_s, work_end_s - started_s))
    callers.http.stop()
    service.work_end_s = work_end_s
    log_events.log_event(LOG, events.LISTEN_STOPPED)
    await wait_while(is_working, work_end_s)
    # Work that starts now might not finish before the exit, so requests with
    # unused keys get the final outcome "not run".
    owner.stopping = True
    collect_end_s = min(clock.now_s() + COLLECT_TIMEOUT_S, work_end_s)
    await wait_while(owner.table.has_uncollected, collect_end_s)
    await close_idle(callers, work_end_s)
    await wait_while(is_working, work_end_s)
    if callers.requests:
        callers.end_requests()
        await close_idle(callers, end_s)
    log_events.log_event(
        LOG,
        events.SHUTDOWN_FINISHED,
        uncollected=len(owner.table.uncollected),
    )


async def wait_while(condition, end_s: float) -> None:
    """Poll until a condition is false or a time of the clock is reached."""
    while condition() and clock.now_s() < end_s:
        await asyncio.sleep(POLL_INTERVAL_S)


async def close_idle(
    callers: caller_server.CallerServer, end_s: float = float('inf')
) -> None:
    """Close connections on which no request has begun; wait for the rest.

    A connection with unread bytes stays open until the response to its
    request closes it. Before a socket is closed, the end of the stream is
    sent and the socket is read for a short time, so that the kernel sends no
    reset. Returns after ``HEAD_TIMEOUT_S`` even if connections are still open,
    but not while a request is running, and at ``end_s`` at the latest.
    """
    deadline_s = clock.now_s() + HEAD_TIMEOUT_S
    while callers.http.open_connections() and clock.now_s() < end_s:
        for connection in callers.http.open_connections():
            if not connection.ending and not has_begun(connection):
                connection.ending = True
                strict_connection.linger(connection.stream)
        if clock.now_s() > deadline_s and not callers.requests:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def has_begun(connection: strict_connection.ServerConnection) -> bool:
    """Return whether a request has begun or the connection is closed."""
    stream = connection.stream
    if connection.busy or stream.closed():
        return True
    if stream._read_buffer_size > 0:
        return True
    poller = select.poll()
    poller.register(stream.socket, select.POLLIN)
    return bool(poller.poll(0))

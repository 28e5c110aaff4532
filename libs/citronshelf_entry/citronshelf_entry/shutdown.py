"""Graceful shutdown without interrupting requests."""

import asyncio
import logging
import select

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


async def shut_down(
    *,
    callers: caller_server.CallerServer,
    owner: keyed.KeyOwner,
    forward_server: forwarding.ForwardServer,
    service: services.CallerService,
    balancer_lag_s: float,
) -> None:
    """Stop accepting connections and complete the requests in progress.

    Callers have up to ``COLLECT_TIMEOUT_S`` to collect the outcomes of
    finished keys.

    Parameters
    ----------
    callers : CallerServer
    owner : KeyOwner
    forward_server : ForwardServer
    service : CallerService
    balancer_lag_s : float
        Time for which the load balancer may still send callers here; new
        connections are accepted until then.
    """

    def is_working() -> bool:
        return bool(
            callers.requests
            or service.detached
            or owner.tasks
            or forward_server.tasks
        )

    callers.closing = True
    log_events.log_event(LOG, events.SHUTDOWN_STARTED)
    await asyncio.sleep(balancer_lag_s)
    callers.http.stop()
    log_events.log_event(LOG, events.LISTEN_STOPPED)
    await wait_while(is_working)
    # Work that starts now might not finish before the exit, so requests with
    # unused keys get the final outcome "not run".
    owner.stopping = True
    await wait_while(owner.table.has_uncollected, COLLECT_TIMEOUT_S)
    await close_idle(callers)
    await wait_while(is_working)
    log_events.log_event(
        LOG,
        events.SHUTDOWN_FINISHED,
        uncollected=len(owner.table.uncollected),
    )


async def wait_while(condition, timeout_s: float = float('inf')) -> None:
    """Poll until a condition is false or the time limit is reached."""
    deadline_s = clock.now_s() + timeout_s
    while condition() and clock.now_s() < deadline_s:
        await asyncio.sleep(POLL_INTERVAL_S)


async def close_idle(callers: caller_server.CallerServer) -> None:
    """Close connections on which no request has begun; wait for the rest.

    A connection with unread bytes stays open until the response to its
    request closes it. Before a socket is closed, the end of the stream is
    sent and the socket is read for a short time, so that the kernel sends no
    reset. Returns after ``HEAD_TIMEOUT_S`` even if connections are still open,
    but not while a request is running.
    """
    deadline_s = clock.now_s() + HEAD_TIMEOUT_S
    while callers.http.open_connections():
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

"""Health checks of servers by this instance while the view is stale."""

import asyncio
from collections.abc import Callable
import json
import logging

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_entry import events
from citronshelf_entry import upstream

LOG = logging.getLogger(__name__)
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 0.5
USABLE_STATES = frozenset({'ok', 'starting'})
MAX_CACHED_CHECKS = 4096


class ServerChecks:
    """Queries health endpoints, at most once a second for each server.

    Parameters
    ----------
    client : UpstreamClient
    clock : callable
    """

    def __init__(
        self, *, client: upstream.UpstreamClient, clock: Callable[[], float]
    ):
        self.client = client
        self.clock = clock
        self.checks: dict[str, tuple[float, asyncio.Task]] = {}

    async def is_usable(self, server: fleet.BackendServer) -> bool:
        """Return whether a server reports a state in ``USABLE_STATES``.

        The result of a check is reused for ``CHECK_INTERVAL_S``; concurrent
        requests for the same server share one check.
        """
        now_s = self.clock()
        cached = self.checks.get(server.server_id)
        if cached is None or now_s - cached[0] >= CHECK_INTERVAL_S:
            self.evict_old(now_s)
            task = asyncio.create_task(self.check(server))
            cached = (now_s, task)
            self.checks[server.server_id] = cached
        return await asyncio.shield(cached[1])

    def evict_old(self, now_s: float) -> None:
        """Remove expired checks once ``MAX_CACHED_CHECKS`` is reached."""
        if len(self.checks) < MAX_CACHED_CHECKS:
            return
        self.checks = {
            key: cached
            for key, cached in self.checks.items()
            if now_s - cached[0] < CHECK_INTERVAL_S
        }

    async def check(self, server: fleet.BackendServer) -> bool:
        """Query the health endpoint of a server; log an unusable state."""
        response = await self.client.fetch_small(
            f'http://{server.address.authority()}/_server/health',
            CHECK_TIMEOUT_S,
            max_bytes=upstream.MAX_SERVER_STATUS_BYTES,
        )
        state = parse_health_status(response)
        usable = state in USABLE_STATES
        if not usable:
            log_events.log_event(
                LOG,
                events.SERVER_CHECK_FAILED,
                server=server.server_id,
                state=state,
            )
        return usable


def parse_health_status(response) -> str:
    """Return the status that a server reported, truncated to 40 characters.

    For an HTTP status other than 200, returns ``status`` and the HTTP status;
    for a body without a status, ``malformed``.
    """
    if response.code != 200:
        return f'status {response.code}'
    try:
        content = json.loads(response.body)
        return str(content['status'])[:40]
    except (ValueError, KeyError, TypeError):
        return 'malformed'

"""Low-rate health probes; detect drains before the fleet list shows them."""

import asyncio
from collections.abc import Iterable
import hashlib
import json
import logging

from tornado import httputil

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_control import events

LOG = logging.getLogger(__name__)

SLOT_S = 1.0
PROBE_TIMEOUT_S = 1.0
MAX_CONCURRENT_PROBES = 16
MAX_RESPONSE_BYTES = 4096
HEALTH_PATH = '/_server/health'
PROBE_ERRORS = (
    OSError,
    TimeoutError,
    ValueError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
    httputil.HTTPInputError,
)
# Limit on the probes of all instances to each server that only probes can
# readmit; each instance needs probe results of its own. A probe costs a server
# about 25 ms.
EJECTED_PROBES_PER_S = 4
EJECTED_MIN_INTERVAL_SLOTS = 5


def hash_name(name: str) -> int:
    """Return an evenly distributed hash, the same on all instances."""
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big')


class ProbePlan:
    """Assigns the probes of each slot to the instances.

    In each slot of one second, one instance probes a server, and the next
    instance does so in the next slot. Whatever the number of instances, the
    fleet thus probes each server once a second, each time from the next
    instance. Clocks that differ by a second only cause a few duplicate or
    missing probes.

    Parameters
    ----------
    own_instance : str
        Name of this instance.
    instances : iterable of str
        Live entry instances.
    servers : iterable of BackendServer
    """

    def __init__(
        self, *, own_instance: str, instances: Iterable[str], servers
    ):
        names = sorted({own_instance, *instances})
        self.instance_count = len(names)
        self.own_index = names.index(own_instance)
        self.hashed_servers = [
            (hash_name(server.server_id), server) for server in servers
        ]

    def in_slot(
        self, slot: int, ejected: frozenset[str]
    ) -> list[fleet.BackendServer]:
        """Return the servers that this instance probes in a slot.

        Each instance also probes the servers in ``ejected``, at an interval
        of at least ``EJECTED_MIN_INTERVAL_SLOTS`` at which all instances
        together send each at most ``EJECTED_PROBES_PER_S`` of these probes.
        """
        interval_slots = max(
            EJECTED_MIN_INTERVAL_SLOTS,
            -(-self.instance_count // EJECTED_PROBES_PER_S),
        )
        is_own_turn = (slot - self.own_index) % interval_slots == 0
        return [
            server
            for name_hash, server in self.hashed_servers
            if (name_hash + slot) % self.instance_count == self.own_index
            or (is_own_turn and server.server_id in ejected)
        ]


class Prober:
    """Sends the probes of this instance.

    Parameters
    ----------
    wall_clock : callable
        Returns wall-clock seconds, roughly equal on all instances.
    on_result : callable
        Receives server id and result: ``ok``, ``starting``, ``draining`` or
        ``unreachable``.
    ejected : callable
        Returns the ids of the ejected servers that only probes can readmit.
    """

    def __init__(self, *, wall_clock, on_result, ejected):
        self.wall_clock = wall_clock
        self.on_result = on_result
        self.ejected = ejected
        self.plan: ProbePlan | None = None
        self.sent = 0
        self.skipped = 0
        self.in_flight: set[str] = set()

    async def run(self) -> None:
        """Start the probes of each slot until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                now = self.wall_clock()
                await asyncio.sleep(SLOT_S - now % SLOT_S)
                self.start_slot(group, int(self.wall_clock() / SLOT_S))

    def start_slot(self, group: asyncio.TaskGroup, slot: int) -> None:
        """Start the probes of a slot, distributed evenly over it.

        A server is skipped while its previous probe is in flight, or while
        ``MAX_CONCURRENT_PROBES`` are.
        """
        if self.plan is None:
            return
        servers = self.plan.in_slot(slot, self.ejected())
        for position, server in enumerate(servers):
            if (
                server.server_id in self.in_flight
                or len(self.in_flight) >= MAX_CONCURRENT_PROBES
            ):
                self.skipped += 1
                continue
            self.in_flight.add(server.server_id)
            delay_s = SLOT_S * position / len(servers)
            group.create_task(self.probe(server, delay_s))

    async def probe(self, server: fleet.BackendServer, delay_s: float) -> None:
        """Send one probe after a delay and report its result."""
        try:
            await asyncio.sleep(delay_s)
            result = await self.fetch_status(server.address)
        finally:
            self.in_flight.discard(server.server_id)
        self.on_result(server.server_id, result)

    async def fetch_status(self, address: fleet.Address) -> str:
        """Return the health status of a server, or ``unreachable``."""
        self.sent += 1
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                code, body = await fetch_health(address)
        except PROBE_ERRORS as error:
            LOG.debug('probe of %s: %r', address.authority(), error)
            return 'unreachable'
        return parse_health(address, code, body)


async def fetch_health(address: fleet.Address) -> tuple[int, bytes]:
    """Request the health status on a new connection; return code and body.

    Only a tenth of the features of an HTTP client are needed here, and
    tornado's simple client takes more than twice the CPU time. HTTP/1.0 rules
    out chunked responses. Failures raise one of ``PROBE_ERRORS``.
    """
    reader, writer = await asyncio.open_connection(
        address.ip, address.port, limit=MAX_RESPONSE_BYTES
    )
    try:
        request_head = (
            f'GET {HEALTH_PATH} HTTP/1.0\r\n'
            f'Host: {address.authority()}\r\n\r\n'
        )
        writer.write(request_head.encode())
        response_head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        status_line, _, header_lines = response_head.partition('\r\n')
        code = httputil.parse_response_start_line(status_line).code
        headers = httputil.HTTPHeaders.parse(header_lines.rstrip('\r\n'))
        length = int(headers.get('Content-Length', '-1'))
        if not 0 <= length <= MAX_RESPONSE_BYTES:
            raise ValueError(
                f'Content-Length {length} is missing or out of range'
            )
        return code, await reader.readexactly(length)
    finally:
        writer.close()


def parse_health(address: fleet.Address, code: int, body: bytes) -> str:
    """Return the status in a health response, or ``unreachable``.

    A response with code 200 or 503 but without a valid status is logged.
    """
    if code not in (200, 503):
        return 'unreachable'
    try:
        status = json.loads(body)['status']
    except (ValueError, TypeError, KeyError):
        status = None
    if status in ('ok', 'starting', 'draining'):
        return status
    common_events.log_event(
        LOG, events.PROBE_NOT_UNDERSTOOD, server=address.authority()
    )
    return 'unreachable'

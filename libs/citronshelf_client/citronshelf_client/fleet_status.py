"""Which configuration revision is in force on each instance."""

import asyncio
import enum
from typing import Any
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from expression import Ok
from expression import Result

from citronshelf_client import admin_client


class RefusedTable(TypedDict):
    """A revision that an instance refused."""

    revision: int
    faults: NotRequired[list[Any]]


class PlatformTable(TypedDict):
    """What an instance knows of the platform's configuration service."""

    reachable: bool
    revision: NotRequired[int | None]
    last_answer_s: NotRequired[float | None]


class PeerTable(TypedDict):
    """An instance that another one lists."""

    instance: str
    admin: NotRequired[str | None]
    revision: NotRequired[int | None]
    last_heard_s: NotRequired[float | None]


class StatusTable(TypedDict):
    """Answer of a control daemon to ``GET /status``, as far as it is used."""

    instance: str
    revision: int
    region: NotRequired[str]
    zone: NotRequired[str]
    digest: NotRequired[str | None]
    highest_revision_seen: NotRequired[int | None]
    refused: NotRequired[list[RefusedTable]]
    platform: NotRequired[PlatformTable]
    entry_alive: NotRequired[bool]
    peers: NotRequired[list[PeerTable]]


class State(enum.StrEnum):
    """How an instance stands to the newest revision."""

    IN_FORCE = 'in-force'
    LAGS = 'lags'
    REFUSED = 'refused'
    DIFFERS = 'differs'
    NO_ANSWER = 'no-answer'


class InstanceReport(NamedTuple):
    """One line of the report.

    Attributes
    ----------
    instance : str
    admin : str
        Address that was asked; empty when none is known.
    zone : str
    state : State
    revision : int or None
        Revision in force; for an instance that did not answer, the one that
        the first instance last heard of.
    notes : tuple of str
    """

    instance: str
    admin: str
    zone: str
    state: State
    revision: int | None
    notes: tuple[str, ...]


class FleetReport(NamedTuple):
    """Answers of one control daemon and of the instances it lists.

    Attributes
    ----------
    newest_revision : int
        Highest revision that any instance has or has seen.
    instances : tuple of InstanceReport
        The instance asked first, then the others by name.
    """

    newest_revision: int
    instances: tuple[InstanceReport, ...]

    def is_settled(self) -> bool:
        """Tell whether every instance showed the newest revision."""
        return all(r.state is State.IN_FORCE for r in self.instances)


class InstanceResponse(NamedTuple):
    """Result of asking one listed instance."""

    peer: PeerTable
    result: Result


async def query_fleet(address: str) -> Result:
    """Ask a control daemon and every instance that it lists.

    Parameters
    ----------
    address : str
        Admin address of the control daemon, ``ip:port``.

    Returns
    -------
    Result
        ``Ok`` with a ``FleetReport``, or ``Error`` with the reason why the
        first daemon did not answer.
    """
    client = admin_client.AdminClient()
    try:
        first = await client.fetch_json(address, '/status', StatusTable)
        if first.is_error():
            return first
        others = await query_peers(client, first.ok)
    finally:
        client.close()
    first_instance = PeerTable(instance=first.ok['instance'], admin=address)
    return Ok(make_report([InstanceResponse(first_instance, first), *others]))


async def query_peers(
    client: admin_client.AdminClient, status: StatusTable
) -> list[InstanceResponse]:
    """Ask each listed instance once."""
    peers = {
        peer['instance']: peer
        for peer in status.get('peers', [])
        if peer['instance'] != status['instance']
    }
    ordered = [peers[name] for name in sorted(peers)]
    semaphore = asyncio.Semaphore(admin_client.MAX_CONNECTIONS)

    async def query_peer(peer: PeerTable) -> InstanceResponse:
        # Waiting in the HTTP client's own queue would count as its timeout.
        async with semaphore:
            admin = peer.get('admin') or ''
            result = await client.fetch_json(admin, '/status', StatusTable)
        return InstanceResponse(peer, result)

    return await asyncio.gather(*map(query_peer, ordered))


def make_report(responses: list[InstanceResponse]) -> FleetReport:
    """Compare the answers with the newest revision among them."""
    newest = max(known_revisions(responses), default=0)
    digests = [
        response.result.ok.get('digest')
        for response in responses
        if response.result.is_ok() and response.result.ok['revision'] == newest
    ]
    common_digest = max(digests, key=digests.count, default=None)
    return FleetReport(
        newest,
        tuple(
            make_instance_report(response, newest, common_digest)
            for response in responses
        ),
    )


def known_revisions(responses: list[InstanceResponse]):
    """Yield every revision that an answer mentions as published."""
    for response in responses:
        yield response.peer.get('revision') or 0
        if response.result.is_error():
            continue
        status = response.result.ok
        yield status['revision']
        yield status.get('highest_revision_seen') or 0
        yield from (entry['revision'] for entry in status.get('refused', []))


def make_instance_report(
    response: InstanceResponse, newest: int, digest: str | None
) -> InstanceReport:
    """Return the line of one instance."""
    peer = response.peer
    admin = peer.get('admin') or ''
    if response.result.is_error():
        return InstanceReport(
            instance=peer['instance'],
            admin=admin,
            zone='',
            state=State.NO_ANSWER,
            revision=peer.get('revision'),
            notes=(response.result.error, *last_received_notes(peer)),
        )
    status = response.result.ok
    return InstanceReport(
        instance=status['instance'],
        admin=admin,
        zone=status.get('zone', ''),
        state=classify_status(status, newest, digest),
        revision=status['revision'],
        notes=tuple(status_notes(status, peer)),
    )


def classify_status(
    status: StatusTable, newest: int, digest: str | None
) -> State:
    """Return how an instance that answered stands."""
    refused = {entry['revision'] for entry in status.get('refused', [])}
    if status['revision'] < newest:
        return State.REFUSED if newest in refused else State.LAGS
    if status.get('digest') != digest:
        return State.DIFFERS
    return State.IN_FORCE


def last_received_notes(peer: PeerTable) -> tuple[str, ...]:
    """Return when the first instance last heard a silent one."""
    age_s = peer.get('last_heard_s')
    return () if age_s is None else (f'last heard {age_s:.1f} s ago',)


def status_notes(status: StatusTable, peer: PeerTable):
    """Yield what an operator should know besides the state."""
    if status['instance'] != peer['instance']:
        yield f'listed as {peer["instance"]}'
    if not status.get('entry_alive', True):
        yield 'entry daemon does not answer'
    yield from platform_notes(status)
    for entry in status.get('refused', []):
        faults = '; '.join(map(describe_fault, entry.get('faults', [])))
        yield f'refused revision {entry["revision"]}: {faults}'


def platform_notes(status: StatusTable):
    """Yield faults of the platform's configuration service."""
    platform = status.get('platform')
    if platform is None:
        return
    if not platform['reachable']:
        yield 'platform not reachable'
    revision = platform.get('revision')
    if revision is not None and revision < status['revision']:
        yield f'platform serves older revision {revision}'


def describe_fault(fault: Any) -> str:
    """Return a document fault of an answer on one line."""
    if isinstance(fault, dict) and 'expected' in fault:
        place = f'{fault.get("file", "")}:{fault.get("line", 0)}'
        return f'{place}: {fault.get("key", "")}: {fault["expected"]}'
    if isinstance(fault, list):
        return ': '.join(map(str, fault))
    return str(fault)

"""Finds which document revision is in force on each instance."""

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
    """What an instance knows about the platform, which publishes documents."""

    reachable: bool
    revision: NotRequired[int | None]
    last_answer_s: NotRequired[float | None]


class PeerTable(TypedDict):
    """An instance in the peer list of another instance."""

    instance: str
    admin: NotRequired[str | None]
    revision: NotRequired[int | None]
    last_heard_s: NotRequired[float | None]


class StatusTable(TypedDict):
    """Fields of a daemon's ``GET /status`` response that the client uses."""

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
    """State of an instance relative to the newest revision.

    IN_FORCE: it has the newest revision in force. LAGS: it has an older one.
    REFUSED: it has an older one and refused the newest. DIFFERS: it has the
    newest revision, but with a digest other than the most common one.
    NO_ANSWER: no valid status could be fetched from it.
    """

    IN_FORCE = 'in-force'
    LAGS = 'lags'
    REFUSED = 'refused'
    DIFFERS = 'differs'
    NO_ANSWER = 'no-answer'


class InstanceReport(NamedTuple):
    """State of one instance.

    Attributes
    ----------
    instance : str
    admin : str
        Admin address that was queried; empty when none is known.
    zone : str
    state : State
    revision : int or None
        Revision in force; for an instance without a valid response, the one
        that the first instance lists for it.
    notes : tuple of str
        Errors and other remarks for the operator.
    """

    instance: str
    admin: str
    zone: str
    state: State
    revision: int | None
    notes: tuple[str, ...]


class FleetReport(NamedTuple):
    """State of one control daemon's instance and of those that it lists.

    Attributes
    ----------
    newest_revision : int
        Highest revision that any instance has, has seen or has refused.
    instances : tuple of InstanceReport
        The instance queried first, then the others in order of name.
    """

    newest_revision: int
    instances: tuple[InstanceReport, ...]

    def is_settled(self) -> bool:
        """Return whether every instance has the newest revision in force."""
        return all(r.state is State.IN_FORCE for r in self.instances)


class InstanceResponse(NamedTuple):
    """Result of querying one instance.

    Attributes
    ----------
    peer : PeerTable
        Entry of the instance in the peer list; for the first instance, made
        from the address given by the operator.
    result : Result
        ``Ok`` with a ``StatusTable``, or ``Error`` with the reason.
    """

    peer: PeerTable
    result: Result


async def query_fleet(address: str) -> Result:
    """Query a control daemon and every instance that it lists.

    Parameters
    ----------
    address : str
        Admin address of the control daemon, ``ip:port``.

    Returns
    -------
    Result
        ``Ok`` with a ``FleetReport``, or ``Error`` with the reason why the
        first daemon's status could not be fetched.
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
    """Query each other listed instance once, concurrently.

    The results are sorted by instance name.
    """
    peers = {
        peer['instance']: peer
        for peer in status.get('peers', [])
        if peer['instance'] != status['instance']
    }
    ordered = [peers[name] for name in sorted(peers)]
    semaphore = asyncio.Semaphore(admin_client.MAX_CONNECTIONS)

    async def query_peer(peer: PeerTable) -> InstanceResponse:
        # Time spent in the HTTP client's own queue would count towards its
        # timeout.
        async with semaphore:
            admin = peer.get('admin') or ''
            result = await client.fetch_json(admin, '/status', StatusTable)
        return InstanceResponse(peer, result)

    return await asyncio.gather(*map(query_peer, ordered))


def make_report(responses: list[InstanceResponse]) -> FleetReport:
    """Compare each instance with the newest revision among the responses."""
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
    """Yield every revision that the responses name; 0 where none is named."""
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
    """Return the report on one instance.

    ``digest`` is the most common digest of the newest revision.
    """
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
    """Return the state of an instance that responded.

    ``digest`` is the most common digest of the newest revision.
    """
    refused = {entry['revision'] for entry in status.get('refused', [])}
    if status['revision'] < newest:
        return State.REFUSED if newest in refused else State.LAGS
    if status.get('digest') != digest:
        return State.DIFFERS
    return State.IN_FORCE


def last_received_notes(peer: PeerTable) -> tuple[str, ...]:
    """Return a note with the time since an instance's last message.

    The first instance measured that time. Returns no note when it is unknown.
    """
    age_s = peer.get('last_heard_s')
    return (
        () if age_s is None else (f'last message received {age_s:.1f} s ago',)
    )


def status_notes(status: StatusTable, peer: PeerTable):
    """Yield notes for the operator on an instance that responded."""
    if status['instance'] != peer['instance']:
        yield f'listed as {peer["instance"]}'
    if not status.get('entry_alive', True):
        yield 'entry daemon does not respond'
    yield from platform_notes(status)
    for entry in status.get('refused', []):
        faults = '; '.join(map(describe_fault, entry.get('faults', [])))
        yield f'refused revision {entry["revision"]}: {faults}'


def platform_notes(status: StatusTable):
    """Yield notes on faults of the platform.

    It may be unreachable, or serve a revision older than the one in force.
    """
    platform = status.get('platform')
    if platform is None:
        return
    if not platform['reachable']:
        yield 'platform not reachable'
    revision = platform.get('revision')
    if revision is not None and revision < status['revision']:
        yield f'platform serves older revision {revision}'


def describe_fault(fault: Any) -> str:
    """Return a document fault from a status response as one line."""
    if isinstance(fault, dict) and 'expected' in fault:
        place = f'{fault.get("file", "")}:{fault.get("line", 0)}'
        return f'{place}: {fault.get("key", "")}: {fault["expected"]}'
    if isinstance(fault, list):
        return ': '.join(map(str, fault))
    return str(fault)

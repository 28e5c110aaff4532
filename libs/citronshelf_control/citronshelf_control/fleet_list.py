"""Parses the platform's list of backend servers and entry instances."""

import ipaddress
from typing import Annotated
from typing import Literal
from typing import NamedTuple
from typing import NotRequired
from typing import TypedDict

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from citronshelf_common import fleet
from citronshelf_common import settings

# The fleet is expected to have 59,400 rows in two years. The platform's limit
# of 1 MB is reached before this number.
MAX_ROWS = 100_000

Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
# The platform lists 0 for backend servers, which have none.
ForwardPort = Annotated[int, msgspec.Meta(ge=0, le=65535)]
IpText = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F.:]{2,45}$')]


class ListRow(TypedDict):
    """One row of the fleet list in the platform's format."""

    id: settings.Name
    kind: Literal['backend', 'entry']
    ip: IpText
    port: Port
    region: settings.Name
    zone: settings.Name
    state: Literal['live', 'leaving']
    pool: NotRequired[str | None]
    forward_port: NotRequired[ForwardPort | None]


class FleetList(NamedTuple):
    """The parsed fleet list.

    Attributes
    ----------
    servers : tuple of BackendServer
        All backend servers, including those that are leaving.
    leaving : frozenset of str
        Ids of the servers listed as leaving.
    entries : tuple of EntryInstance
        Live entry instances.
    faults : tuple of str
        Why rows were ignored.
    """

    servers: tuple[fleet.BackendServer, ...] = ()
    leaving: frozenset[str] = frozenset()
    entries: tuple[fleet.EntryInstance, ...] = ()
    faults: tuple[str, ...] = ()


ROWS_DECODER = msgspec.json.Decoder(
    Annotated[list[msgspec.Raw], msgspec.Meta(max_length=MAX_ROWS)]
)
ROW_DECODER = msgspec.json.Decoder(ListRow)


def parse_list(data: bytes) -> Result:
    """Parse and validate the fleet list.

    A row that is invalid, or a backend server without a pool, is ignored. The
    list is refused if it is no JSON array, is nested too deeply to be read, or
    if a pair of kind and id occurs twice.

    Parameters
    ----------
    data : bytes
        JSON text of the platform's value ``instances``.

    Returns
    -------
    Result
        ``Ok`` with a ``FleetList`` or ``Error`` with the reason.
    """
    try:
        texts = ROWS_DECODER.decode(data)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        return Error(str(error))
    rows: list[ListRow] = []
    faults: list[str] = []
    seen: set[tuple[str, str]] = set()
    for text in texts:
        parsed = parse_row(text)
        if parsed.is_error():
            faults.append(parsed.error)
            continue
        row = parsed.ok
        key = (row['kind'], row['id'])
        if key in seen:
            return Error(f'{row["kind"]} {row["id"]} is listed twice')
        seen.add(key)
        rows.append(row)
    return Ok(make_fleet_list(rows)._replace(faults=tuple(faults)))


def parse_row(text: msgspec.Raw) -> Result:
    """Return ``Ok`` with a ``ListRow`` or ``Error`` with the reason."""
    try:
        row = ROW_DECODER.decode(text)
        ipaddress.ip_address(row['ip'])
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
        ValueError,
    ) as error:
        return Error(str(error))
    if row['kind'] == 'backend' and not row.get('pool'):
        return Error(f'backend {row["id"]} has no pool')
    return Ok(row)


def make_fleet_list(rows: list[ListRow]) -> FleetList:
    """Convert validated rows to servers and live entry instances."""
    backends = [row for row in rows if row['kind'] == 'backend']
    entries = [row for row in rows if row['kind'] == 'entry']
    return FleetList(
        servers=tuple(make_server(row) for row in backends),
        leaving=frozenset(
            row['id'] for row in backends if row['state'] == 'leaving'
        ),
        entries=tuple(
            make_entry_instance(row)
            for row in entries
            if row['state'] == 'live'
        ),
    )


def make_server(row: ListRow) -> fleet.BackendServer:
    """Convert a row of kind ``backend``."""
    return fleet.BackendServer(
        row['id'],
        row['pool'],
        fleet.Address(row['ip'], row['port']),
        fleet.Location(row['region'], row['zone']),
    )


def make_entry_instance(row: ListRow) -> fleet.EntryInstance:
    """Convert a row of kind ``entry``; a missing forward port becomes 0."""
    forward_port = row.get('forward_port') or 0
    return fleet.EntryInstance(
        row['id'],
        fleet.Address(row['ip'], row['port']),
        fleet.Address(row['ip'], forward_port),
        fleet.Location(row['region'], row['zone']),
    )

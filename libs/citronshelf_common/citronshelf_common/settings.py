"""Types of the settings file that both daemons of an instance read."""

from typing import Annotated
from typing import NotRequired
from typing import TypedDict

import msgspec

from citronshelf_common import fleet

ADDRESS_PATTERN = r'^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$'
NAME_PATTERN = r'^[a-z0-9][a-z0-9._-]{0,62}$'
Z85_KEY_PATTERN = r'^[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]{40}$'

AddressText = Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
CurveKey = Annotated[str, msgspec.Meta(pattern=Z85_KEY_PATTERN)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Megabits = Annotated[float, msgspec.Meta(gt=0)]
SigningKey = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64,}$')]


class InstanceTable(TypedDict):
    """Name and location of the instance, and its links.

    ``store_region`` is the region of the data store that writers use.
    ``region_link_megabits`` is the capacity of the link between regions, in
    Mbit/s in each direction.
    """

    name: Name
    region: Name
    zone: Name
    store_region: Name
    region_link_megabits: Megabits


class EntryTable(TypedDict):
    """Addresses and settings of the entry daemon.

    ``balancer_lag_s`` is the time, in seconds, for which the load balancer may
    still send callers after the instance has stopped being ready. ``grace_s``
    is the time after SIGTERM at which the process is killed.
    """

    listen: AddressText
    admin: AddressText
    forward: AddressText
    balancer_lag_s: NotRequired[Seconds]
    grace_s: NotRequired[Seconds]


class ControlTable(TypedDict):
    """Addresses of the control daemon."""

    peer: AddressText
    admin: AddressText
    local: AddressText


class PlatformTable(TypedDict):
    """Address of the platform's configuration service."""

    address: AddressText


class PeersTable(TypedDict):
    """Seed addresses, contacted while no peer is reachable."""

    seeds: list[AddressText]


class SecretsTable(TypedDict):
    """Secrets of an environment, identical on all of its instances.

    An environment consists of the instances that share secrets and a document.

    The CURVE key pair is encoded in Z85; ``key_signing`` is at least 32 bytes
    in hexadecimal digits.
    """

    curve_public: CurveKey
    curve_secret: CurveKey
    key_signing: SigningKey


class InstanceSettings(TypedDict):
    """All tables of the settings file."""

    instance: InstanceTable
    entry: EntryTable
    control: ControlTable
    platform: PlatformTable
    peers: PeersTable
    secrets: SecretsTable


def parse_address(text: str) -> fleet.Address:
    """Parse an ``ip:port`` text that matches ``ADDRESS_PATTERN``."""
    ip, _, port = text.rpartition(':')
    return fleet.Address(ip.strip('[]'), int(port))

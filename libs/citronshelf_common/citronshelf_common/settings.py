"""Settings file of one instance, read by both daemons."""

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
    """Name and place of the instance.

    ``store_region`` is the region whose store the writers use;
    ``region_link_megabits`` is the capacity of the link between regions, in
    Mbit/s each way.
    """

    name: Name
    region: Name
    zone: Name
    store_region: Name
    region_link_megabits: Megabits


class EntryTable(TypedDict):
    """Addresses of the entry daemon.

    ``balancer_lag_s`` is how long the balancer may still send callers after
    readiness fell.
    """

    listen: AddressText
    admin: AddressText
    forward: AddressText
    balancer_lag_s: NotRequired[Seconds]


class ControlTable(TypedDict):
    """Addresses of the control daemon."""

    peer: AddressText
    admin: AddressText
    local: AddressText


class PlatformTable(TypedDict):
    """Where the platform's configuration service answers."""

    address: AddressText


class PeersTable(TypedDict):
    """Peer addresses that are asked before any list is known."""

    seeds: list[AddressText]


class SecretsTable(TypedDict):
    """Secrets of the environment, the same on all its instances.

    The CURVE key pair is in Z85; ``key_signing`` is at least 32 bytes in
    hexadecimal digits.
    """

    curve_public: CurveKey
    curve_secret: CurveKey
    key_signing: SigningKey


class InstanceSettings(TypedDict):
    """The whole settings file."""

    instance: InstanceTable
    entry: EntryTable
    control: ControlTable
    platform: PlatformTable
    peers: PeersTable
    secrets: SecretsTable


def parse_address(text: str) -> fleet.Address:
    """Return the address that a checked ``ip:port`` text names."""
    ip, _, port = text.rpartition(':')
    return fleet.Address(ip.strip('[]'), int(port))

"""Settings file of an instance."""

from typing import Annotated
from typing import TypedDict

import msgspec

from citronshelf_common import settings as common_settings

AddressText = common_settings.AddressText
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Loss = Annotated[float, msgspec.Meta(ge=0, le=10)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=10)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class InstanceTable(TypedDict):
    """Name and place; ``max_descriptors`` bounds sockets and files."""

    name: Text
    region: Text
    zone: Text
    max_descriptors: Count


class ListenTable(TypedDict):
    """Addresses of this instance."""

    callers: AddressText
    ready: AddressText
    metrics: AddressText
    peers: AddressText


class RetriesTable(TypedDict):
    """Repeats of the whole fleet, of each service, in each window."""

    ratio: Ratio
    slack: Annotated[float, msgspec.Meta(ge=0)]
    window_s: Seconds


class PlacementTable(TypedDict):
    """Cost of distance, as a share of a request's worth for each KB."""

    zone_loss_per_kb: Loss
    region_loss_per_kb: Loss
    region_latency_s: Seconds


class ShutdownTable(TypedDict):
    """``accept_s``: callers still arrive so long after a termination signal.

    ``end_s``: the process ends then, whatever still runs.
    """

    accept_s: Seconds
    end_s: Seconds


class LogTable(TypedDict):
    """Log lines that are written in a second at most; more are counted."""

    lines_per_s: Count


class Settings(TypedDict):
    """The settings file."""

    instance: InstanceTable
    regions: dict[str, str]
    listen: ListenTable
    peers: common_settings.PeersTable
    store: common_settings.PlatformTable
    retries: RetriesTable
    placement: PlacementTable
    shutdown: ShutdownTable
    log: LogTable

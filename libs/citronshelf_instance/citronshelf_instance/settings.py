"""Schema of the settings file of an instance."""

from typing import Annotated
from typing import NotRequired
from typing import TypedDict

import msgspec

from citronshelf_common import settings as common_settings

AddressText = common_settings.AddressText
Seconds = Annotated[float, msgspec.Meta(ge=0, le=3600)]
Loss = Annotated[float, msgspec.Meta(ge=0, le=10)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=10)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Quantile = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Megabytes = Annotated[float, msgspec.Meta(ge=64)]
KeptCredits = Annotated[float, msgspec.Meta(ge=1, le=100)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


# Memory of the smallest instance of the users.
DEFAULT_MEMORY_MB = 200.0


class InstanceTable(TypedDict):
    """Name and location, and the limits of the process.

    ``max_descriptors`` limits sockets and files. The process is killed when
    it uses more than ``memory_mb``, by default ``DEFAULT_MEMORY_MB``.
    """

    name: Text
    region: Text
    zone: Text
    max_descriptors: Count
    memory_mb: NotRequired[Megabytes]


class ListenTable(TypedDict):
    """Addresses on which the instance listens."""

    callers: AddressText
    ready: AddressText
    metrics: AddressText
    peers: AddressText


class RetriesTable(TypedDict):
    """Retry budget of each service, for the whole fleet in each window.

    In any window the fleet retries at most ``ratio`` of its requests, and
    ``kept_credits`` more for each instance. The product of ``kept_credits``
    and the number of instances must not exceed the slack of the budget.
    """

    ratio: Ratio
    window_s: Seconds
    kept_credits: NotRequired[KeptCredits]


class QuotasTable(TypedDict):
    """Bound on the requests of an account in each window.

    Over all instances, at most ``over`` times the quota of the window and
    ``slack`` requests more than the quota may run.
    """

    window_s: Seconds
    over: Ratio
    slack: Annotated[float, msgspec.Meta(ge=0, le=100_000)]


class AdmissionTable(TypedDict):
    """Admission control by priority while a service is overloaded.

    At least ``min_share`` of the requests of each priority and of each account
    is admitted, except those that would end after their time. Without the
    table, nothing is refused for the load of a service.
    """

    min_share: Share


class HedgingRuleTable(TypedDict):
    """Second attempts for the requests of one service or one route.

    What is missing is taken from the more general table. ``after_s`` and
    ``quantile`` replace each other, as in ``HedgingTable``. A ``limit`` holds
    for the requests of that service, or of that route at each service, alone.
    """

    limit: NotRequired[Share]
    quantile: NotRequired[Quantile]
    after_s: NotRequired[Seconds]


class HedgingTable(TypedDict):
    """Second attempts of idempotent requests whose response is slow.

    Without the table, a second attempt starts after three times the usual
    time, within the retry budget. With it, at most ``limit`` of the
    idempotent requests of each service get one, summed over all instances and
    60 s, and within the retry budget. It starts after ``quantile`` of the
    recent response times of its route, or later where that saves more time;
    or ``after_s`` seconds after the first. With both, ``after_s`` counts;
    with neither, the quantile is 0.95.

    ``services`` and ``routes`` have other values by the name of a service or
    route; a route takes precedence over its service.
    """

    limit: Share
    quantile: NotRequired[Quantile]
    after_s: NotRequired[Seconds]
    services: NotRequired[dict[str, HedgingRuleTable]]
    routes: NotRequired[dict[str, HedgingRuleTable]]


class PlacementTable(TypedDict):
    """Costs of distance; losses are shares of a request's worth per KB."""

    zone_loss_per_kb: Loss
    region_loss_per_kb: Loss
    region_latency_s: Seconds


class ShutdownTable(TypedDict):
    """Times in seconds after a termination signal.

    Until ``accept_s``, new connections are accepted. After ``grace_s``, the
    platform kills the process; it exits before that, even if requests are
    still running.
    """

    accept_s: Seconds
    grace_s: Seconds


class LogTable(TypedDict):
    """Limit on log lines per second; lines beyond it are only counted."""

    lines_per_s: Count


class Settings(TypedDict):
    """All tables of the settings file."""

    instance: InstanceTable
    regions: dict[str, str]
    listen: ListenTable
    peers: common_settings.PeersTable
    store: common_settings.PlatformTable
    retries: RetriesTable
    placement: PlacementTable
    shutdown: ShutdownTable
    log: LogTable
    quotas: NotRequired[QuotasTable]
    admission: NotRequired[AdmissionTable]
    hedging: NotRequired[HedgingTable]

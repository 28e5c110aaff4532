"""Types and value ranges of the TOML tables of a document."""

import functools
import sys
from typing import Annotated
from typing import Literal
from typing import NotRequired
from typing import TypedDict

import msgspec

from citronshelf_document import model

FORMAT_VERSION = 1
MAX_SLOTS_PER_SERVER = 1024
MAX_CONNECTIONS_PER_SERVER = 65_535
MAX_SERVERS = 65_536
MAX_TIME_MS = 3_600_000
MAX_WORTH = 1e9
MAX_REQUESTS_PER_SECOND = 1e6
MAX_BURST = 1_000_000
# The entry daemon accepts no larger request, and responses stored for an
# idempotency key are held in memory whole.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_PATH_CHARACTERS = 1024

Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS_PER_SERVER)]
Connections = Annotated[int, msgspec.Meta(ge=1, le=MAX_CONNECTIONS_PER_SERVER)]
Servers = Annotated[int, msgspec.Meta(ge=1, le=MAX_SERVERS)]
TimeMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_TIME_MS)]
QueueMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Worth = Annotated[float, msgspec.Meta(ge=0, le=MAX_WORTH)]
BodyBytes = Annotated[int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=MAX_REQUESTS_PER_SECOND)]
Burst = Annotated[int, msgspec.Meta(ge=1, le=MAX_BURST)]
PathText = Annotated[str, msgspec.Meta(max_length=MAX_PATH_CHARACTERS)]
Method = Literal['DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT']


class PoolTable(TypedDict):
    """``[pools.<name>]``."""

    slots_per_server: Slots
    connections_per_server: Connections
    floor_percent: Percent
    minimum_servers: NotRequired[Servers]
    prefer: NotRequired[Literal['nearest', 'store-region']]
    long_work_percent: NotRequired[Percent]


class ServiceTable(TypedDict):
    """``[services.<name>]``."""

    pool: str
    retry_budget_percent: NotRequired[Percent]
    hedge_budget_percent: NotRequired[Percent]
    queue_limit_ms: NotRequired[QueueMs]


class ClassTable(TypedDict):
    """``[classes.<name>]``."""

    idempotent: bool
    expected_ms: TimeMs
    deadline_ms: TimeMs
    worth: NotRequired[Worth]
    long: NotRequired[bool]
    key: NotRequired[Literal['optional', 'required']]
    max_request_bytes: NotRequired[BodyBytes]
    max_answer_bytes: NotRequired[BodyBytes]


# ``[routes.<name>]``; in functional syntax because ``class`` is a keyword.
RouteTable = TypedDict(
    'RouteTable',
    {
        'methods': Annotated[list[Method], msgspec.Meta(min_length=1)],
        'path': NotRequired[PathText],
        'prefix': NotRequired[PathText],
        'host': NotRequired[str],
        'service': str,
        'class': str,
    },
)


class LimitTable(TypedDict):
    """``[accounts.named.<account>]``."""

    requests_per_second: Rate
    burst: Burst


class AccountsTable(TypedDict):
    """``[accounts]``."""

    default_requests_per_second: Rate
    default_burst: Burst
    named: NotRequired[dict[str, LimitTable]]


class CrossRegionTable(TypedDict):
    """``[cross_region]``."""

    policy: NotRequired[Literal['never', 'spare', 'always']]
    link_percent: NotRequired[Percent]
    max_body_bytes: NotRequired[BodyBytes]


class DocumentTable(TypedDict):
    """The whole document."""

    format: Literal[1]
    pools: dict[str, PoolTable]
    services: dict[str, ServiceTable]
    classes: dict[str, ClassTable]
    routes: dict[str, RouteTable]
    accounts: AccountsTable
    cross_region: NotRequired[CrossRegionTable]


def build_document(table: DocumentTable) -> model.Document:
    """Return the model of a validated table, with defaults filled in."""
    classes = table['classes']
    routes = table['routes']
    return model.Document(
        pools={n: model.Pool(**t) for n, t in table['pools'].items()},
        services={n: model.Service(**t) for n, t in table['services'].items()},
        classes={n: build_request_class(t) for n, t in classes.items()},
        routes={n: build_route(t) for n, t in routes.items()},
        accounts=build_accounts(table['accounts']),
        cross_region=model.CrossRegion(**table.get('cross_region', {})),
    )


def build_request_class(table: ClassTable) -> model.RequestClass:
    """Return the model of a class.

    Without ``key``, an idempotent class gets ``none`` and any other class
    gets ``optional``.
    """
    key = 'none' if table['idempotent'] else 'optional'
    return model.RequestClass(**{'key': key, **table})


def build_route(table: RouteTable) -> model.Route:
    """Return the model of a route; equal strings are shared in memory."""
    is_prefix = 'prefix' in table
    return model.Route(
        methods=intern_methods(tuple(table['methods'])),
        path=table['prefix'] if is_prefix else table['path'],
        is_prefix=is_prefix,
        host=table.get('host', ''),
        service=sys.intern(table['service']),
        request_class=sys.intern(table['class']),
    )


@functools.cache
def intern_methods(methods: tuple[str, ...]) -> tuple[str, ...]:
    """Return the sorted methods, as one shared object for equal lists."""
    return tuple(sorted(methods))


def build_accounts(table: AccountsTable) -> model.Accounts:
    """Return the model of the account limits."""
    default = model.AccountLimit(
        table['default_requests_per_second'], table['default_burst']
    )
    named = {
        account: model.AccountLimit(**limit)
        for account, limit in table.get('named', {}).items()
    }
    return model.Accounts(default, named)

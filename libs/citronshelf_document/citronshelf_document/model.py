"""The configuration document that operators write for one environment.

An environment consists of the instances that share secrets and a document.

Names of pools, services, classes, routes and accounts are the keys of the
mappings in ``Document``; the values do not repeat them.
"""

from collections.abc import Mapping
from typing import NamedTuple

# Account names, in the document and in the request header of callers.
ACCOUNT_PATTERN = r'[A-Za-z0-9][A-Za-z0-9._@:-]{0,127}'


class Pool(NamedTuple):
    """Backend servers that do the same work.

    Attributes
    ----------
    slots_per_server : int
        Requests that one server runs at the same time.
    connections_per_server : int
        Connections that one server accepts from the whole fleet.
    floor_percent : int
        Share of the pool's slots that ejection must leave in service.
    minimum_servers : int
        Number of listed servers that ejection must leave in service; the
        floor is the larger of the two.
    prefer : str
        ``nearest`` (availability zone) or ``store-region`` (region of the data
        store).
    long_work_percent : int
        Share of the servers for long work, which uses others only when none
        of these is available.
    """

    slots_per_server: int
    connections_per_server: int
    floor_percent: int
    minimum_servers: int = 1
    prefer: str = 'nearest'
    long_work_percent: int = 25


class Service(NamedTuple):
    """A kind of work that runs on a pool, with its own budgets.

    Attributes
    ----------
    pool : str
    retry_budget_percent : int
        Retries per 100 requests, not counting retries and hedges.
    hedge_budget_percent : int
        Hedges per 100 requests, not counting retries and hedges.
    queue_limit_ms : int
        Maximum time that a request waits for admission.
    """

    pool: str
    retry_budget_percent: int = 10
    hedge_budget_percent: int = 0
    queue_limit_ms: int = 2000


class RequestClass(NamedTuple):
    """How requests of one kind are treated.

    Attributes
    ----------
    idempotent : bool
    expected_ms : int
        Usual service time.
    deadline_ms : int
        Time after which a response is useless to the caller.
    worth : float
        Value of responding to one request, in any unit that the whole
        document uses.
    long : bool
        Runs many times longer than other work. It is confined to a share of
        the servers, and its duration is no evidence that a server is slow.
    key : str
        Use of idempotency keys: ``none`` for an idempotent class, otherwise
        ``optional`` or ``required``.
    max_request_bytes : int
    max_answer_bytes : int
    """

    idempotent: bool
    expected_ms: int
    deadline_ms: int
    worth: float = 1.0
    long: bool = False
    key: str = 'none'
    max_request_bytes: int = 65536
    max_answer_bytes: int = 262144


class Route(NamedTuple):
    """Assigns the requests that match it to a service and a class.

    Attributes
    ----------
    methods : tuple of str
        In alphabetical order.
    path : str
        Exact path, or a prefix when ``is_prefix`` is set.
    is_prefix : bool
    host : str
        In lower case, without port; empty to match every host.
    service : str
    request_class : str
    """

    methods: tuple[str, ...]
    path: str
    is_prefix: bool
    host: str
    service: str
    request_class: str


class AccountLimit(NamedTuple):
    """Token bucket of one account, a limit for the whole fleet.

    Attributes
    ----------
    requests_per_second : float
        Refill rate.
    burst : int
        Size of the bucket in requests.
    """

    requests_per_second: float
    burst: int


class Accounts(NamedTuple):
    """Rate limits of the callers' accounts.

    Attributes
    ----------
    default : AccountLimit
        Limit of each account that is not in ``named``.
    named : mapping of str to AccountLimit
    """

    default: AccountLimit
    named: Mapping[str, AccountLimit]

    def limit_of(self, account: str) -> AccountLimit:
        """Return the limit of an account, or the default."""
        return self.named.get(account, self.default)


class CrossRegion(NamedTuple):
    """Rules for requests that use the link between regions.

    Attributes
    ----------
    policy : str
        ``never``, ``spare`` (only when the request's own region has no
        capacity left, or when its pool prefers the data store's region and
        the instance is outside that region) or ``always``.
    link_percent : int
        Share of the link's capacity that requests may use.
    max_body_bytes : int
        Requests whose body or expected response is larger stay in their
        region.
    """

    policy: str = 'spare'
    link_percent: int = 20
    max_body_bytes: int = 65536


class Document(NamedTuple):
    """A validated document; all references in it are defined."""

    pools: Mapping[str, Pool]
    services: Mapping[str, Service]
    classes: Mapping[str, RequestClass]
    routes: Mapping[str, Route]
    accounts: Accounts
    cross_region: CrossRegion

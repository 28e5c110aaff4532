"""Published routes, services, limits and registrations."""

from collections.abc import Mapping
from typing import Annotated
from typing import NamedTuple

import msgspec

from citronshelf_common import fleet

# An account name is sent as the value of a header. Keys have the same form.
NAME_PATTERN = r'\A[!-~]{1,200}\Z'
DIGEST_BYTES = 32
AccountName = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
KeyDigest = Annotated[
    bytes, msgspec.Meta(min_length=DIGEST_BYTES, max_length=DIGEST_BYTES)
]


class WeightedService(NamedTuple):
    """Service that receives a part of a route's traffic.

    Attributes
    ----------
    service : str
    weight : float
        Share relative to the other services of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Handling of requests to one host below one path prefix.

    Attributes
    ----------
    name : str
    host : str
        Lower case, without port.
    prefix : str
        Begins and ends with a slash.
    weighted_services : tuple of WeightedService
    idempotent : bool
        A request may run more than once.
    max_servers : int
        Highest number of servers to which one request may be sent.
    timeout_s : float
        Longest time until the caller gets the final response.
    target_latency_s : float
        Time within which a response has its full worth to the caller.
    priority : int
        0 is the most urgent.
    allow_anonymous : bool
        Callers need no key, even if the configuration has accounts.
    """

    name: str
    host: str
    prefix: str
    weighted_services: tuple[WeightedService, ...]
    idempotent: bool
    max_servers: int
    timeout_s: float
    target_latency_s: float
    priority: int
    allow_anonymous: bool = False


class Account(NamedTuple):
    """A client account, which owns keys and may have a quota.

    Attributes
    ----------
    name : str
    key_digests : tuple of bytes
        SHA-256 digests of its keys.
    priority : int or None
        Takes precedence over the priority of the route; None if unset.
    rate_per_s : float
        Requests per second that all instances together admit; 0 without
        limit.
    burst : float
        Requests that are admitted at once in addition.
    """

    name: AccountName
    key_digests: tuple[KeyDigest, ...]
    priority: int | None = None
    rate_per_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    burst: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class CallerLimits(NamedTuple):
    """Limits on the size and the time of callers' requests.

    Attributes
    ----------
    max_head_bytes : int
        Limit on the header lines of a request, without the request line.
    max_body_bytes : int
    head_timeout_s : float
    idle_timeout_s : float
    """

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One published configuration.

    Attributes
    ----------
    revision : int
        Revision of its publication, increasing with each publication.
    version : int
        Version number given by the operators.
    routes : tuple of Route
    services : tuple of str
    limits : CallerLimits
    accounts : tuple of Account
        Without accounts, callers need no keys.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    limits: CallerLimits
    accounts: tuple[Account, ...] = ()


class Registration(NamedTuple):
    """Registration of a backend server, as the server published it.

    Attributes
    ----------
    server_id : str
        Identity of the server; a later incarnation may have the same.
    service : str
    address : Address
    zone : str
    slots : int
        Number of requests that it runs concurrently.
    draining : bool
        The server is leaving and accepts no new work.
    warm_up_s : float
        Seconds of warm-up that remained when the registration was written.
    started_ms : int
        Time of its start in Unix milliseconds, which distinguishes
        incarnations with the same identity; 0 if unknown.
    """

    server_id: str
    service: str
    address: fleet.Address
    zone: str
    slots: int
    draining: bool
    warm_up_s: float
    started_ms: int


class Snapshot(NamedTuple):
    """All published state as of one revision.

    Attributes
    ----------
    revision : int
    configuration : Configuration or None
        Newest one that could be read; None if there is none.
    registrations : tuple of Registration
    lapsed : tuple of Registration
        Entries that are missing since an outage of the store and may return.
    recovered_ago_s : float or None
        Seconds since the end of that outage, while entries may return; None
        otherwise.
    unread_configuration : int
        Revision of a newer configuration that cannot be read; 0 if there is
        none.
    confirmed_ago_s : float or None
        Seconds since the store showed the sender that this was the newest
        state; None if it never did, or in a response of the store itself.
    """

    revision: int
    configuration: Configuration | None
    registrations: tuple[Registration, ...]
    lapsed: tuple[Registration, ...] = ()
    recovered_ago_s: Annotated[float, msgspec.Meta(ge=0)] | None = None
    unread_configuration: Annotated[int, msgspec.Meta(ge=0)] = 0
    confirmed_ago_s: Annotated[float, msgspec.Meta(ge=0)] | None = None


class Changes(NamedTuple):
    """Changes after a revision.

    Attributes
    ----------
    revision : int
        Revision from which the next watch continues.
    configuration : Configuration or None
        None if it did not change or cannot be read.
    registrations : mapping of str to Registration or None
        Keyed by server id; None for a removed or unreadable entry.
    unread_configuration : int
        Revision of a newer configuration that cannot be read; 0 if there is
        none.
    """

    revision: int
    configuration: Configuration | None
    registrations: Mapping[str, Registration | None]
    unread_configuration: int = 0

    def changes_configuration(self) -> bool:
        """Return whether a configuration was published."""
        return bool(self.configuration or self.unread_configuration)

    def is_empty(self) -> bool:
        """Return whether nothing was published."""
        return not (self.registrations or self.changes_configuration())


class RegistrationDelta(NamedTuple):
    """Changed registrations in a range of revisions without other changes.

    Attributes
    ----------
    after : int
        The delta holds all changes after this revision.
    revision : int
        The delta holds all changes up to this revision.
    registrations : dict of str to Registration or None
        Keyed by server id; None for a removed or unreadable entry.
    configuration : int
        Revision of the newest configuration that was published in the range
        and is passed on apart; 0 if there is none.
    """

    after: int
    revision: int
    registrations: dict[str, Registration | None]
    configuration: int = 0

"""Routes, services, limits and registrations that the operators publish."""

from collections.abc import Mapping
from typing import NamedTuple

from citronshelf_common import fleet


class WeightedService(NamedTuple):
    """One part of a route's traffic.

    Attributes
    ----------
    service : str
    weight : float
        Share relative to the other parts of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Requests to one host below one path prefix.

    Attributes
    ----------
    name : str
    host : str
        Lower case, without port.
    prefix : str
        Begins and ends with a slash.
    parts : tuple of WeightedService
    idempotent : bool
        A request may run more than once.
    max_servers : int
        Servers to which one request may be sent.
    timeout_s : float
        Longest time that a caller waits for the final answer.
    target_s : float
        Time within which an answer has its full worth.
    priority : int
        0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[WeightedService, ...]
    idempotent: bool
    max_servers: int
    timeout_s: float
    target_s: float
    priority: int


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take."""

    max_head_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    head_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One published configuration.

    Attributes
    ----------
    revision : int
        Revision of its publication; a later publication has a higher one.
    version : int
        The operators' own number.
    routes : tuple of Route
    services : tuple of str
    limits : CallerLimits
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    limits: CallerLimits


class Registration(NamedTuple):
    """What a backend server says of itself.

    Attributes
    ----------
    server_id : str
        Identity of one life of the server.
    service : str
    address : Address
    zone : str
    slots : int
        Requests that it runs at the same time.
    draining : bool
        It leaves and takes no new work.
    warmup_s : float
        How long it stays slow after its start, as it said when it wrote.
    started_ms : int
        Wall clock of its start; tells apart two lives under one identity.
    """

    server_id: str
    service: str
    address: fleet.Address
    zone: str
    slots: int
    draining: bool
    warmup_s: float
    started_ms: int


class Snapshot(NamedTuple):
    """Everything published, as of one revision.

    Attributes
    ----------
    revision : int
    configuration : Configuration or None
        None before the first publication, or when it cannot be read.
    registrations : tuple of Registration
    """

    revision: int
    configuration: Configuration | None
    registrations: tuple[Registration, ...]


class Changes(NamedTuple):
    """What changed after a revision.

    Attributes
    ----------
    revision : int
        Continue from here.
    configuration : Configuration or None
        None when it did not change.
    registrations : mapping of str to Registration or None
        By server identity; None for a removed or unreadable entry.
    """

    revision: int
    configuration: Configuration | None
    registrations: Mapping[str, Registration | None]

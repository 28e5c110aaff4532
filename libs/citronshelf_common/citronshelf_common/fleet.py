"""Types that describe instances, backend servers and their standing."""

import enum
from typing import NamedTuple


class Address(NamedTuple):
    """IP number and TCP port."""

    ip: str
    port: int

    def authority(self) -> str:
        """Return ``ip:port``, as a URL has it."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


class Location(NamedTuple):
    """Region and availability zone."""

    region: str
    zone: str


class BackendServer(NamedTuple):
    """One backend server from the platform's list."""

    server_id: str
    pool: str
    address: Address
    location: Location


class EntryInstance(NamedTuple):
    """One instance of the fleet from the platform's list."""

    instance: str
    peer: Address
    forward: Address
    location: Location


class Standing(enum.StrEnum):
    """What an instance may send to a backend server.

    ADMITTED takes all work. PROBATION takes idempotent work by weight.
    AVOIDED is ejected for one availability zone only. EJECTED and LEAVING
    take no new work.
    """

    ADMITTED = 'admitted'
    PROBATION = 'probation'
    EJECTED = 'ejected'
    AVOIDED = 'avoided'
    LEAVING = 'leaving'


class ServerView(NamedTuple):
    """Standing of one backend server.

    Attributes
    ----------
    server : BackendServer
    standing : Standing
    weight : float
        Share of its fair load that the server may get, 0.0 to 1.0.
    """

    server: BackendServer
    standing: Standing
    weight: float


class FleetView(NamedTuple):
    """What the control daemon tells the entry daemon.

    Attributes
    ----------
    revision : int
        Publication revision of the document in force; 0 before the first.
    servers : tuple of ServerView
    entry_instances : int
        Live entry instances, this one included.
    """

    revision: int
    servers: tuple[ServerView, ...]
    entry_instances: int


class OutcomeCounts(NamedTuple):
    """Outcomes of one server for one request class in one interval."""

    server_id: str
    request_class: str
    good: int = 0
    errored: int = 0
    truncated: int = 0
    slow: int = 0
    unreachable: int = 0


class LoadReport(NamedTuple):
    """Load that a backend server states in its answers."""

    busy: int
    slots: int
    queue: int

"""Types that describe instances, backend servers and their health."""

import enum
from typing import NamedTuple


class Address(NamedTuple):
    """IP address and TCP port."""

    ip: str
    port: int

    def authority(self) -> str:
        """Return ``ip:port`` as in a URL, with brackets around IPv6."""
        if ':' in self.ip:
            return f'[{self.ip}]:{self.port}'
        return f'{self.ip}:{self.port}'


class Location(NamedTuple):
    """Region and availability zone."""

    region: str
    zone: str


class BackendServer(NamedTuple):
    """A backend server as listed by the platform."""

    server_id: str
    pool: str
    address: Address
    location: Location


class EntryInstance(NamedTuple):
    """An instance of the fleet as listed by the platform.

    ``peer`` is the address of its control daemon for other instances,
    ``forward`` that of its entry daemon for forwarded requests.
    """

    instance: str
    peer: Address
    forward: Address
    location: Location


class Standing(enum.StrEnum):
    """Which work an instance may send to a backend server.

    ADMITTED servers receive all work. PROBATION servers receive idempotent
    work only, in proportion to their weight. AVOIDED servers are ejected for
    one availability zone only. EJECTED and LEAVING servers receive no new
    work.
    """

    ADMITTED = 'admitted'
    PROBATION = 'probation'
    EJECTED = 'ejected'
    AVOIDED = 'avoided'
    LEAVING = 'leaving'


class ServerView(NamedTuple):
    """Standing and weight of one backend server.

    Attributes
    ----------
    server : BackendServer
    standing : Standing
    weight : float
        Fraction of its fair share of the load that the server may receive,
        0.0 to 1.0.
    """

    server: BackendServer
    standing: Standing
    weight: float


class FleetView(NamedTuple):
    """State of the fleet, sent by the control daemon to the entry daemon.

    Attributes
    ----------
    revision : int
        Revision at which the document in force was published; 0 before the
        first document.
    servers : tuple of ServerView
    entry_instances : int
        Number of live entry instances, including this one.
    """

    revision: int
    servers: tuple[ServerView, ...]
    entry_instances: int


class OutcomeCounts(NamedTuple):
    """Outcome counts of one server and request class in one interval.

    Each request is counted in exactly one field.
    """

    server_id: str
    request_class: str
    good: int = 0
    errored: int = 0
    truncated: int = 0
    slow: int = 0
    unreachable: int = 0


class LoadReport(NamedTuple):
    """Load that a backend server reports in its responses.

    Attributes
    ----------
    busy : int
        Number of slots in use.
    slots : int
        Number of requests that the server runs concurrently.
    queue : int
        Number of requests that wait for a slot.
    """

    busy: int
    slots: int
    queue: int

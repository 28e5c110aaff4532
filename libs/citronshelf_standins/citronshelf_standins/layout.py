"""Names, places and addresses of a fleet on the loopback network."""

import json
import os
from typing import NamedTuple

from citronshelf_common import fleet

CALLER_PORT = 8080
ENTRY_ADMIN_PORT = 8081
FORWARD_PORT = 8082
PEER_PORT = 8083
CONTROL_ADMIN_PORT = 8084
LOCAL_LINK_PORT = 8085
SERVER_PORT = 9000
PLATFORM_PORT = 9500
RELAY_ADMIN_OFFSET = 1000
HOSTS_PER_BLOCK = 250


class ServerSpec(NamedTuple):
    """One backend server to start."""

    name: str
    pool: str
    slots: int
    location: fleet.Location
    ip: str

    def address(self) -> str:
        """Return where it listens."""
        return f'{self.ip}:{SERVER_PORT}'


class InstanceSpec(NamedTuple):
    """One instance to start: an entry and a control daemon."""

    name: str
    location: fleet.Location
    ip: str

    def callers(self) -> str:
        """Return where callers connect."""
        return f'{self.ip}:{CALLER_PORT}'

    def entry_admin(self) -> str:
        """Return the admin address of the entry daemon."""
        return f'{self.ip}:{ENTRY_ADMIN_PORT}'

    def control_admin(self) -> str:
        """Return the admin address of the control daemon."""
        return f'{self.ip}:{CONTROL_ADMIN_PORT}'

    def peer(self) -> str:
        """Return the peer address of the control daemon."""
        return f'{self.ip}:{PEER_PORT}'


class Layout(NamedTuple):
    """Everything a local fleet consists of.

    Attributes
    ----------
    locations : tuple of Location
    instances : tuple of InstanceSpec
    servers : tuple of ServerSpec
    platform : str
        ``ip:port`` of the platform stand-in.
    """

    locations: tuple[fleet.Location, ...]
    instances: tuple[InstanceSpec, ...]
    servers: tuple[ServerSpec, ...]
    platform: str


def loopback_prefix(process_id: int | None = None) -> str:
    """Return the first two numbers of the loopback addresses of one fleet.

    Fleets of different processes get different addresses, so that they may
    run side by side with the same ports.
    """
    process_id = os.getpid() if process_id is None else process_id
    return f'127.{1 + process_id % 250}'


def make_layout(
    *,
    places: tuple[fleet.Location, ...],
    instances: int,
    pools: dict[str, tuple[int, int]],
    prefix: str | None = None,
) -> Layout:
    """Spread instances and servers over the zones in turn.

    Parameters
    ----------
    places : tuple of Location
    instances : int
        Number of instances.
    pools : dict of str to (int, int)
        Servers and slots a server of each pool.
    prefix : str, optional
        First two numbers of the addresses.
    """
    prefix = prefix or loopback_prefix()
    instance_specs = tuple(
        InstanceSpec(
            f'{places[i % len(places)].zone}-{i // len(places) + 1}',
            places[i % len(places)],
            host_address(prefix, 1, i),
        )
        for i in range(instances)
    )
    server_specs = []
    for pool, (count, slots) in pools.items():
        for i in range(count):
            location = places[i % len(places)]
            ip = host_address(prefix, 2, len(server_specs))
            server_specs.append(
                ServerSpec(f'{pool}-{i + 1}', pool, slots, location, ip)
            )
    platform = f'{prefix}.0.1:{PLATFORM_PORT}'
    return Layout(places, instance_specs, tuple(server_specs), platform)


def host_address(prefix: str, block: int, index: int) -> str:
    """Return the address of the ``index``-th process of a block."""
    high, low = divmod(index, HOSTS_PER_BLOCK)
    return f'{prefix}.{block + 10 * high}.{low + 1}'


def server_list_entry(server: ServerSpec, state: str) -> dict:
    """Return the platform's list entry of a server."""
    return {
        'id': server.name,
        'kind': 'backend',
        'pool': server.pool,
        'ip': server.ip,
        'port': SERVER_PORT,
        'forward_port': 0,
        'region': server.location.region,
        'zone': server.location.zone,
        'state': state,
    }


def instance_list_entry(instance: InstanceSpec, state: str) -> dict:
    """Return the platform's list entry of an instance."""
    return {
        'id': instance.name,
        'kind': 'entry',
        'pool': '',
        'ip': instance.ip,
        'port': PEER_PORT,
        'forward_port': FORWARD_PORT,
        'region': instance.location.region,
        'zone': instance.location.zone,
        'state': state,
    }


def relay_address(instance: InstanceSpec, port: int) -> str:
    """Return where a relay before or behind an instance listens."""
    first, second, third, last = instance.ip.split('.')
    return f'{first}.{second}.{int(third) + 2}.{last}:{port}'


def instance_list(
    layout: Layout, states: dict[str, str], peer_relays: dict[str, str]
) -> bytes:
    """Return the list of instances as the platform publishes it.

    Parameters
    ----------
    layout : Layout
    states : dict of str to str
        States that differ from ``live``; ``gone`` leaves the entry out.
    peer_relays : dict of str to str
        Peer addresses of instances that stand behind a relay.
    """
    entries = [
        server_list_entry(s, states.get(s.name, 'live'))
        for s in layout.servers
    ] + [
        instance_list_entry(i, states.get(i.name, 'live'))
        for i in layout.instances
    ]
    for entry in entries:
        if entry['id'] in peer_relays:
            ip, _, port = peer_relays[entry['id']].rpartition(':')
            entry |= {'ip': ip, 'port': int(port)}
    return json.dumps([e for e in entries if e['state'] != 'gone']).encode()

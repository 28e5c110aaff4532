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
LOCAL_PORT = 8085
SERVER_PORT = 9000
PLATFORM_PORT = 9500
RELAY_ADMIN_OFFSET = 1000
HOSTS_PER_BLOCK = 250


class ServerSpec(NamedTuple):
    """One backend server to start."""

    name: str
    pool: str
    slots: int
    place: fleet.Location
    ip: str

    def address(self) -> str:
        """Return where it listens."""
        return f'{self.ip}:{SERVER_PORT}'


class InstanceSpec(NamedTuple):
    """One instance to start: an entry and a control daemon."""

    name: str
    place: fleet.Location
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
    places : tuple of Location
    instances : tuple of InstanceSpec
    servers : tuple of ServerSpec
    platform : str
        ``ip:port`` of the platform stand-in.
    """

    places: tuple[fleet.Location, ...]
    instances: tuple[InstanceSpec, ...]
    servers: tuple[ServerSpec, ...]
    platform: str


def block_prefix(process_id: int | None = None) -> str:
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
    prefix = prefix or block_prefix()
    instance_specs = tuple(
        InstanceSpec(
            f'{places[i % len(places)].zone}-{i // len(places) + 1}',
            places[i % len(places)],
            host(prefix, 1, i),
        )
        for i in range(instances)
    )
    server_specs = []
    for pool, (count, slots) in pools.items():
        for i in range(count):
            place = places[i % len(places)]
            ip = host(prefix, 2, len(server_specs))
            server_specs.append(
                ServerSpec(f'{pool}-{i + 1}', pool, slots, place, ip)
            )
    platform = f'{prefix}.0.1:{PLATFORM_PORT}'
    return Layout(places, instance_specs, tuple(server_specs), platform)


def host(prefix: str, block: int, number: int) -> str:
    """Return the address of the ``number``-th process of a block."""
    high, low = divmod(number, HOSTS_PER_BLOCK)
    return f'{prefix}.{block + 10 * high}.{low + 1}'


def list_entry_of_server(server: ServerSpec, state: str) -> dict:
    """Return the platform's list entry of a server."""
    return {
        'id': server.name,
        'kind': 'backend',
        'pool': server.pool,
        'ip': server.ip,
        'port': SERVER_PORT,
        'forward_port': 0,
        'region': server.place.region,
        'zone': server.place.zone,
        'state': state,
    }


def list_entry_of_instance(instance: InstanceSpec, state: str) -> dict:
    """Return the platform's list entry of an instance."""
    return {
        'id': instance.name,
        'kind': 'entry',
        'pool': '',
        'ip': instance.ip,
        'port': PEER_PORT,
        'forward_port': FORWARD_PORT,
        'region': instance.place.region,
        'zone': instance.place.zone,
        'state': state,
    }


def relay_address(instance: InstanceSpec, port: int) -> str:
    """Return where a relay before or behind an instance listens."""
    first, second, third, last = instance.ip.split('.')
    return f'{first}.{second}.{int(third) + 2}.{last}:{port}'


def instance_list(
    layout: Layout, states: dict[str, str], peer_paths: dict[str, str]
) -> bytes:
    """Return the list of instances as the platform publishes it.

    Parameters
    ----------
    layout : Layout
    states : dict of str to str
        States that differ from ``live``; ``gone`` leaves the entry out.
    peer_paths : dict of str to str
        Peer addresses of instances that stand behind a relay.
    """
    entries = [
        list_entry_of_server(s, states.get(s.name, 'live'))
        for s in layout.servers
    ] + [
        list_entry_of_instance(i, states.get(i.name, 'live'))
        for i in layout.instances
    ]
    for entry in entries:
        if entry['id'] in peer_paths:
            ip, _, port = peer_paths[entry['id']].rpartition(':')
            entry |= {'ip': ip, 'port': int(port)}
    return json.dumps([e for e in entries if e['state'] != 'gone']).encode()

"""Names, locations and addresses of a fleet on the loopback network."""

import json
import os
from typing import NamedTuple

from citronshelf_common import fleet

# Every instance and server has its own IP address, so all share these ports.
CALLER_PORT = 8080
ENTRY_ADMIN_PORT = 8081
FORWARD_PORT = 8082
PEER_PORT = 8083
CONTROL_ADMIN_PORT = 8084
LOCAL_LINK_PORT = 8085
SERVER_PORT = 9000
PLATFORM_PORT = 9500
# Added to the port that a relay listens on.
RELAY_ADMIN_OFFSET = 1000
# Number of addresses used for each value of the third octet.
HOSTS_PER_BLOCK = 250


class ServerSpec(NamedTuple):
    """One backend server to start."""

    name: str
    pool: str
    slots: int
    location: fleet.Location
    ip: str

    def address(self) -> str:
        """Return the ``ip:port`` that the server listens on."""
        return f'{self.ip}:{SERVER_PORT}'


class InstanceSpec(NamedTuple):
    """One instance to start, with an entry daemon and a control daemon."""

    name: str
    location: fleet.Location
    ip: str

    def caller_address(self) -> str:
        """Return the ``ip:port`` that callers connect to."""
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
    """Instances, servers and platform of a local fleet.

    Attributes
    ----------
    locations : tuple of Location
        Zones of the fleet; the first one is in the region of the store.
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
    """Return the first two octets of the loopback addresses of one fleet.

    The second octet depends on the process ID, modulo 250, so that fleets of
    different processes can use the same ports at the same time.
    """
    process_id = os.getpid() if process_id is None else process_id
    return f'127.{1 + process_id % 250}'


def make_layout(
    *,
    locations: tuple[fleet.Location, ...],
    instances: int,
    pools: dict[str, tuple[int, int]],
    prefix: str | None = None,
) -> Layout:
    """Distribute instances and servers over the zones in round-robin order.

    Parameters
    ----------
    locations : tuple of Location
    instances : int
        Number of instances.
    pools : dict of str to (int, int)
        Number of servers, and slots per server, of each pool.
    prefix : str, optional
        First two octets of the addresses; by default those of
        ``loopback_prefix``.
    """
    prefix = prefix or loopback_prefix()
    instance_specs = tuple(
        InstanceSpec(
            f'{locations[i % len(locations)].zone}-{i // len(locations) + 1}',
            locations[i % len(locations)],
            host_address(prefix, 1, i),
        )
        for i in range(instances)
    )
    server_specs = []
    for pool, (count, slots) in pools.items():
        for i in range(count):
            location = locations[i % len(locations)]
            ip = host_address(prefix, 2, len(server_specs))
            server_specs.append(
                ServerSpec(f'{pool}-{i + 1}', pool, slots, location, ip)
            )
    platform = f'{prefix}.0.1:{PLATFORM_PORT}'
    return Layout(locations, instance_specs, tuple(server_specs), platform)


def host_address(prefix: str, block: int, index: int) -> str:
    """Return the IP address of the ``index``-th process of a block.

    ``block`` is the third octet of the first ``HOSTS_PER_BLOCK`` addresses;
    it increases by 10 for each further ``HOSTS_PER_BLOCK``.
    """
    high, low = divmod(index, HOSTS_PER_BLOCK)
    return f'{prefix}.{block + 10 * high}.{low + 1}'


def server_list_entry(server: ServerSpec, state: str) -> dict:
    """Return the entry of a server in the platform's instance list."""
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
    """Return the entry of an instance in the platform's instance list."""
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
    """Return the ``ip:port`` of a relay to or from an instance.

    Its third octet is that of the instance plus 2, so that the relay can
    listen on the same port as the process behind it.
    """
    first, second, third, last = instance.ip.split('.')
    return f'{first}.{second}.{int(third) + 2}.{last}:{port}'


def instance_list(
    layout: Layout, states: dict[str, str], peer_relays: dict[str, str]
) -> bytes:
    """Return the instance list of the platform, which includes the servers.

    Parameters
    ----------
    layout : Layout
    states : dict of str to str
        States other than ``live``, by name; ``gone`` omits the entry.
    peer_relays : dict of str to str
        Addresses of the relays in front of peer addresses, by name of the
        instance.
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

"""Computes the deterministic subset of a pool for one instance."""

import hashlib
import math
from typing import NamedTuple

# Connections per server that an instance aims for; enough for short bursts, as
# a server has few slots.
TARGET_CONNECTIONS = 4
# Share of a server's connections used for requests: hashing distributes
# instances unevenly, and probes need connections as well.
USABLE_CONNECTION_SHARE = 0.8


def rendezvous_rank(*parts: str) -> int:
    """Return the rendezvous hash of some names; the lowest ranks first."""
    text = '\0'.join(parts).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class SubsetSize(NamedTuple):
    """Part of a pool that one instance uses.

    Attributes
    ----------
    share : float
        Fraction of the pool's servers, at most 1.0.
    connections : int
        Maximum number of connections to one of them.
    """

    share: float
    connections: int


def subset_size(
    *, servers: int, entry_instances: int, connections_per_server: int
) -> SubsetSize:
    """Divide the connections of a pool's servers among the instances.

    Parameters
    ----------
    servers : int
        Number of usable servers of the pool.
    entry_instances : int
    connections_per_server : int
        Connections that one server accepts.
    """
    instances = max(1, entry_instances)
    usable = connections_per_server * USABLE_CONNECTION_SHARE
    share = min(1.0, usable / (instances * TARGET_CONNECTIONS))
    used = max(1, math.floor(share * servers))
    connections = max(1, math.floor(usable * servers / (instances * used)))
    return SubsetSize(share, connections)


def lowest_ranked(states, share: float) -> list:
    """Return the first servers of a sequence, at least one unless empty.

    Parameters
    ----------
    states : sequence of ServerLoadState
        Sorted by rank.
    share : float
        Fraction to return.
    """
    if share >= 1:
        return list(states)
    return list(states[: max(1, math.floor(share * len(states)))])


def select_long_servers(states, percent: float) -> frozenset:
    """Return the identifiers of the servers for long work.

    All instances select the same servers, as the rank does not depend on the
    instance. The share applies to each region separately, because long work
    has large bodies, which do not leave their region. At least one server per
    region is selected.
    """
    regions = {}
    for state in states:
        location = state.view.server.location
        regions.setdefault(location.region, []).append(state)
    chosen = []
    for members in regions.values():
        members.sort(key=lambda state: state.long_rank)
        count = max(1, math.ceil(percent / 100 * len(members)))
        chosen += members[:count]
    return frozenset(state.server_id for state in chosen)

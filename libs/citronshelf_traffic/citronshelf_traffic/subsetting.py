"""Deterministic subsets of a pool for one instance."""

import hashlib
import math
from typing import NamedTuple

# Connections that an instance wants to one server: enough for short bursts
# of the few slots behind it.
TARGET_CONNECTIONS = 4
# Hashing spreads instances unevenly, and probes need connections too.
USABLE_CONNECTION_SHARE = 0.8


def rendezvous_rank(*parts: str) -> int:
    """Return the rank of a combination of names; the lowest comes first."""
    text = '\0'.join(parts).encode()
    digest = hashlib.blake2b(text, digest_size=8).digest()
    return int.from_bytes(digest, 'big')


class SubsetSize(NamedTuple):
    """How much of a pool one instance uses.

    Attributes
    ----------
    share : float
        Share of the pool's servers, at most 1.0.
    connections : int
        Most connections to one of them.
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
        Usable servers of the pool.
    entry_instances : int
    connections_per_server : int
        Connections that one server takes.
    """
    instances = max(1, entry_instances)
    usable = connections_per_server * USABLE_CONNECTION_SHARE
    share = min(1.0, usable / (instances * TARGET_CONNECTIONS))
    used = max(1, math.floor(share * servers))
    connections = max(1, math.floor(usable * servers / (instances * used)))
    return SubsetSize(share, connections)


def lowest_ranked(states, share: float) -> list:
    """Return the first servers of an order, at least one of any.

    Parameters
    ----------
    states : sequence of ServerState
        In the order of their ranks.
    share : float
    """
    if share >= 1:
        return list(states)
    return list(states[: max(1, math.floor(share * len(states)))])


def select_long_servers(states, percent: float) -> frozenset:
    """Return the identities of the servers that long work may use.

    Every instance computes the same ones: the order does not depend on the
    instance. The share is taken in each region, because long work has large
    bodies, which stay in their region.
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

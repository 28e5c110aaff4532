"""Capacity floor: the capacity that ejection must leave in a pool."""

from collections.abc import Iterable

from citronshelf_document import model

# A sum of weights can differ from the exact capacity by rounding error.
ROUNDING_TOLERANCE_SLOTS = 1e-9


# Used for pools that the document in force does not define. The floor is the
# whole list: no server is ejected unless a document permits it.
UNKNOWN_POOL = model.Pool(
    slots_per_server=1,
    connections_per_server=1,
    floor_percent=100,
)


def floor_slots(pool: model.Pool, listed: int) -> int:
    """Return the floor in slots.

    Parameters
    ----------
    pool : Pool
    listed : int
        Number of listed servers, including leaving ones: a rolling
        replacement already reduces the capacity, so fewer servers may be
        ejected during one.

    Returns
    -------
    int
        The larger of the pool's percentage of all slots, rounded up, and
        the slots of its minimum number of servers.
    """
    listed_slots = listed * pool.slots_per_server
    percentage_slots = -(-listed_slots * pool.floor_percent // 100)
    minimum_slots = min(pool.minimum_servers, listed) * pool.slots_per_server
    return max(percentage_slots, minimum_slots)


def capacity_slots(pool: model.Pool, weights: Iterable[float]) -> float:
    """Return the capacity of servers with these weights, in slots."""
    return pool.slots_per_server * sum(weights)


def is_below(capacity: float, floor: float) -> bool:
    """Return whether a capacity is below the floor.

    Differences up to the rounding tolerance are ignored.
    """
    return capacity < floor - ROUNDING_TOLERANCE_SLOTS

"""Capacity that ejection must leave in a pool."""

from collections.abc import Iterable

from citronshelf_document import model

# Sums of weights differ by rounding error from the same sum in slots.
ROUNDING_TOLERANCE_SLOTS = 1e-9


# Pool that the document in force does not have. Its floor is the whole list:
# nothing is ejected without a document that permits it.
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
        Servers on the list, leaving ones included: a rolling replacement
        already lowers capacity, so ejection holds back during one.

    Returns
    -------
    int
        The larger of the percentage, rounded up, and the minimum of servers.
    """
    listed_slots = listed * pool.slots_per_server
    percentage_slots = -(-listed_slots * pool.floor_percent // 100)
    minimum_slots = min(pool.minimum_servers, listed) * pool.slots_per_server
    return max(percentage_slots, minimum_slots)


def capacity_slots(pool: model.Pool, weights: Iterable[float]) -> float:
    """Return the capacity of servers that have these weights, in slots."""
    return pool.slots_per_server * sum(weights)


def is_below(capacity: float, floor: float) -> bool:
    """Tell whether a capacity is below the floor beyond rounding error."""
    return capacity < floor - ROUNDING_TOLERANCE_SLOTS

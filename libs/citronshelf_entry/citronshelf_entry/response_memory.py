"""Limit on the bytes that a process holds for all its responses."""

from collections.abc import Callable
from typing import Protocol

# A response without a declared length may have no end. It is ended in favour
# of one with a declared length unless that holds this many times as much.
UNKNOWN_LENGTH_WEIGHT = 4


class Holder(Protocol):
    """Holder of the bytes of one response.

    Attributes
    ----------
    request_id : str
    """

    request_id: str

    def has_known_length(self) -> bool:
        """Return whether it is known how many bytes will be held."""

    def drop_for_memory(self) -> None:
        """Drop the bytes and end the response without completing it."""


class ResponseMemory:
    """Counts the bytes held for responses and ends the largest at a limit.

    Complete responses are mostly small. What a server sends without an end
    grows until it is the largest, so ending that one protects the others.

    Parameters
    ----------
    limit_bytes : int
    on_drop : callable
        Called with a ``Holder`` that is ended and the bytes that it held.
    """

    def __init__(
        self,
        *,
        limit_bytes: int,
        on_drop: Callable[[Holder, int], None] = lambda holder, size: None,
    ):
        self.limit_bytes = limit_bytes
        self.on_drop = on_drop
        self.total_bytes = 0
        self.held: dict[Holder, int] = {}

    def add(self, holder: Holder, count: int) -> None:
        """Count bytes of a holder; above the limit, end the largest holders.

        The holder itself may be one of them.
        """
        self.held[holder] = self.held.get(holder, 0) + count
        self.total_bytes += count
        while self.total_bytes > self.limit_bytes:
            self.drop_largest()

    def release(self, holder: Holder) -> None:
        """Stop counting the bytes of a holder, if it has any."""
        self.total_bytes -= self.held.pop(holder, 0)

    def drop_largest(self) -> None:
        """End the holder with most bytes, those of unknown length first."""
        largest = max(self.held, key=self.weight)
        size = self.held[largest]
        self.release(largest)
        largest.drop_for_memory()
        self.on_drop(largest, size)

    def weight(self, holder: Holder) -> int:
        """Return the bytes held, multiplied if the length is unknown."""
        if holder.has_known_length():
            return self.held[holder]
        return UNKNOWN_LENGTH_WEIGHT * self.held[holder]

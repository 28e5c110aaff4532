"""Identifies one run of a process, so that restarts are detected."""

import os
import time
from typing import NamedTuple

NONCE_BYTES = 8


class Incarnation(NamedTuple):
    """Identity of one run of a process, from its start to its end.

    Two incarnations of the same instance never compare equal, so a message
    from an earlier incarnation is recognised after a restart.

    Attributes
    ----------
    instance : str
        Name of the instance, from its settings.
    started_ms : int
        Wall-clock time at the start of the process, in ms. Orders the
        incarnations of one instance; never compared between instances.
    nonce : str
        Random hexadecimal digits that distinguish incarnations that started
        in the same millisecond.
    """

    instance: str
    started_ms: int
    nonce: str

    def supersedes(self, other: 'Incarnation') -> bool:
        """Return whether this is a newer incarnation of the same instance."""
        if self.instance != other.instance:
            return False
        return self[1:] > other[1:]


def new_incarnation(*, instance: str) -> Incarnation:
    """Create the incarnation of the calling process.

    Parameters
    ----------
    instance : str
        Name of the instance.

    Returns
    -------
    Incarnation
    """
    started_ms = int(time.time() * 1000)
    return Incarnation(instance, started_ms, os.urandom(NONCE_BYTES).hex())

"""Identity of one life of one process."""

import os
import time
from typing import NamedTuple

NONCE_BYTES = 8


class Incarnation(NamedTuple):
    """One life of one process.

    Two lives of the same instance never compare equal, so a message from an
    earlier life is recognised after a restart.

    Attributes
    ----------
    instance : str
        Name of the instance, from its settings.
    started_ms : int
        Wall clock at the start of the process, in ms. Orders the lives of an
        instance; never compared between instances.
    nonce : str
        Random hexadecimal digits that tell apart lives that began at the same
        clock reading.
    """

    instance: str
    started_ms: int
    nonce: str

    def supersedes(self, other: 'Incarnation') -> bool:
        """Tell whether this is a newer life of the same instance."""
        if self.instance != other.instance:
            return False
        return self[1:] > other[1:]


def new_incarnation(*, instance: str) -> Incarnation:
    """Make the identity of the process that calls it.

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

"""Messages between the entry daemon and the control daemon beside it.

The control daemon binds a ROUTER socket at the loopback address
``control.local``; the entry daemon connects a DEALER socket to it.
"""

from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import wire

REFRESH_INTERVAL_S = 0.5


class ViewRefresh(NamedTuple):
    """Entry to control: asks for the current view.

    Sent every ``REFRESH_INTERVAL_S`` and after the process was suspended.

    Attributes
    ----------
    sender : Incarnation
    number : int
        Rises with each request; the update that answers it repeats it.
    document_revision : int
        Revision that the entry daemon has; 0 for none.
    """

    sender: identity.Incarnation
    number: int
    document_revision: int


class ViewUpdate(NamedTuple):
    """Control to entry: the view, as an answer or after a change.

    Attributes
    ----------
    sender : Incarnation
    refresh_number : int
        Number of the last ``ViewRefresh`` received; the view is newer.
    view : FleetView
    document : bytes or None
        Document in force, only when the entry daemon does not have it.
    """

    sender: identity.Incarnation
    refresh_number: int
    view: fleet.FleetView
    document: bytes | None = None


class EvidenceReport(NamedTuple):
    """Entry to control: outcomes since the report before.

    Attributes
    ----------
    sender : Incarnation
    sequence : int
        Rises by one with each report.
    counts : tuple of OutcomeCounts
    """

    sender: identity.Incarnation
    sequence: int
    counts: tuple[fleet.OutcomeCounts, ...]


class DrainSignal(NamedTuple):
    """Entry to control: a server stated in an answer that it drains."""

    sender: identity.Incarnation
    server_id: str


CODEC = wire.Codec(
    messages=(ViewRefresh, ViewUpdate, EvidenceReport, DrainSignal)
)

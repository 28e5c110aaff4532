"""Messages between the entry and control daemons of one instance.

The control daemon binds a ROUTER socket at the loopback address from the
setting ``control.local``; the entry daemon connects a DEALER socket to it.
"""

from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import wire

REFRESH_INTERVAL_S = 0.5


class ViewRefresh(NamedTuple):
    """Entry to control: requests the current view.

    Sent every ``REFRESH_INTERVAL_S`` and after the process was suspended.

    Attributes
    ----------
    sender : Incarnation
    number : int
        Increases with each request; returned in
        ``ViewUpdate.refresh_number``.
    document_revision : int
        Revision of the document that the entry daemon has; 0 for none.
    """

    sender: identity.Incarnation
    number: int
    document_revision: int


class ViewUpdate(NamedTuple):
    """Control to entry: the view, sent on request and after a change.

    Attributes
    ----------
    sender : Incarnation
    refresh_number : int
        Number of the last ``ViewRefresh`` received; the view was created
        after that.
    view : FleetView
    document : bytes or None
        Document in force; None when the entry daemon already has it.
    """

    sender: identity.Incarnation
    refresh_number: int
    view: fleet.FleetView
    document: bytes | None = None


class EvidenceReport(NamedTuple):
    """Entry to control: outcome counts since the previous report.

    Attributes
    ----------
    sender : Incarnation
    sequence : int
        Increases by one with each report.
    counts : tuple of OutcomeCounts
    """

    sender: identity.Incarnation
    sequence: int
    counts: tuple[fleet.OutcomeCounts, ...]


class DrainSignal(NamedTuple):
    """Entry to control: a response says that the server is draining."""

    sender: identity.Incarnation
    server_id: str


CODEC = wire.Codec(
    messages=(ViewRefresh, ViewUpdate, EvidenceReport, DrainSignal)
)

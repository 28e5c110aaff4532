"""Changes of standings and weights, and their log events."""

from collections.abc import Mapping
import enum
import logging
from typing import NamedTuple

from citronshelf_common import events as common_events
from citronshelf_common import fleet

logger = logging.getLogger(__name__)

DetailValue = float | str


class Reason(enum.StrEnum):
    """Reason for a change of a standing or a weight."""

    LISTED = 'listed'
    LEAVING = 'leaving'
    UNREACHABLE = 'unreachable'
    ERRORS = 'errors'
    SLOW = 'slow'
    HOLD_ENDED = 'hold-ended'
    PROBES_GOOD = 'probes-good'
    GOOD_RESPONSES = 'good-responses'
    WARM = 'warm'
    FLOOR = 'floor'
    WORSE_SERVER = 'worse-server'


class StandingChange(NamedTuple):
    """Change of the standing or the weight of one server.

    Attributes
    ----------
    server_id, pool : str
    before, after : Standing
        Equal when only the weight changes.
    weight : float
        New weight.
    reason : Reason
    details : mapping of str to float or str
        Values behind the decision, logged as fields of its event.
    """

    server_id: str
    pool: str
    before: fleet.Standing
    after: fleet.Standing
    weight: float
    reason: Reason
    details: Mapping[str, DetailValue]


def log_change(event: common_events.Event, change: StandingChange) -> None:
    """Log a change with its details."""
    common_events.log_event(
        logger,
        event,
        server=change.server_id,
        pool=change.pool,
        before=str(change.before),
        after=str(change.after),
        weight=change.weight,
        reason=str(change.reason),
        **change.details,
    )

"""Decisions about servers and the log lines that explain them."""

from collections.abc import Mapping
import enum
import logging
from typing import NamedTuple

from citronshelf_common import events as common_events
from citronshelf_common import fleet

logger = logging.getLogger(__name__)

DetailValue = float | str


class Reason(enum.StrEnum):
    """Why a standing or a weight changes."""

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
    """One decision about one server.

    Attributes
    ----------
    server_id, pool : str
    before, after : Standing
        Equal when only the weight changes.
    weight : float
        New weight.
    reason : Reason
    figures : mapping of str to float or str
        What the decision rests on.
    """

    server_id: str
    pool: str
    before: fleet.Standing
    after: fleet.Standing
    weight: float
    reason: Reason
    details: Mapping[str, DetailValue]


def log_change(event: common_events.Event, change: StandingChange) -> None:
    """Write a decision with its figures."""
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

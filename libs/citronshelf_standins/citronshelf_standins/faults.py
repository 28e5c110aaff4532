"""Fault switches of the backend server stand-in."""

from typing import Annotated
from typing import Literal
from typing import TypedDict

import msgspec

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Truncation = Literal['none', 'short', 'chunk-cut', 'over-long', 'no-end']


class ServerFaults(TypedDict, total=False):
    """Switches; an absent one is off.

    Attributes
    ----------
    fail_share : float
        Fraction of real work answered 500 while health says ok.
    slow_factor : float
        Multiplies the service time.
    slow_share : float
        Fraction of the work that ``slow_factor`` touches; all when absent.
    truncate : str
        How answers are spoiled.
    late_ms : float
        Wait after the work, before the answer.
    die_after_execution : bool
        End the process after the next execution, before its answer.
    close_after_execution : bool
        Close the connection after each execution, without an answer.
    flap_period_s : float
        The other faults act in every second period only.
    health : str
        What the health endpoint says, whatever is true.
    load_busy : int
        What the load endpoint and ``X-Load`` say, whatever is true.
    shed : bool
        Refuse all work with the "not run" marker.
    """

    fail_share: Fraction
    slow_factor: NonNegative
    slow_share: Fraction
    truncate: Truncation
    late_ms: NonNegative
    die_after_execution: bool
    close_after_execution: bool
    flap_period_s: NonNegative
    health: str
    load_busy: int
    shed: bool


def active_faults(faults: ServerFaults, now_s: float) -> ServerFaults:
    """Return the faults that act now, flapping considered."""
    period_s = faults.get('flap_period_s', 0.0)
    if period_s and int(now_s / period_s) % 2 == 1:
        return {}
    return faults

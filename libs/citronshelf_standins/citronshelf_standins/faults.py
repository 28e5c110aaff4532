"""Faults that a test can inject at the backend server stand-in."""

from typing import Annotated
from typing import Literal
from typing import TypedDict

import msgspec

Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Truncation = Literal['none', 'short', 'chunk-cut', 'over-long', 'no-end']


class ServerFaults(TypedDict, total=False):
    """Faults to inject; an absent one is off.

    Attributes
    ----------
    fail_share : float
        Fraction of executed work that gets a 500 response; the reported
        health stays ok.
    slow_factor : float
        Factor applied to the service time.
    slow_share : float
        Fraction of the work that ``slow_factor`` applies to; all work when
        absent.
    truncate : str
        How responses are truncated or wrongly framed; see
        ``responses.malformed_response``.
    late_ms : float
        Delay in ms between the execution and the response.
    die_after_execution : bool
        Exit the process after the next execution, without a response.
    close_after_execution : bool
        Close the connection after each execution, without a response.
    flap_period_s : float
        Period in seconds; the other faults are active in every second period
        only. Not flapping when absent or 0.
    health : str
        Status that the health endpoint reports in place of the actual one.
    load_busy : int
        Busy slots that the load endpoint and ``X-Load`` report in place of
        the actual number.
    shed : bool
        Refuse all arriving work with 503 and ``X-Not-Run``; work that is
        already queued is still executed.
    retry_after_s : float
        Time that refusals announce in ``Retry-After``.
    announce_leaving : bool
        Announce in each response that the server is leaving, while its health
        stays ok.
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
    retry_after_s: NonNegative
    announce_leaving: bool


def active_faults(faults: ServerFaults, now_s: float) -> ServerFaults:
    """Return the faults active at ``now_s``; none in the off periods."""
    period_s = faults.get('flap_period_s', 0.0)
    if period_s and int(now_s / period_s) % 2 == 1:
        return {}
    return faults

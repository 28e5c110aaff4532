"""Delay of the event loop, as a sign of a saturated or stopped processor."""

import asyncio
import logging

from citronshelf_common import events as log_events
from citronshelf_instance import events

LOG = logging.getLogger(__name__)

INTERVAL_S = 0.5
# Longer delays are logged; connections to servers time out after such a one.
LOGGED_DELAY_S = 0.25


class LoopDelay:
    """Measures how late the event loop runs a timer.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    longest_s : float
        Longest delay since the last call of ``take_longest``.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            due_s = self.clock() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.record(self.clock() - due_s)

    def record(self, delay_s: float) -> None:
        """Record one delay; log it if it is long."""
        self.longest_s = max(self.longest_s, delay_s)
        if delay_s >= LOGGED_DELAY_S:
            log_events.log_event(
                LOG, events.LOOP_DELAYED, delay_s=round(delay_s, 3)
            )

    def take_longest(self) -> float:
        """Return the longest delay and start to measure anew."""
        longest_s, self.longest_s = self.longest_s, 0.0
        return longest_s

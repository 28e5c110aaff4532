"""Clock and sleep functions, which tests replace."""

import asyncio
import time
from typing import Protocol


class Timers(Protocol):
    """Clock and sleep functions of one process."""

    def clock(self) -> float:
        """Return monotonic time in seconds."""

    def wall_clock(self) -> float:
        """Return wall-clock seconds, roughly equal on all instances."""

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""

    async def wait(self, event: asyncio.Event, seconds: float) -> None:
        """Wait until the event is set or the time has passed."""


class SystemTimers:
    """Timers that use the clocks of the operating system."""

    def clock(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall_clock(self) -> float:
        """Return wall-clock seconds, roughly equal on all instances."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)

    async def wait(self, event: asyncio.Event, seconds: float) -> None:
        """Wait until the event is set or the time has passed."""
        try:
            async with asyncio.timeout(seconds):
                await event.wait()
        except TimeoutError:
            return

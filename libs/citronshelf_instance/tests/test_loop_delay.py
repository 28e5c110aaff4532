"""Tests of the delay of the event loop."""

import asyncio
import logging
import time

from citronshelf_instance import loop_delay


def measure(monkeypatch, blocked_s):
    """Return the measurement of a loop that is blocked for some time."""
    monkeypatch.setattr(loop_delay, 'INTERVAL_S', 0.02)

    async def run():
        delay = loop_delay.LoopDelay(clock=time.monotonic)
        task = asyncio.create_task(delay.run())
        await asyncio.sleep(0.01)
        time.sleep(blocked_s)
        await asyncio.sleep(0.05)
        task.cancel()
        return delay

    return asyncio.run(run())


class TestLoopDelay:
    """A blocked loop is measured and logged."""

    def test_long_delay_is_logged(self, monkeypatch, caplog):
        with caplog.at_level(logging.WARNING):
            delay = measure(monkeypatch, 0.4)
        names = [record.event_name for record in caplog.records]
        assert 'loop-delayed' in names
        assert delay.longest_s >= 0.3

    def test_longest_delay_is_taken_once(self, clock):
        delay = loop_delay.LoopDelay(clock=clock)
        for delay_s in (0.1, 0.2, 0.05):
            delay.record(delay_s)
        assert delay.take_longest() == 0.2
        assert delay.take_longest() == 0.0

"""Event loop whose clock advances to the next timer without waiting.

For measurements and tests that use the traffic classes in virtual time.
"""

import asyncio
import selectors


class SkippingSelector(selectors.SelectSelector):
    """Returns immediately and advances its clock by the timeout."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Poll for ready files and advance the clock.

        Blocks without a timeout, since only a file, a signal or another
        thread can then end the wait.
        """
        if timeout is None:
            return super().select(None)
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock that starts at 0 s."""

    def __init__(self):
        self.virtual = SkippingSelector()
        super().__init__(self.virtual)

    def time(self):
        """Return the virtual time in s."""
        return self.virtual.now

"""Bounded log output that never waits for its reader."""

import os
import time

# Lines that the reader has not taken yet.
MAX_BUFFERED_BYTES = 256 * 1024


class BoundedLogStream:
    """File-like object for a log handler.

    Lines over the rate, and lines that the reader of the descriptor does not
    take, are dropped and counted.

    Parameters
    ----------
    descriptor : int
        Set to non-blocking mode.
    lines_per_s : int
        Mean rate; a burst may be as large as the lines of two seconds.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self, *, descriptor: int, lines_per_s: int, clock=time.monotonic
    ):
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.lines_per_s = lines_per_s
        self.clock = clock
        self.tokens = 2.0 * lines_per_s
        self.refilled_s = clock()
        self.buffer = b''
        self.dropped = 0

    def write(self, text: str) -> None:
        """Write one line or drop it."""
        now = self.clock()
        self.tokens = min(
            2.0 * self.lines_per_s,
            self.tokens + (now - self.refilled_s) * self.lines_per_s,
        )
        self.refilled_s = now
        if self.tokens < 1 or len(self.buffer) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self.flush()
            return
        self.tokens -= 1
        self.buffer += text.encode('utf-8', 'replace')
        self.flush()

    def flush(self) -> None:
        """Give the reader what it takes without waiting."""
        while self.buffer:
            try:
                count = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more.
                self.dropped += 1
                self.buffer = b''
                return
            self.buffer = self.buffer[count:]

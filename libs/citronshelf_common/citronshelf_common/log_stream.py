"""Rate-limited, non-blocking log output with a bounded buffer."""

import os
import time

# Lines not yet written to the descriptor; further lines are dropped.
MAX_BUFFERED_BYTES = 256 * 1024


class BoundedLogStream:
    """File-like object for a log handler that never blocks.

    A token bucket limits the rate. Lines over the rate, lines that arrive
    while the buffer is full because the reader is too slow, and buffered lines
    that cannot be written, as after the reader has closed its end, are dropped
    and counted. All lines dropped from the buffer at once count as one.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to; set to non-blocking mode.
    lines_per_s : int
        Mean rate; bursts of up to twice this number of lines are allowed.
    clock : callable
        Returns monotonic time in seconds.
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
        """Write one line, or drop it if over the rate or buffer limit."""
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
        """Write as much of the buffer as possible without blocking.

        Drops the buffer if the descriptor cannot be written to.
        """
        while self.buffer:
            try:
                count = os.write(self.descriptor, self.buffer)
            except BlockingIOError:
                return
            except OSError:
                # The log cannot be written, for example because the reader
                # has closed its end or the disk is full.
                self.dropped += 1
                self.buffer = b''
                return
            self.buffer = self.buffer[count:]

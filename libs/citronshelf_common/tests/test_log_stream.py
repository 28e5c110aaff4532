"""Tests of the rate-limited, non-blocking log output."""

import os

from citronshelf_common import log_stream


class ManualClock:
    """A clock that advances only when a test sets it."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def make_stream(lines_per_s=10):
    reader, writer = os.pipe()
    clock = ManualClock()
    stream = log_stream.BoundedLogStream(
        descriptor=writer, lines_per_s=lines_per_s, clock=clock
    )
    return stream, reader, clock


class TestBounds:
    """Neither the log volume nor a slow reader blocks the process."""

    def test_lines_over_the_rate_are_dropped_and_counted(self):
        stream, reader, clock = make_stream()
        for _ in range(25):
            stream.write('x\n')
        assert os.read(reader, 1000) == b'x\n' * 20
        assert stream.dropped == 5
        clock.now = 0.5
        for _ in range(10):
            stream.write('y\n')
        assert os.read(reader, 1000) == b'y\n' * 5

    def test_write_does_not_wait_for_a_slow_reader(self):
        stream, reader, _ = make_stream(lines_per_s=1000)
        for _ in range(1000):
            stream.write('x' * 1000 + '\n')
        assert stream.dropped > 0
        assert len(stream.buffer) <= log_stream.MAX_BUFFERED_BYTES + 1001
        os.read(reader, 65536)
        stream.flush()
        assert os.read(reader, 10).startswith(b'x')

    def test_closed_reader_raises_no_error(self):
        stream, reader, _ = make_stream()
        os.close(reader)
        stream.write('x\n')
        assert stream.dropped == 1

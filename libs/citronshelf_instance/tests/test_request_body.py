"""Tests of the reader of request bodies, with a scripted stream."""

import asyncio
import tracemalloc

from citronshelf_entry import headers
from citronshelf_instance import configuration
from citronshelf_instance import request_body

LIMITS = configuration.CallerLimits()
CHUNKED = headers.Framing(None, True)


class ChunkStream:
    """Stream of equal chunks, which ends with silence.

    Attributes
    ----------
    silent : Event
        Set when all chunks have been read.
    """

    def __init__(self, *, chunk, count):
        self.chunk = chunk
        self.count = count
        self.is_data_read = True
        self.silent = asyncio.Event()

    async def read_until(self, delimiter, max_bytes):
        self.is_data_read = not self.is_data_read
        if self.is_data_read:
            return delimiter
        if not self.count:
            self.silent.set()
            await asyncio.sleep(LIMITS.idle_timeout_s)
        self.count -= 1
        return b'%x' % len(self.chunk) + delimiter

    async def read_bytes(self, count, partial):
        return bytes(bytearray(self.chunk))


class TestSmallChunks:
    """Small chunks of a body cost little more than their bytes."""

    CHUNKS = 10_000

    def start(self, chunk):
        """Start to read a body; return its stream, its count and the task."""
        stream = ChunkStream(chunk=chunk, count=self.CHUNKS)
        held = request_body.HeldBody(buffered=request_body.BufferedBytes())
        reader = request_body.BodyReader(
            stream=stream, held=held, limits=LIMITS
        )
        return stream, held, asyncio.create_task(reader.read(CHUNKED))

    # Guards against an object and a reference for each chunk, 44 bytes.
    def test_memory_is_proportional_to_bytes(self):
        async def run():
            tracemalloc.start()
            stream, held, reading = self.start(b'ab')
            await stream.silent.wait()
            traced_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            reading.cancel()
            return held.size, traced_bytes

        held_bytes, traced_bytes = asyncio.run(run())
        assert held_bytes == 2 * self.CHUNKS
        assert traced_bytes < 4 * held_bytes

    # Guards against a caller that stops the whole process while it sends.
    def test_other_tasks_get_turns(self):
        async def run():
            stream, held, reading = self.start(b'a')
            most_chunks = 0
            while not stream.silent.is_set():
                before = held.size
                await asyncio.sleep(0)
                most_chunks = max(most_chunks, held.size - before)
            reading.cancel()
            return most_chunks

        # A chunk has two lines.
        assert asyncio.run(run()) <= request_body.MAX_LINES_PER_TURN // 2


class TrailerStream:
    """Stream of an empty chunked body with many short trailers."""

    def __init__(self, *, count):
        self.lines = iter([b'0', *[b'a'] * count, b''])
        self.read_lines = 0

    async def read_until(self, delimiter, max_bytes):
        self.read_lines += 1
        return next(self.lines) + delimiter


class TestShortTrailers:
    """Trailers are read in turns like chunks."""

    # Guards against a caller that stops the whole process with its trailers.
    def test_other_tasks_get_turns(self):
        async def run():
            stream = TrailerStream(count=5000)
            reader = request_body.BodyReader(
                stream=stream,
                held=request_body.HeldBody(
                    buffered=request_body.BufferedBytes()
                ),
                limits=LIMITS,
            )
            reading = asyncio.create_task(reader.read(CHUNKED))
            most_lines = 0
            while not reading.done():
                before = stream.read_lines
                await asyncio.sleep(0)
                most_lines = max(most_lines, stream.read_lines - before)
            assert reading.result().is_ok()
            return most_lines

        assert asyncio.run(run()) <= request_body.MAX_LINES_PER_TURN

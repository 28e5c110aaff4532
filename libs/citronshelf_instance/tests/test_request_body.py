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

    # Guards against an object and a reference for each chunk, 44 bytes.
    def test_memory_is_proportional_to_bytes(self):
        async def run():
            stream = ChunkStream(chunk=b'ab', count=self.CHUNKS)
            held = request_body.HeldBody(buffered=request_body.BufferedBytes())
            reader = request_body.BodyReader(
                stream=stream, held=held, limits=LIMITS
            )
            tracemalloc.start()
            reading = asyncio.create_task(reader.read(CHUNKED))
            await stream.silent.wait()
            traced_bytes, _ = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            reading.cancel()
            return held.size, traced_bytes

        held_bytes, traced_bytes = asyncio.run(run())
        assert held_bytes == 2 * self.CHUNKS
        assert traced_bytes < 4 * held_bytes

"""Reader of request bodies with a length or in chunks."""

import asyncio
import re

from expression import Error
from expression import Ok
from expression import Result
from tornado import iostream

from citronshelf_entry import body_buffer
from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_instance import configuration

MAX_READ_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 256
# A trailer over the limit of all is read up to this multiple of it, so that
# the request is refused with a response; a longer one closes the connection.
MAX_READ_TRAILER_FACTOR = 4
# Lines of the framing that are read before other tasks get a turn. A chunk has
# two; each costs about 20 us.
MAX_LINES_PER_TURN = 32
CRLF = b'\r\n'
# A length with more digits exceeds every limit.
CHUNK_LENGTH = re.compile(rb'[0-9A-Fa-f]{1,16}')
# Limit on all bodies of requests that are being read or running: a fifth of
# the memory of the smallest instance.
MAX_BUFFERED_BYTES = 40 * 1024 * 1024


class BufferedBytes:
    """Total size of the bodies of requests that are being read or running."""

    def __init__(self):
        self.size = 0

    def is_within_limit(self) -> bool:
        """Return whether the bodies are within their common limit."""
        return self.size <= MAX_BUFFERED_BYTES


class HeldBody:
    """Bytes of one body that count until its request has ended.

    Parameters
    ----------
    buffered : BufferedBytes
        Shared by all connections.
    """

    def __init__(self, *, buffered: BufferedBytes):
        self.buffered = buffered
        self.size = 0

    def add(self, count: int) -> None:
        """Count bytes of the body."""
        self.size += count
        self.buffered.size += count

    def release(self) -> None:
        """Stop counting the bytes of the body."""
        self.buffered.size -= self.size
        self.size = 0


class BodyReader:
    """Reads the body of one request.

    Parameters
    ----------
    stream : IOStream
    held : HeldBody
        Counts the bytes that are read.
    limits : CallerLimits
    """

    def __init__(
        self,
        *,
        stream: iostream.IOStream,
        held: HeldBody,
        limits: configuration.CallerLimits,
    ):
        self.stream = stream
        self.held = held
        self.limits = limits
        self.buffer = body_buffer.BodyBuffer()
        self.lines = 0

    async def read(self, framing: headers.Framing) -> Result:
        """Return ``Ok`` with the body or ``Error`` with a refusal."""
        if framing.chunked:
            refusal = await self.read_chunks()
        else:
            refusal = await self.read_exactly(framing.length or 0)
        if refusal is not None:
            return Error(refusal)
        return Ok(self.buffer.take())

    async def read_exactly(
        self, count: int
    ) -> request_head.RequestRefusal | None:
        """Read ``count`` bytes; return a refusal if a limit is exceeded."""
        if self.held.size + count > self.limits.max_body_bytes:
            return body_too_large(self.limits)
        remaining_bytes = count
        while remaining_bytes:
            async with asyncio.timeout(self.limits.idle_timeout_s):
                part = await self.stream.read_bytes(
                    min(remaining_bytes, MAX_READ_BYTES), partial=True
                )
            self.buffer.append(part)
            self.held.add(len(part))
            remaining_bytes -= len(part)
            if not self.held.buffered.is_within_limit():
                return request_head.RequestRefusal(503, 'too many bodies')
        return None

    async def read_chunks(self) -> request_head.RequestRefusal | None:
        """Read a chunked body; discard its trailers.

        Returns a refusal if it is malformed or exceeds a limit.
        """
        while True:
            length = chunk_length(await self.read_line())
            if length is None:
                return request_head.RequestRefusal(400, 'malformed chunk')
            if not length:
                break
            refusal = await self.read_exactly(length)
            if refusal is not None:
                return refusal
            if await self.read_line():
                return request_head.RequestRefusal(400, 'malformed chunk')
        return await self.skip_trailers()

    async def skip_trailers(self) -> request_head.RequestRefusal | None:
        """Read trailers up to the empty line; refuse more than a head has."""
        limit_bytes = self.limits.max_head_bytes
        size = 0
        while size <= limit_bytes:
            line = await self.read_line(
                max_bytes=MAX_READ_TRAILER_FACTOR * limit_bytes
            )
            if not line:
                return None
            size += len(line) + len(CRLF)
        text = f'trailers over {limit_bytes} bytes'
        return request_head.RequestRefusal(431, text)

    async def read_line(
        self, *, max_bytes: int = MAX_CHUNK_LINE_BYTES
    ) -> bytes:
        """Read one line of the chunked framing, without its CRLF.

        Reads of bytes that have arrived do not suspend this task, so it
        yields by itself.
        """
        self.lines += 1
        if self.lines % MAX_LINES_PER_TURN == 0:
            await asyncio.sleep(0)
        async with asyncio.timeout(self.limits.idle_timeout_s):
            line = await self.stream.read_until(CRLF, max_bytes=max_bytes)
        return line[: -len(CRLF)]


def chunk_length(line: bytes) -> int | None:
    """Return the length of a chunk, None if the line is malformed."""
    digits = line.partition(b';')[0].strip()
    return int(digits, 16) if CHUNK_LENGTH.fullmatch(digits) else None


def body_too_large(
    limits: configuration.CallerLimits,
) -> request_head.RequestRefusal:
    """Return the refusal of a body over the size limit."""
    text = f'body over {limits.max_body_bytes} bytes'
    return request_head.RequestRefusal(413, text)

"""Byte streams without an end, as a faulty backend server sends them."""

import asyncio
import random
from typing import NamedTuple

BLOCK_BYTES = 16 * 1024
# The sender waits while this many bytes are not accepted by the socket, so
# that the memory of the test does not grow.
MAX_QUEUED_BYTES = 64 * 1024


class Stream(NamedTuple):
    """First bytes, and bytes that are repeated without an end.

    Attributes
    ----------
    start : bytes
        ``SEAL`` in it stands for the headers of a valid response.
    repeated : bytes
    """

    start: bytes
    repeated: bytes


STATUS = b'HTTP/1.1 200 OK\r\n'
SEALED = STATUS + b'SEAL\r\n'
CHUNKED = SEALED + b'Transfer-Encoding: chunked\r\n\r\n'
LARGE_CHUNK = b'4000\r\n' + b'a' * BLOCK_BYTES + b'\r\n'
RANDOM_BYTES = random.Random(1).randbytes(BLOCK_BYTES)

# Has an end, but not within the limits of the tests.
DECLARED_LENGTH = Stream(
    SEALED + b'Content-Length: %d\r\n\r\n' % 10**7, b'a' * BLOCK_BYTES
)

# No valid response can come of these, which shows before the deadline.
INVALID = {
    'status line': Stream(b'HTTP/1.1 200 ', b'a' * BLOCK_BYTES),
    'header line': Stream(SEALED + b'X-Pad: ', b'a' * BLOCK_BYTES),
    'header lines': Stream(SEALED, b'X-Pad: a\r\n' * 1500),
    'interim responses': Stream(b'', b'HTTP/1.1 103 Early\r\n\r\n' * 700),
    'interim headers': Stream(
        b'', b'HTTP/1.1 103 Early\r\nLink: a\r\n\r\n' * 500
    ),
    'not HTTP': Stream(b'', bytes(range(256)) * 64),
    'empty lines': Stream(b'', b'\r\n' * 8192),
    'zero bytes': Stream(b'', bytes(BLOCK_BYTES)),
    'random bytes': Stream(b'', RANDOM_BYTES),
    'head of random bytes': Stream(STATUS, RANDOM_BYTES),
    'folded header line': Stream(SEALED + b'X-Pad: a\r\n', b' a\r\n' * 4000),
    'lines without a colon': Stream(SEALED, b'aaaaaaaa\r\n' * 1600),
    'continue responses': Stream(b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 600),
    'upgrade': Stream(
        b'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n'
        b'Upgrade: a\r\n\r\n',
        b'a' * BLOCK_BYTES,
    ),
    'huge length': Stream(
        SEALED + b'Content-Length: %d\r\n\r\n' % 10**12, b'a' * BLOCK_BYTES
    ),
    'length of 30 digits': Stream(
        SEALED + b'Content-Length: %d\r\n\r\n' % 10**29, b'a' * BLOCK_BYTES
    ),
    'huge chunk': Stream(CHUNKED + b'ffffffffff\r\n', b'a' * BLOCK_BYTES),
    'zeros of a chunk size': Stream(CHUNKED + b'5', b'0' * BLOCK_BYTES),
    'random chunks': Stream(CHUNKED, RANDOM_BYTES),
    'chunks of 100 bytes': Stream(
        CHUNKED, (b'64\r\n' + b'a' * 100 + b'\r\n') * 150
    ),
    'large chunks': Stream(CHUNKED, LARGE_CHUNK),
    'tiny chunks': Stream(CHUNKED, b'1\r\na\r\n' * 2700),
    'small chunks': Stream(CHUNKED, b'8\r\naaaaaaaa\r\n' * 1200),
    'until close': Stream(SEALED + b'\r\n', b'a' * BLOCK_BYTES),
    'chunk extension': Stream(CHUNKED + b'5;', b'a' * BLOCK_BYTES),
    'chunk extensions': Stream(
        CHUNKED, (b'1;' + b'a' * 1000 + b'\r\na\r\n') * 16
    ),
    'spaces after a chunk size': Stream(CHUNKED + b'5', b' ' * BLOCK_BYTES),
    'digits of a chunk size': Stream(CHUNKED, b'0' * BLOCK_BYTES),
    'trailer lines': Stream(CHUNKED + b'0\r\n', b'X-Pad: a\r\n' * 1500),
    'trailer line': Stream(CHUNKED + b'0\r\nX-Pad: ', b'a' * BLOCK_BYTES),
}
# These begin with a complete response.
SURPLUS = {
    'after a length': Stream(
        SEALED + b'Content-Length: 2\r\n\r\nok', b'a' * BLOCK_BYTES
    ),
    'after chunks': Stream(
        CHUNKED + b'2\r\nok\r\n0\r\n\r\n', b'a' * BLOCK_BYTES
    ),
    'responses': Stream(
        SEALED + b'Content-Length: 2\r\n\r\nok',
        STATUS + b'Content-Length: 2\r\n\r\nno',
    ),
}
# Complete responses without a body.
BODILESS = {
    'no content': Stream(
        b'HTTP/1.1 204 None\r\nSEAL\r\n\r\n', b'a' * BLOCK_BYTES
    ),
    'no content in chunks': Stream(
        b'HTTP/1.1 204 None\r\nSEAL\r\nTransfer-Encoding: chunked\r\n\r\n',
        LARGE_CHUNK,
    ),
    'not modified': Stream(
        b'HTTP/1.1 304 None\r\nSEAL\r\nContent-Length: 9\r\n\r\n',
        b'a' * BLOCK_BYTES,
    ),
}


async def send(writer, stream, seal, pause_s=0.0):
    """Send a stream until the receiver closes; return the time of the close.

    Parameters
    ----------
    writer : StreamWriter
    stream : Stream
    seal : bytes
        Header lines of a valid response, without the last line break.
    pause_s : float
        Time between repetitions.

    Returns
    -------
    float
        Time of the event loop.
    """
    writer.transport.set_write_buffer_limits(MAX_QUEUED_BYTES)
    try:
        writer.write(stream.start.replace(b'SEAL', seal))
        while not writer.is_closing():
            await writer.drain()
            await asyncio.sleep(pause_s)
            writer.write(stream.repeated)
    except ConnectionError:
        pass
    return asyncio.get_running_loop().time()

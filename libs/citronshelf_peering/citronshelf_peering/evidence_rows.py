"""Encodes rows of outcome counts for messages between instances."""

from typing import Annotated
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from citronshelf_common import fleet

MAX_ROWS = 1024
MAX_PLAIN_BYTES = 256 * 1024

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Text = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
Row = tuple[Text, Text, Count, Count, Count, Count, Count]
DECODER = msgspec.msgpack.Decoder(
    Annotated[list[Row], msgspec.Meta(max_length=MAX_ROWS)]
)
ENCODER = msgspec.msgpack.Encoder()


def pack_rows(rows: list[fleet.OutcomeCounts]) -> bytes:
    """Encode and compress at most ``MAX_ROWS`` rows.

    Names repeat from row to row, so the fastest compression level at least
    halves the size.
    """
    return zlib.compress(ENCODER.encode(rows), 1)


def unpack_rows(data: bytes) -> Result:
    """Decompress and decode the untrusted rows of a message.

    At most ``MAX_PLAIN_BYTES`` are decompressed.

    Returns
    -------
    Result
        ``Ok`` with a list of ``OutcomeCounts`` or ``Error`` with the reason.
    """
    stream = zlib.decompressobj()
    try:
        plain = stream.decompress(data, MAX_PLAIN_BYTES)
        rows = DECODER.decode(plain)
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(str(error))
    return Ok([fleet.OutcomeCounts(*row) for row in rows])

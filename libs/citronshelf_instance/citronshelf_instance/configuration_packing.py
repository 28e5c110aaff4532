"""Compressed configurations, and differences between two versions."""

from collections.abc import Sequence
import hashlib
from typing import Annotated
from typing import Generic
from typing import NamedTuple
from typing import TypeVar
import zlib

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from citronshelf_instance import configuration

# The platform allows configurations of 1 MB; the encoded form is smaller.
MAX_UNPACKED_BYTES = 8 * 1024 * 1024
DIGEST_BYTES = 8
# Level 1 takes a third of the time of the default level, and configurations
# repeat themselves enough to shrink to a tenth.
COMPRESSION_LEVEL = 1

ItemT = TypeVar('ItemT')
Index = Annotated[int, msgspec.Meta(ge=0, le=2**31)]


class Piece(NamedTuple, Generic[ItemT]):
    """Items that are repeated from the version before, then new ones.

    Attributes
    ----------
    start : int
        Index of the first repeated item.
    count : int
    added : tuple
    """

    start: Index
    count: Index
    added: tuple[ItemT, ...]


class Difference(NamedTuple):
    """A configuration, as far as it differs from the version before.

    Attributes
    ----------
    version : int
    routes : tuple of Piece
    services : tuple of str
    limits : CallerLimits
    accounts : tuple of Piece
    """

    version: int
    routes: tuple[Piece[configuration.Route], ...]
    services: tuple[str, ...]
    limits: configuration.CallerLimits
    accounts: tuple[Piece[configuration.Account], ...]


def pack(published: configuration.Configuration) -> bytes:
    """Return a compressed configuration."""
    encoded = msgspec.msgpack.encode(published)
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def unpack(data: bytes) -> Result:
    """Return ``Ok`` with a ``Configuration`` or ``Error`` with the reason."""
    return unpack_as(data, configuration.Configuration)


def pack_difference(
    base: configuration.Configuration, published: configuration.Configuration
) -> bytes:
    """Return the compressed difference of a configuration from another."""
    difference = Difference(
        published.version,
        compare(base.routes, published.routes),
        published.services,
        published.limits,
        compare(base.accounts, published.accounts),
    )
    encoded = msgspec.msgpack.encode(difference)
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def unpack_difference(
    base: configuration.Configuration, revision: int, data: bytes
) -> Result:
    """Return ``Ok`` with a ``Configuration`` or ``Error`` with the reason."""
    unpacked = unpack_as(data, Difference)
    if unpacked.is_error():
        return unpacked
    difference = unpacked.ok
    return Ok(
        configuration.Configuration(
            revision,
            difference.version,
            restore(base.routes, difference.routes),
            difference.services,
            difference.limits,
            restore(base.accounts, difference.accounts),
        )
    )


def unpack_as(data: bytes, body_type: type) -> Result:
    """Decompress and decode untrusted data of at most a limited size."""
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_UNPACKED_BYTES)
        if not decompressor.eof:
            return Error('too large or cut')
        return Ok(msgspec.msgpack.decode(encoded, type=body_type))
    except (zlib.error, msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(str(error))


def compare(base: Sequence, items: Sequence) -> tuple[Piece, ...]:
    """Return the pieces of a sequence, in time linear in its length."""
    positions = {item: index for index, item in enumerate(base)}
    pieces: list[tuple[int, int, list]] = []
    for item in items:
        start, count, added = pieces[-1] if pieces else (0, 0, [])
        position = positions.get(item)
        if position is None:
            if not pieces:
                pieces.append((0, 0, added))
            added.append(item)
        elif pieces and not added and position == start + count:
            pieces[-1] = (start, count + 1, added)
        else:
            pieces.append((position, 1, []))
    return tuple(
        Piece(start, count, tuple(added)) for start, count, added in pieces
    )


def restore(base: Sequence, pieces: Sequence[Piece]) -> tuple:
    """Return the sequence that ``compare`` was given.

    Pieces that reach beyond the base give a shorter sequence, which the
    digest of the configuration shows. Pieces that repeat much are cut off.
    """
    items: list = []
    for piece in pieces:
        items += base[piece.start : piece.start + piece.count]
        items += piece.added
        if len(items) > MAX_UNPACKED_BYTES // 16:
            break
    return tuple(items)


def digest(published: configuration.Configuration) -> bytes:
    """Return a checksum by which equal configurations are told."""
    encoded = msgspec.msgpack.encode(published)
    return hashlib.sha256(encoded).digest()[:DIGEST_BYTES]

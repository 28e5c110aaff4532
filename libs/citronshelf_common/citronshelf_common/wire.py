"""Codec for messages between the processes of the system."""

from collections.abc import Iterable

from expression import Error
from expression import Ok
from expression import Result
import msgspec

MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class Codec:
    """Encodes NamedTuples as a type byte followed by msgpack.

    Parameters
    ----------
    messages : iterable of type
        NamedTuple types. The position of a type is its type byte on the
        wire, so new types may only be appended.
    """

    def __init__(self, *, messages: Iterable[type]):
        self.types = tuple(messages)
        self.kinds = {
            message_type: bytes([kind])
            for kind, message_type in enumerate(self.types)
        }
        self.decoders = [msgspec.msgpack.Decoder(t) for t in self.types]
        self.encoder = msgspec.msgpack.Encoder()

    def encode(self, message) -> bytes:
        """Return the encoded bytes of a message."""
        return self.kinds[type(message)] + self.encoder.encode(message)

    def decode(self, data: bytes) -> Result:
        """Return ``Ok`` with the message, or ``Error`` with the reason.

        Parameters
        ----------
        data : bytes
            Untrusted input of any length.
        """
        if not data or len(data) > MAX_MESSAGE_BYTES:
            return Error(f'message of {len(data)} bytes')
        kind = data[0]
        if kind >= len(self.decoders):
            return Error(f'unknown message kind {kind}')
        try:
            return Ok(self.decoders[kind].decode(memoryview(data)[1:]))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Error(str(error))

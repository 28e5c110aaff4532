"""Idempotency keys: what they say and their signature."""

import base64
import binascii
import hashlib
import hmac
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec

from citronshelf_common import fleet
from citronshelf_common import identity

PREFIX = 'ck1.'
MAC_BYTES = hashlib.sha256().digest_size
MAX_TEXT_CHARS = 512


class Key(NamedTuple):
    """What a key says.

    Attributes
    ----------
    owner : Incarnation
        The only process life that may ever dispatch it.
    forward : Address
        Where that process takes requests of other instances.
    serial : int
        Unique in the life of the owner.
    issued_ms : int
        Wall clock of the owner; informational.
    """

    owner: identity.Incarnation
    forward: fleet.Address
    serial: int
    issued_ms: int


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Key)


class KeySigner:
    """Writes keys and reads back only those that the fleet issued.

    Parameters
    ----------
    secret : bytes
        Secret of the environment, at least 32 bytes.
    """

    def __init__(self, *, secret: bytes):
        self.secret = secret

    def mac(self, payload: bytes) -> bytes:
        """Return the signature of a payload."""
        return hmac.digest(self.secret, payload, 'sha256')

    def write(self, key: Key) -> str:
        """Return the text of a key."""
        payload = ENCODER.encode(key)
        signed = self.mac(payload) + payload
        return PREFIX + base64.urlsafe_b64encode(signed).decode().rstrip('=')

    def read(self, text: str) -> Result:
        """Return the ``Key`` of a text, or an ``Error`` with the reason."""
        if len(text) > MAX_TEXT_CHARS or not text.startswith(PREFIX):
            return Error('not a key of this fleet')
        encoded = text.removeprefix(PREFIX)
        try:
            signed = base64.b64decode(
                encoded + '=' * (-len(encoded) % 4), b'-_', validate=True
            )
        except (binascii.Error, ValueError):
            return Error('malformed key')
        payload = signed[MAC_BYTES:]
        if not hmac.compare_digest(self.mac(payload), signed[:MAC_BYTES]):
            return Error('not a key of this fleet')
        try:
            return Ok(DECODER.decode(payload))
        except msgspec.DecodeError:
            return Error('malformed key')

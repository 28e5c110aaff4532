"""Encoding and signature of idempotency keys."""

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
    """Content of an idempotency key.

    Attributes
    ----------
    owner : Incarnation
        The incarnation that issued the key; only it may dispatch the request
        with this key.
    forward : Address
        Where the owner accepts requests from other instances.
    serial : int
        Unique within the incarnation of the owner.
    issued_ms : int
        Wall-clock time of the owner in ms; informational.
    """

    owner: identity.Incarnation
    forward: fleet.Address
    serial: int
    issued_ms: int


ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Key)


class KeySigner:
    """Encodes keys, and decodes only keys that the fleet signed.

    Parameters
    ----------
    secret : bytes
        Secret shared by all instances of a fleet, at least 32 bytes.
    """

    def __init__(self, *, secret: bytes):
        self.secret = secret

    def mac(self, payload: bytes) -> bytes:
        """Return the HMAC-SHA256 of a payload."""
        return hmac.digest(self.secret, payload, 'sha256')

    def write(self, key: Key) -> str:
        """Encode and sign a key."""
        payload = ENCODER.encode(key)
        signed = self.mac(payload) + payload
        return PREFIX + base64.urlsafe_b64encode(signed).decode().rstrip('=')

    def read(self, text: str) -> Result:
        """Return ``Ok`` with the ``Key``, or ``Error`` with the reason.

        Parameters
        ----------
        text : str
            Untrusted input of any length.
        """
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

"""Look-up of client accounts by the keys of their callers."""

from collections.abc import Iterable
import hashlib

from citronshelf_instance import configuration


class AccountTable:
    """Accounts of one configuration, indexed by the digests of their keys.

    A look-up hashes the key and reads one dictionary entry. Its time depends
    on the length of the key that the caller sent, not on the number of keys
    nor on how many characters of a wrong key are right.

    Parameters
    ----------
    accounts : iterable of Account
        No key belongs to two of them.
    """

    def __init__(self, *, accounts: Iterable[configuration.Account]):
        self.by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }

    def find(self, key: str) -> configuration.Account | None:
        """Return the account of a key in printable ASCII, or None."""
        return self.by_digest.get(digest_of(key))


def digest_of(key: str) -> bytes:
    """Return the SHA-256 digest of a key in printable ASCII."""
    return hashlib.sha256(key.encode('ascii')).digest()

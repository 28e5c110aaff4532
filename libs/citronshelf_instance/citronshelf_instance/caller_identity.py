"""Identity of the caller of a request."""

from typing import NamedTuple


class Caller(NamedTuple):
    """The client account in whose name a request is made.

    Attributes
    ----------
    account : str or None
        Name of the account; None for an anonymous caller.
    priority : int or None
        Priority of the account, which takes precedence over that of the
        route; None if it has none.
    """

    account: str | None = None
    priority: int | None = None


ANONYMOUS = Caller()

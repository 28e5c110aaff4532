"""Outcomes of one request, as data classes for ``match``."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """The backend server's whole answer.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
        End-to-end headers in the server's order.
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """No backend server ran any of the work."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The work may have run; its answer is lost."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broken:
    """The answer ended early after its head was passed to the caller."""

    reason: str


Outcome = Response | NotRun | Unknown | Broken

"""Possible outcomes of a request, as classes for ``match``."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """The complete response of a backend server.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
        End-to-end headers in the order sent by the server.
    body : bytes
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@dataclasses.dataclass(frozen=True, kw_only=True)
class NotRun:
    """No backend server executed any part of the request.

    Attributes
    ----------
    reason : str
    retry_after_s : float or None
        Seconds after which a server may accept it; None if unknown.
    """

    reason: str
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Unknown:
    """The request may have been executed, but its response was lost."""

    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Broken:
    """The response broke off after its head was sent to the caller."""

    reason: str


Outcome = Response | NotRun | Unknown | Broken

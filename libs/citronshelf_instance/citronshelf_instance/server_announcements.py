"""What backend servers announce about themselves in their responses."""

import dataclasses
import re

from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_instance import caller_request

LEAVING_VALUE = '1'
RETRY_AFTER = 'retry-after'
# Longer values are no number of seconds that a server would send.
SECONDS_PATTERN = re.compile(r'[0-9]{1,15}(\.[0-9]{0,15})?|\.[0-9]{1,15}')
UNAVAILABLE_STATUS = 503


@dataclasses.dataclass(frozen=True, kw_only=True)
class Leaving:
    """The server wants no new work from now on."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class RetryLater:
    """The server wants no request of this instance for some time."""

    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class InvalidRetryAfter:
    """The server sent a time that is no number of seconds from 0 up."""

    text: str


Announcement = Leaving | RetryLater | InvalidRetryAfter


def read_announcements(
    head: exchange.ResponseHead,
    names: caller_request.HeaderNames,
    request_id: str,
) -> list[Announcement]:
    """Return what a response announces about the server of its request.

    Empty unless the response is proved to be that server's: another one at
    its address rejects the request with status 421, and neither signs nor
    refuses it under its id.
    """
    if not is_proved(head, names, request_id):
        return []
    found: list[Announcement] = []
    leaving = headers.first_of(head.headers, names.leaving.lower())
    if leaving == LEAVING_VALUE:
        found.append(Leaving())
    text = headers.first_of(head.headers, RETRY_AFTER)
    if head.status == UNAVAILABLE_STATUS and text:
        found.append(parse_retry_after(text))
    return found


def is_proved(
    head: exchange.ResponseHead,
    names: caller_request.HeaderNames,
    request_id: str,
) -> bool:
    """Return whether the expected server gave a response to a request."""
    if head.status == caller_request.MISDIRECTED_STATUS:
        return False
    echoed = headers.first_of(head.headers, names.request_id.lower())
    if echoed != request_id:
        return False
    return any(
        headers.first_of(head.headers, name.lower())
        for name in (names.signature, names.not_run)
    )


def parse_retry_after(text: str) -> RetryLater | InvalidRetryAfter:
    """Parse a number of seconds, which may have a fraction."""
    if not SECONDS_PATTERN.fullmatch(text):
        return InvalidRetryAfter(text=text)
    return RetryLater(seconds=float(text))

"""Reads and watches values of the platform's configuration service."""

import logging
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
from tornado import httpclient
from tornado import httputil
from tornado import simple_httpclient

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_control import events

LOG = logging.getLogger(__name__)

MAX_VALUE_BYTES = 1024 * 1024
WATCH_MS = 10_000
# Connect timeout, also added to the wait of a read. The platform responds to a
# watch within its wait; the rest allows for a busy platform.
RESPONSE_TIMEOUT_S = 5.0
MAX_REVISION = 2**62


class PlatformValue(NamedTuple):
    """A value, or the fact that it has not changed.

    Attributes
    ----------
    revision : int
        Revision at the platform; 0 if the response does not state it.
    body : bytes or None
        None if the platform has no revision above the requested one.
    """

    revision: int
    body: bytes | None


class PlatformClient:
    """Client of the platform's configuration service.

    Parameters
    ----------
    address : Address
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, address: fleet.Address, clock):
        self.address = address
        self.clock = clock
        self.client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=8,
            max_body_size=MAX_VALUE_BYTES,
            max_buffer_size=2 * MAX_VALUE_BYTES,
        )
        self.reachable = False
        self.last_response_at: float | None = None
        self.reads = 0

    async def read(self, name: str, *, after: int, wait_ms: int) -> Result:
        """Read a value, or watch it if ``after`` is not 0.

        Parameters
        ----------
        name : str
        after : int
            Only a higher revision is returned; 0 for any revision.
        wait_ms : int
            How long the platform may wait for a higher revision, in ms.

        Returns
        -------
        Result
            ``Ok`` with a ``PlatformValue`` or ``Error`` with the reason.
        """
        url = f'http://{self.address.authority()}/v1/values/{name}'
        if after:
            url = f'{url}?after={after}&wait_ms={wait_ms}'
        request = httpclient.HTTPRequest(
            url,
            connect_timeout=RESPONSE_TIMEOUT_S,
            request_timeout=wait_ms / 1000 + RESPONSE_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
        )
        self.reads += 1
        try:
            response = await self.client.fetch(request, raise_error=False)
        except Exception as error:  # the client raises many unrelated types
            return self.record_failure(name, repr(error))
        return self.parse_response(name, response)

    def parse_response(self, name: str, response) -> Result:
        """Convert a response to a result; record success or failure.

        Status 304 means that there is no revision above the requested one.
        Any status but 200 and 304 is an error, and so is an invalid revision
        with status 200.
        """
        if response.code == 304:
            self.record_success(name)
            revision = parse_revision(response.headers).default_value(0)
            return Ok(PlatformValue(revision, None))
        if response.code != 200:
            return self.record_failure(name, f'status {response.code}')
        revision = parse_revision(response.headers)
        if revision.is_error():
            return self.record_failure(name, revision.error)
        self.record_success(name)
        return Ok(PlatformValue(revision.ok, response.body))

    def record_success(self, name: str) -> None:
        """Record a valid response; log it if the platform was unreachable."""
        if not self.reachable:
            common_events.log_event(
                LOG, events.PLATFORM_RESPONDING, value=name
            )
        self.reachable = True
        self.last_response_at = self.clock()

    def record_failure(self, name: str, reason: str) -> Result:
        """Record a failed read; log only the first of consecutive ones.

        Before the first valid response, ``last_response_at`` is -1.0 once a
        failure was logged.

        Returns
        -------
        Result
            ``Error`` with the reason.
        """
        if self.reachable or self.last_response_at is None:
            common_events.log_event(
                LOG, events.PLATFORM_UNRESPONSIVE, value=name, reason=reason
            )
            self.last_response_at = self.last_response_at or -1.0
        self.reachable = False
        return Error(reason)

    def last_response_age_s(self) -> float | None:
        """Return the time in s since the last valid response.

        None before the first one.
        """
        if self.last_response_at is None or self.last_response_at < 0:
            return None
        return round(self.clock() - self.last_response_at, 3)

    def close(self) -> None:
        """Close the HTTP client."""
        self.client.close()


def parse_revision(headers: httputil.HTTPHeaders) -> Result:
    """Parse the header ``Revision``; ``Error`` if missing or invalid."""
    text = headers.get('Revision', '')
    if not text.isascii() or not text.isdigit() or len(text) > 19:
        return Error(f'header Revision is not a number: {text[:40]!r}')
    revision = int(text)
    if not 1 <= revision <= MAX_REVISION:
        return Error(f'revision {revision} is out of range')
    return Ok(revision)

"""HTTP client for read-only requests to the admin addresses."""

from collections.abc import Collection
from collections.abc import Mapping
import re
from urllib import parse

from expression import Error
from expression import Ok
from expression import Result
import msgspec
from tornado import httpclient
from tornado import simple_httpclient

from citronshelf_common import settings

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Limits the open connections of one command, whatever the fleet's size.
MAX_CONNECTIONS = 64
CONNECTION_FAILURE_STATUS = 599
ADDRESS_REGEX = re.compile(settings.ADDRESS_PATTERN)


def find_address_fault(text: str) -> str | None:
    """Return why a text is not a numeric ``ip:port``, or None."""
    if not ADDRESS_REGEX.fullmatch(text):
        return f'{text!r} is not a numeric ip:port'
    if settings.parse_address(text).port > 65535:
        return f'{text!r} has a port above 65535'
    return None


class AdminClient:
    """Sends GET requests to admin addresses.

    Must be created while an event loop is running.
    """

    def __init__(self):
        self.http_client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_RESPONSE_BYTES,
        )

    async def fetch_json(
        self,
        address: str,
        path: str,
        response_type: type,
        *,
        query: Mapping[str, str] | None = None,
        accepted_statuses: Collection[int] = (200,),
    ) -> Result:
        """Fetch a page from one address and decode its JSON body.

        Parameters
        ----------
        address : str
            ``ip:port``.
        path : str
        response_type : type
            Type that the JSON body must match; unknown fields are ignored.
        query : mapping of str to str, optional
        accepted_statuses : collection of int
            HTTP statuses whose body is decoded; others are errors.

        Returns
        -------
        Result
            ``Ok`` with the decoded body, or ``Error`` with the reason.
        """
        body = await self.fetch(
            address, path, query=query, accepted_statuses=accepted_statuses
        )
        return body.bind(lambda data: decode_response(data, response_type))

    async def fetch_text(self, address: str, path: str) -> Result:
        """Fetch a page of text; return it, or ``Error`` with the reason."""
        body = await self.fetch(address, path)
        return body.map(lambda data: data.decode('utf-8', 'replace'))

    async def fetch(
        self,
        address: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        accepted_statuses: Collection[int] = (200,),
    ) -> Result:
        """Fetch the body of a page; the parameters are as above."""
        fault = find_address_fault(address)
        if fault is not None:
            return Error(fault)
        url = f'http://{address}{path}'
        if query:
            url = f'{url}?{parse.urlencode(query)}'
        request = httpclient.HTTPRequest(
            url,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=REQUEST_TIMEOUT_S,
            follow_redirects=False,
        )
        try:
            response = await self.http_client.fetch(request, raise_error=False)
        except (httpclient.HTTPClientError, OSError, ValueError) as error:
            return Error(str(error) or type(error).__name__)
        if response.code not in accepted_statuses:
            return Error(describe_failure(response))
        return Ok(response.body)

    def close(self) -> None:
        """Close all connections to the admin addresses."""
        self.http_client.close()


def describe_failure(response: httpclient.HTTPResponse) -> str:
    """Return why a request failed or its status was not accepted."""
    # Tornado reports every connection failure as status 599.
    if (
        response.code == CONNECTION_FAILURE_STATUS
        and response.error is not None
    ):
        return str(response.error)
    return f'status {response.code}: {response.reason}'


def decode_response(body: bytes, response_type: type) -> Result:
    """Decode a JSON body; return an ``Error`` with the reason if invalid."""
    try:
        return Ok(msgspec.json.decode(body, type=response_type))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(f'cannot decode response: {error}')
    except RecursionError:
        return Error('cannot decode response: nested too deeply')

"""HTTP client for backend servers, based on tornado's curl client."""

import asyncio
from collections.abc import Callable
import fcntl
import functools
import sys
import termios
from typing import NamedTuple

import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from citronshelf_common import fleet
from citronshelf_entry import classify
from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_entry import response_memory

CONNECT_TIMEOUT_S = 1.0
# Each handle uses about 10 KB. The client rejects work beyond this number
# itself: tornado would queue it and end it with a 599, which does not show
# that nothing was sent.
MAX_EXCHANGES = 512
MAX_IDLE_CONNECTIONS = 256
IDLE_CONNECTION_S = 20
CANCEL_TIMEOUT_S = 1.0
MAX_CANCELS = 64
# Limit on a fetched resource: room for two dozen of the store's largest items.
MAX_FETCHED_BYTES = 32 * 1024 * 1024
# A fetch that makes progress ends this long after its timeout: a body of 1 MB
# in Base64 takes 2.2 s on a link of 5 Mbit/s that carries nothing else.
MAX_TRANSFER_S = 12.0
# Limit on the response of a server to a cancellation, which is not used, or to
# a health check.
MAX_SERVER_STATUS_BYTES = 64 * 1024

CLIENT_FULL = classify.Failure(
    classify.ExecutionStatus.NOT_RUN,
    classify.FailureSignal.NONE,
    'too-many-exchanges',
)


class UpstreamRequest(NamedTuple):
    """A request to be sent to one backend server.

    Attributes
    ----------
    request_id : str
    address : Address
    method : str
    target : str
        Path and query in origin form.
    headers : tuple of (str, str)
        End-to-end headers of the caller.
    body : bytes
    timeout_s : float
        Time left until the deadline of the request.
    new_connection : bool
        Open a new connection for this request. libcurl silently resends a
        request when a reused connection closes before the first byte of the
        response, so work that must not run twice needs a new connection.
    max_response_bytes : int
    may_send : callable
        Called immediately before the request is written; False prevents
        the send.
    own_headers : tuple of (str, str) or None
        Headers that this instance adds; None for the default, request id
        and deadline.
    connect_timeout_s : float
    close_after : bool
        Close the connection after the response instead of keeping it alive.
    rules : ResponseRules
    """

    request_id: str
    address: fleet.Address
    method: str
    target: str
    headers: headers.HeaderList
    body: bytes
    timeout_s: float
    new_connection: bool
    max_response_bytes: int
    may_send: Callable[[], bool]
    own_headers: headers.HeaderList | None = None
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    close_after: bool = False
    rules: exchange.ResponseRules = exchange.ResponseRules()


class CurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """Tornado's curl client with immediate start and abort.

    It also sets fewer timers and checks exchanges for surplus bytes.
    """

    def initialize(self, **kwargs) -> None:
        """Initialize the client and limit its idle connections."""
        self.timer_due_s = 0.0
        super().initialize(**kwargs)
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)

    def fetch_impl(self, request, callback) -> None:
        """Start a request in this iteration of the event loop.

        The overridden method would set a timer of 0 s instead, which costs
        one more iteration for each request.
        """
        self._requests.append((request, callback, self.io_loop.time()))
        self._process_queue()
        self._multi.socket_action(pycurl.SOCKET_TIMEOUT, 0)
        self._finish_pending_requests()

    def _set_timeout(self, msecs: int) -> None:
        # libcurl changes its timer about ten times per request. A timer that
        # fires too early is harmless, since tornado then queries libcurl for
        # the next one; -1 means that no timer is needed.
        if msecs < 0:
            return
        timer_due_s = self.io_loop.time() + msecs / 1000
        if self._timeout is None or timer_due_s < self.timer_due_s:
            self.timer_due_s = timer_due_s
            super()._set_timeout(msecs)

    def _finish(self, curl, curl_error=None, curl_message=None) -> None:
        # Check for surplus bytes first: tornado detaches the handle, after
        # which libcurl no longer returns its socket.
        started = getattr(curl.info['request'].request, 'exchange', None)
        if started is not None and not curl_error:
            if has_unread_bytes(curl.getinfo(pycurl.ACTIVESOCKET)):
                started.record_surplus()
        super()._finish(curl, curl_error, curl_message)

    def idle_handles(self) -> int:
        """Return how many more requests can start without being queued."""
        return len(self._free_list) - len(self._requests)

    def abort(self, curl: pycurl.Curl, reason: str = 'cancelled') -> None:
        """Abort a running transfer immediately and close its connection."""
        self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, reason)


class FetchedFraming:
    """Aborts a fetch whose response has too much framing.

    Parameters
    ----------
    curl : Curl
    future : Future
        Done when the fetch has ended.
    abort : callable
        Called with the handle, and the reason if it is not a cancellation.
    """

    def __init__(
        self,
        *,
        curl: pycurl.Curl,
        future: asyncio.Future,
        abort: Callable[..., None],
    ):
        self.curl = curl
        self.future = future
        self.abort = abort
        self.raw_bytes = 0
        self.check_scheduled = False
        self.has_ended = False
        self.received_s: float | None = None
        self.on_data = lambda: None

    def on_debug(self, kind: int, text: bytes) -> None:
        """Count bytes after the head; libcurl's ``DEBUGFUNCTION``.

        Within a callback libcurl neither returns the size of the body nor
        allows an abort.
        """
        if kind != pycurl.INFOTYPE_DATA_IN:
            return
        self.raw_bytes += len(text)
        self.received_s = asyncio.get_running_loop().time()
        self.on_data()
        if not self.check_scheduled:
            self.check_scheduled = True
            asyncio.get_running_loop().call_soon(self.check)

    def check(self) -> None:
        """Abort the fetch if too few of its bytes are of the body."""
        self.check_scheduled = False
        if self.future.done():
            return
        body_bytes = int(self.curl.getinfo(pycurl.SIZE_DOWNLOAD))
        if exchange.is_framing_oversized(self.raw_bytes, body_bytes):
            self.abort(self.curl)

    def check_stall(self, stall_timeout_s: float) -> None:
        """Abort the fetch if no byte of the body came for a while."""
        if self.future.done():
            return
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        if self.received_s is not None:
            due_s = self.received_s + stall_timeout_s
        if loop.time() >= due_s:
            self.abort(self.curl, 'no bytes of the body in time')
        else:
            loop.call_at(due_s, self.check_stall, stall_timeout_s)

    def on_future_done(self, future: asyncio.Future) -> None:
        """Abort a fetch whose result nobody waits for any more."""
        if future.cancelled() and not self.has_ended:
            self.abort(self.curl)


class UpstreamClient:
    """Sends requests to backend servers, cancels them, fetches resources.

    Parameters
    ----------
    memory : ResponseMemory or None
        Limits the bytes that are held for all responses.
    """

    def __init__(
        self, *, memory: response_memory.ResponseMemory | None = None
    ):
        self.memory = memory
        self.curl = CurlClient(
            force_instance=True,
            max_clients=MAX_EXCHANGES,
            max_body_size=MAX_FETCHED_BYTES,
        )
        self.cancels = 0

    def start(self, upstream_request: UpstreamRequest) -> exchange.Exchange:
        """Start sending a request.

        Parameters
        ----------
        upstream_request : UpstreamRequest

        Returns
        -------
        Exchange
            Already failed, with nothing sent, if the client has no free
            handle.
        """
        started = exchange.Exchange(
            method=upstream_request.method,
            request_id=upstream_request.request_id,
            max_response_bytes=upstream_request.max_response_bytes,
            once=upstream_request.new_connection,
            may_send=upstream_request.may_send,
            rules=upstream_request.rules,
            memory=self.memory,
            ends_after_head=(
                upstream_request.method == 'HEAD'
                and has_unusual_body(upstream_request)
            ),
        )
        if self.curl.idle_handles() <= 0:
            started.fail(CLIENT_FULL)
            return started
        request = make_request(upstream_request, started)
        started.abort = self.curl.abort
        self.curl.fetch_impl(
            request, functools.partial(on_transfer_done, started)
        )
        return started

    def cancel(self, address: fleet.Address, request_id: str) -> None:
        """Notify a server that the result of a request is no longer needed.

        Best effort: skipped when ``MAX_CANCELS`` cancellations are in
        progress or no handle is free. The response of the server does not
        show whether the work ran.
        """
        if self.cancels >= MAX_CANCELS or self.curl.idle_handles() <= 0:
            return
        self.cancels += 1
        request = httpclient.HTTPRequest(
            f'http://{address.authority()}/_server/requests/{request_id}',
            method='DELETE',
            connect_timeout=CANCEL_TIMEOUT_S,
            request_timeout=CANCEL_TIMEOUT_S,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=functools.partial(
                set_status_options, MAX_SERVER_STATUS_BYTES
            ),
        )
        self.curl.fetch_impl(wrap_request(request), self.on_cancel_done)

    def on_cancel_done(self, response: httpclient.HTTPResponse) -> None:
        """Release the slot of a cancellation, whatever the response is."""
        self.cancels -= 1

    async def fetch_small(
        self,
        url: str,
        timeout_s: float,
        *,
        max_bytes: int = MAX_FETCHED_BYTES,
        new_connection: bool = False,
        stall_timeout_s: float | None = None,
        on_data: Callable[[], None] = lambda: None,
    ) -> httpclient.HTTPResponse:
        """Fetch a small resource; a failure is a response with status 599.

        A body above ``max_bytes`` is a failure, and so is one with more
        framing than a response to a caller may have. A new connection is not
        kept afterwards. A fetch that is cancelled is aborted at once.

        Parameters
        ----------
        url : str
        timeout_s : float
        max_bytes : int
        new_connection : bool
        stall_timeout_s : float or None
            With it, ``timeout_s`` ends at the first bytes of the body, and
            the fetch fails if no more came for this time, or after
            ``MAX_TRANSFER_S`` in all.
        on_data : callable
            Called when bytes of the body arrive.
        """
        future = asyncio.get_running_loop().create_future()
        longest_s = 0.0 if stall_timeout_s is None else MAX_TRANSFER_S
        options = functools.partial(
            self.set_fetch_options, max_bytes, new_connection
        )
        framings: list[FetchedFraming] = []

        def prepare(curl: pycurl.Curl) -> None:
            framing = FetchedFraming(
                curl=curl, future=future, abort=self.curl.abort
            )
            framing.on_data = on_data
            framings.append(framing)
            options(framing, curl)
            future.add_done_callback(framing.on_future_done)
            if stall_timeout_s is not None:
                asyncio.get_running_loop().call_later(
                    timeout_s, framing.check_stall, stall_timeout_s
                )

        def finish(response: httpclient.HTTPResponse) -> None:
            for framing in framings:
                framing.has_ended = True
            resolve(future, response)

        request = httpclient.HTTPRequest(
            url,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s + longest_s,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=prepare,
        )
        self.curl.fetch_impl(wrap_request(request), finish)
        return await future

    def set_fetch_options(
        self,
        max_bytes: int,
        new_connection: bool,
        framing: FetchedFraming,
        curl: pycurl.Curl,
    ) -> None:
        """Set the options of a fetch, whose body tornado collects."""
        set_status_options(max_bytes, curl)
        curl.setopt(pycurl.FRESH_CONNECT, int(new_connection))
        curl.setopt(pycurl.FORBID_REUSE, int(new_connection))
        curl.setopt(pycurl.VERBOSE, 1)
        curl.setopt(pycurl.DEBUGFUNCTION, framing.on_debug)

    def close(self) -> None:
        """Close all connections."""
        self.curl.close()


def is_too_large(response: httpclient.HTTPResponse) -> bool:
    """Return whether a fetch failed because its body is above the limit."""
    errno = getattr(response.error, 'errno', None)
    return errno == pycurl.E_FILESIZE_EXCEEDED


def resolve(future: asyncio.Future, value) -> None:
    """Set the result of a future unless it is already done or cancelled."""
    if not future.done():
        future.set_result(value)


def wrap_request(request: httpclient.HTTPRequest):
    """Wrap a request in the form that ``fetch_impl`` expects."""
    return httpclient._RequestProxy(
        request, dict(httpclient.HTTPRequest._DEFAULTS)
    )


def make_request(
    upstream_request: UpstreamRequest, started: exchange.Exchange
):
    """Convert a request to tornado's type and attach its exchange."""
    request = httpclient.HTTPRequest(
        f'http://{upstream_request.address.authority()}'
        f'{upstream_request.target}',
        method='POST'
        if has_unusual_body(upstream_request)
        else upstream_request.method,
        body=request_body(upstream_request),
        connect_timeout=min(
            upstream_request.connect_timeout_s, upstream_request.timeout_s
        ),
        request_timeout=upstream_request.timeout_s,
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=functools.partial(
            set_exchange_options, upstream_request, started
        ),
    )
    request.exchange = started
    return wrap_request(request)


def has_unusual_body(upstream_request: UpstreamRequest) -> bool:
    """Return whether this is a GET or HEAD with a body.

    HTTP allows it, but tornado rejects such a GET and would send such a HEAD
    as a PUT, so it is set up as a POST with a custom method.
    """
    return upstream_request.method in ('GET', 'HEAD') and bool(
        upstream_request.body
    )


def request_body(upstream_request: UpstreamRequest) -> bytes | None:
    """Return the body; None if it is empty and the method needs none.

    POST, PUT and PATCH always need a body, which may be empty.
    """
    if upstream_request.body or upstream_request.method in (
        'POST',
        'PUT',
        'PATCH',
    ):
        return upstream_request.body
    return None


def set_common_options(curl: pycurl.Curl) -> None:
    """Set options that do not depend on the request.

    Some of them override values that libcurl would otherwise read from
    environment variables or files.
    """
    # Without explicit values libcurl reads http_proxy and .netrc.
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.NOPROXY, '*')
    curl.setopt(pycurl.NETRC, pycurl.NETRC_IGNORED)
    curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.HTTP09_ALLOWED, 0)
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.MAXAGE_CONN, IDLE_CONNECTION_S)
    curl.setopt(pycurl.USERAGENT, '')


def set_status_options(max_bytes: int, curl: pycurl.Curl) -> None:
    """Set the options of a request with a limit on the body."""
    set_common_options(curl)
    curl.setopt(pycurl.MAXFILESIZE, max_bytes)


def set_exchange_options(
    upstream_request: UpstreamRequest,
    started: exchange.Exchange,
    curl: pycurl.Curl,
) -> None:
    """Set the options of one exchange; called after tornado set its own."""
    set_common_options(curl)
    # Unless close_after is set, a new connection stays open after the
    # response: surplus bytes can be detected only on an open connection, and
    # idempotent work may reuse it.
    curl.setopt(
        pycurl.FRESH_CONNECT, 1 if upstream_request.new_connection else 0
    )
    curl.setopt(pycurl.FORBID_REUSE, 1 if upstream_request.close_after else 0)
    if has_unusual_body(upstream_request):
        curl.setopt(pycurl.CUSTOMREQUEST, upstream_request.method)
    # libcurl would change percent-encodings of the URL's path.
    curl.setopt(pycurl.REQUEST_TARGET, upstream_request.target)
    curl.setopt(pycurl.PREREQFUNCTION, started.on_ready_to_send)
    curl.setopt(pycurl.VERBOSE, 1)
    curl.setopt(pycurl.DEBUGFUNCTION, started.on_debug)
    curl.setopt(pycurl.HTTPHEADER, header_lines(upstream_request))
    curl.setopt(pycurl.HEADERFUNCTION, started.on_header_line)
    curl.setopt(pycurl.WRITEFUNCTION, started.on_body)
    started.curl = curl


def header_lines(upstream_request: UpstreamRequest) -> list[bytes]:
    """Return the header lines in libcurl's syntax.

    libcurl omits a header given as ``Name:`` and sends an empty value for
    ``Name;``. Headers that libcurl adds by default are omitted unless the
    caller sent them.
    """
    lines = [
        f'{name}: {value}' if value else f'{name};'
        for name, value in upstream_request.headers
    ]
    lines += [
        f'{name}: {value}'
        for name, value in instance_headers(upstream_request)
    ]
    present = {name.lower() for name, _ in upstream_request.headers}
    for name in ('Accept', 'Content-Type', 'User-Agent'):
        if name.lower() not in present:
            lines.append(f'{name}:')
    lines.append('Expect:')
    return [line.encode('latin-1') for line in lines]


def instance_headers(upstream_request: UpstreamRequest) -> headers.HeaderList:
    """Return the headers that this instance adds to the request."""
    if upstream_request.own_headers is not None:
        return upstream_request.own_headers
    return (
        ('X-Request-Id', upstream_request.request_id),
        ('X-Deadline-Ms', str(int(upstream_request.timeout_s * 1000))),
    )


def on_transfer_done(started: exchange.Exchange, response) -> None:
    """Conclude an exchange when tornado's client has finished with it.

    Called before tornado resets the handle, so the handle's counters still
    belong to this exchange.
    """
    curl = started.curl
    started.curl = None
    started.abort = None
    if curl is None:
        reason = f'client-error: {response.error!r}'
        started.fail(
            classify.Failure(
                classify.ExecutionStatus.NOT_RUN,
                classify.FailureSignal.NONE,
                reason,
            )
        )
        return
    started.sent_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
    # Tornado also sets an error for every status of 300 and above.
    is_curl_error = isinstance(response.error, curl_httpclient.CurlError)
    errno = response.error.errno if is_curl_error else 0
    started.end(errno)


def has_unread_bytes(descriptor: int) -> bool:
    """Return whether the kernel holds unread bytes after the response.

    libcurl reads a large body only up to its declared length and does not
    check for further bytes. Returns False for a negative descriptor, which
    libcurl gives for a transfer without an open connection.
    """
    if descriptor < 0:
        return False
    unread = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(4))
    return int.from_bytes(unread, sys.byteorder) > 0

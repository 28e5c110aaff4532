"""One request to one backend server and its response."""

import asyncio
from collections.abc import Callable
import re
from typing import NamedTuple

import pycurl

from citronshelf_common import fleet
from citronshelf_entry import body_buffer
from citronshelf_entry import classify
from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_entry import response_memory

# A response up to this size is buffered until it is known to be complete; a
# larger one is streamed to the caller. The transfer is paused while twice as
# much is buffered for the caller.
STREAM_THRESHOLD_BYTES = 64 * 1024
PAUSE_THRESHOLD_BYTES = 2 * STREAM_THRESHOLD_BYTES
MAX_HEAD_BYTES = 32 * 1024
MAX_HEAD_LINES = 200
# Chunk sizes, chunk extensions and trailers may have this many bytes and, on
# top, one for every ``BODY_BYTES_PER_FRAMING_BYTE`` of the body. Chunks of 60
# bytes or more stay within that. Smaller ones cost about 1 us of processor
# time each, which other exchanges wait for. The bytes that libcurl has read
# but not parsed, at most 16 KiB, count as well.
MAX_FRAMING_BYTES = 32 * 1024
BODY_BYTES_PER_FRAMING_BYTE = 8

# Reason recorded when ``may_send`` prevents the request from being written.
SEND_WITHDRAWN = 'view-not-fresh'
# Reason recorded when the response is ended for the memory of all responses.
MEMORY_FULL = 'answer-memory-full'
SURPLUS_TRACE = b'Excess found'
BODILESS_STATUSES = frozenset({204, 304})
STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?'
)
BLANKS = ' \t'


class ResponseHead(NamedTuple):
    """Head of a response.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
        As received, including hop-by-hop headers.
    framing : Framing
        Length 0 for a response that by definition has no body.
    """

    status: int
    headers: headers.HeaderList
    framing: headers.Framing


class ResponseRules(NamedTuple):
    """Conditions that a response must meet to be passed on.

    Attributes
    ----------
    echo_header : str
        Header, in lower case, in which a server returns the request id; a
        response with a different id belongs to another request. A response
        without the header is accepted.
    close_delimited : bool
        Accept a response without a length that is terminated by an orderly
        close of the connection. A reset still makes it incomplete.
    ignore_surplus : bool
        Bytes after a complete response belong to no request. Discard them
        with their connection instead of rejecting the response.
    """

    echo_header: str = 'x-request-id'
    close_delimited: bool = False
    ignore_surplus: bool = False


class Part(NamedTuple):
    """A piece of a body; the last one confirms that the body is complete."""

    data: bytes
    last: bool


class Exchange:
    """State of one exchange, updated by libcurl's callbacks.

    Parameters
    ----------
    method : str
    request_id : str
    max_response_bytes : int
    once : bool
        The request must not be sent a second time.
    may_send : callable
        Called immediately before the request is written, when the connection
        is established, and again before a resend. If it returns False, the
        request is not written and the exchange fails.
    rules : ResponseRules
    memory : ResponseMemory or None
        Counts the buffered bytes and can end the exchange.
    ends_after_head : bool
        End the transfer after the head: libcurl would wait for a body, which
        the response to a HEAD sent as a custom method does not have.
    """

    def __init__(
        self,
        *,
        method: str,
        request_id: str,
        max_response_bytes: int,
        once: bool,
        may_send: Callable[[], bool],
        rules: ResponseRules = ResponseRules(),
        memory: response_memory.ResponseMemory | None = None,
        ends_after_head: bool = False,
    ):
        self.ends_after_head = ends_after_head
        self.rules = rules
        self.memory = memory
        self.method = method
        self.request_id = request_id
        self.max_response_bytes = max_response_bytes
        self.once = once
        self.may_send = may_send
        self.sends = 0
        self.curl: pycurl.Curl | None = None
        self.abort = None
        self.head: ResponseHead | None = None
        self.failure: classify.Failure | None = None
        self.refusal = ''
        self.ended = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.raw_bytes = 0
        self.buffer = body_buffer.BodyBuffer()
        self.collecting = False
        self.paused = False
        self.lines: list[bytes] = []
        self.head_bytes = 0
        self.changed = asyncio.Event()

    def on_ready_to_send(self, *_addresses) -> int:
        """Return whether libcurl may write; its ``PREREQFUNCTION``.

        libcurl calls this again before it resends a request on another
        connection.
        """
        if self.once and self.sends:
            self.refusal = 'resend-prevented'
            return pycurl.PREREQFUNC_ABORT
        if not self.may_send():
            self.refusal = SEND_WITHDRAWN
            return pycurl.PREREQFUNC_ABORT
        self.sends += 1
        return pycurl.PREREQFUNC_OK

    def on_debug(self, kind: int, text: bytes) -> None:
        """Detect bytes that libcurl drops; libcurl's ``DEBUGFUNCTION``.

        Only its trace output has the framing of a chunked body, and mentions
        bytes beyond the declared length, after which it reports success.
        """
        if kind == pycurl.INFOTYPE_DATA_IN:
            self.limit_framing(len(text))
        elif kind == pycurl.INFOTYPE_TEXT and text.startswith(SURPLUS_TRACE):
            self.record_surplus()

    def limit_framing(self, raw_bytes: int) -> None:
        """Count bytes after the head; abort if too few belong to the body.

        libcurl ignores the result of its ``DEBUGFUNCTION``, so the transfer
        is aborted after its callbacks have returned.
        """
        self.raw_bytes += raw_bytes
        if not self.refusal and is_framing_oversized(
            self.raw_bytes, self.received_bytes
        ):
            self.refuse('oversized-framing')
            asyncio.get_running_loop().call_soon(self.cancel)

    def record_surplus(self) -> None:
        """Reject a response with surplus bytes unless the rules allow it."""
        if not self.rules.ignore_surplus:
            self.refusal = 'over-long-answer'

    def on_header_line(self, line: bytes) -> int | None:
        """Collect one line of the head; libcurl's ``HEADERFUNCTION``.

        Lines after the head, such as trailers, are dropped. A response with an
        oversized head is rejected; interim responses and trailers count.
        """
        self.head_bytes += len(line)
        if (
            self.head_bytes > MAX_HEAD_BYTES
            or len(self.lines) > MAX_HEAD_LINES
        ):
            return self.refuse('oversized-head')
        if self.head is not None:
            return None
        if line == b'\r\n':
            return self.parse_head()
        if not is_line_valid(line, is_first=not self.lines):
            return self.refuse('malformed-answer')
        self.lines.append(line.removesuffix(b'\r\n'))
        return None

    def parse_head(self) -> int | None:
        """Parse the head once its empty line has arrived.

        Interim (1xx) responses are skipped, except 101, which is rejected.
        Returns 0, which aborts the transfer, when the head is rejected.
        """
        lines, self.lines = self.lines, []
        if not lines:
            return self.refuse('malformed-answer')
        minor, code = STATUS_LINE.fullmatch(lines[0]).groups()
        status = int(code)
        if status == 101:
            return self.refuse('unexpected-upgrade')
        if status < 200:
            return None
        pairs = tuple(parse_header_line(line) for line in lines[1:])
        echoed = headers.first_of(
            pairs, self.rules.echo_header, self.request_id
        )
        if echoed != self.request_id:
            return self.refuse('answer-to-another-request')
        framing = self.provable_framing(status, pairs)
        if framing is None or (framing.chunked and minor == b'0'):
            return self.refuse('no-provable-end')
        if (framing.length or 0) > self.max_response_bytes:
            return self.refuse('answer-too-large')
        self.head = ResponseHead(status, pairs, framing)
        self.changed.set()
        return 0 if self.ends_after_head else None

    def provable_framing(self, status, pairs) -> headers.Framing | None:
        """Return the framing; None if the end of the body is not determined.

        The close of the connection determines the end only if the rules
        allow it.
        """
        if self.method == 'HEAD' or status in BODILESS_STATUSES:
            return headers.Framing(0, False)
        framing = headers.framing_of(pairs)
        if framing.is_error():
            return None
        unframed = framing.ok.length is None and not framing.ok.chunked
        if unframed and not self.rules.close_delimited:
            return None
        return framing.ok

    def refuse(self, reason: str) -> int:
        """Record the reason; returning 0 makes libcurl abort the transfer."""
        self.refusal = reason
        return 0

    def on_body(self, data: bytes) -> int | None:
        """Buffer bytes of the body; libcurl's ``WRITEFUNCTION``.

        Unless the whole body is being collected, pauses the transfer while at
        least ``PAUSE_THRESHOLD_BYTES`` are buffered. A body above
        ``max_response_bytes`` is rejected.
        """
        if self.head is None:
            return self.refuse('malformed-answer')
        if self.refusal:
            return 0
        if self.received_bytes + len(data) > self.max_response_bytes:
            return self.refuse('answer-too-large')
        if not self.collecting and self.buffer.size >= PAUSE_THRESHOLD_BYTES:
            self.paused = True
            return pycurl.WRITEFUNC_PAUSE
        self.received_bytes += len(data)
        self.buffer.append(data)
        if self.memory is not None:
            self.memory.add(self, len(data))
            if self.refusal == MEMORY_FULL:
                return 0
        if not self.collecting:
            self.changed.set()
        return None

    def has_known_length(self) -> bool:
        """Return whether the length of the body was declared."""
        return self.head is not None and self.head.framing.length is not None

    def drop_for_memory(self) -> None:
        """Drop the buffered bytes and abort the transfer.

        libcurl allows no abort within the callbacks of any transfer, so it
        follows when they have returned.
        """
        self.refuse(MEMORY_FULL)
        self.buffer.clear()
        asyncio.get_running_loop().call_soon(self.cancel)

    def release_memory(self) -> None:
        """Stop counting the bytes of this exchange as held."""
        if self.memory is not None:
            self.memory.release(self)

    def end(self, errno: int) -> None:
        """Conclude the exchange after libcurl has finished.

        Parameters
        ----------
        errno : int
            Error number of libcurl; 0 for success.
        """
        if errno and not self.is_ended_after_head(errno):
            self.fail(self.classify_error(errno))
            return
        if self.refusal:
            self.fail(rejected_response(self.refusal, self.head))
            return
        if self.head is None:
            self.fail(rejected_response('malformed-answer', None))
            return
        length = self.head.framing.length
        if length is not None and length != self.received_bytes:
            self.fail(rejected_response('short-answer', self.head))
            return
        self.ended = True
        self.changed.set()

    def is_ended_after_head(self, errno: int) -> bool:
        """Return whether the error is that of a transfer ended on purpose."""
        return (
            errno == pycurl.E_WRITE_ERROR
            and self.ends_after_head
            and self.head is not None
        )

    def classify_error(self, errno: int) -> classify.Failure:
        """Return the failure that a libcurl error means for this exchange."""
        progress = classify.Progress(
            self.sends, self.sent_bytes, self.head is not None
        )
        if self.refusal and progress.is_unsent():
            return classify.Failure(
                classify.ExecutionStatus.NOT_RUN,
                classify.FailureSignal.NONE,
                self.refusal,
            )
        if self.refusal == 'resend-prevented':
            return classify.Failure(
                classify.ExecutionStatus.UNKNOWN,
                classify.FailureSignal.ERRORED,
                'no-answer',
            )
        if self.refusal:
            return rejected_response(self.refusal, self.head)
        return classify.classify(errno, progress)

    def fail(self, failure: classify.Failure) -> None:
        """End the exchange without a complete response."""
        self.buffer.clear()
        self.release_memory()
        self.failure = failure
        self.ended = True
        self.changed.set()

    def cancel(self) -> bool:
        """Abort a running exchange.

        Returns
        -------
        bool
            True if it was still running.
        """
        if self.ended or self.curl is None:
            return False
        self.abort(self.curl)
        return True

    async def wait_head(self) -> ResponseHead | classify.Failure:
        """Wait for the head of the response or the failure of the exchange."""
        while self.head is None and not self.ended:
            self.changed.clear()
            await self.changed.wait()
        if self.head is None:
            return self.failure
        return self.head

    async def read(self, min_bytes: int = 1) -> Part | classify.Failure:
        """Wait for bytes of the body.

        Must be called only after ``wait_head`` returned a head.

        Parameters
        ----------
        min_bytes : int
            Bytes to wait for, at most ``PAUSE_THRESHOLD_BYTES``; the last
            part may be shorter.

        Returns
        -------
        Part or Failure
            After a failure, bytes that arrived before it are not returned.
        """
        while not self.ended and (
            self.buffer.size < min_bytes or self.is_end_unconfirmed()
        ):
            self.changed.clear()
            await self.changed.wait()
        if self.failure is not None:
            return self.failure
        data = self.buffer.take()
        self.release_memory()
        if self.ended:
            return Part(data, True)
        self.resume()
        return Part(data, False)

    def is_end_unconfirmed(self) -> bool:
        """Return whether all declared bytes arrived before libcurl finished.

        They are held back, so that the response can still be rejected for
        surplus bytes.
        """
        return self.received_bytes == self.head.framing.length

    async def read_whole(self) -> bytes | classify.Failure:
        """Wait for the body, or for the rest of it after earlier reads.

        It has at most ``max_response_bytes``, which count as held until
        ``release_memory`` is called.
        """
        self.collecting = True
        self.resume()
        while not self.ended:
            self.changed.clear()
            await self.changed.wait()
        if self.failure is not None:
            return self.failure
        return self.buffer.take()

    def resume(self) -> None:
        """Resume the transfer if it is paused."""
        if not self.paused or self.curl is None:
            return
        self.paused = False
        try:
            self.curl.pause(pycurl.PAUSE_CONT)
        except pycurl.error:
            # libcurl reports a failed transfer both here and through its
            # message queue, which tornado reads.
            return


def is_framing_oversized(raw_bytes: int, body_bytes: int) -> bool:
    """Return whether too few of the bytes after a head are of the body."""
    allowed_bytes = (
        MAX_FRAMING_BYTES + body_bytes // BODY_BYTES_PER_FRAMING_BYTE
    )
    return raw_bytes - body_bytes > allowed_bytes


def is_line_valid(line: bytes, *, is_first: bool) -> bool:
    """Return whether a line of a head is well-formed.

    Response heads follow the rules of request heads: libcurl accepts bare
    line feeds and field names that other parsers reject or read differently.

    Parameters
    ----------
    line : bytes
        With its line end.
    is_first : bool
        It must be a status line.
    """
    if not line.endswith(b'\r\n'):
        return False
    pattern = STATUS_LINE if is_first else request_head.HEADER_LINE
    return pattern.fullmatch(line, 0, len(line) - 2) is not None


def parse_header_line(line: bytes) -> tuple[str, str]:
    """Split a valid header line into its name and value."""
    name, _, value = line.decode('latin-1').partition(':')
    return name, value.strip(BLANKS)


def rejected_response(
    reason: str, head: ResponseHead | None
) -> classify.Failure:
    """Return the failure for a response that cannot be passed on.

    The execution status is BROKEN if a head was accepted, otherwise UNKNOWN.
    A response with a declared length is no failure of the server if this
    process lacks the memory for it; one without may have no end.
    """
    is_own_shortage = (
        reason == MEMORY_FULL
        and head is not None
        and head.framing.length is not None
    )
    execution = (
        classify.ExecutionStatus.UNKNOWN
        if head is None
        else classify.ExecutionStatus.BROKEN
    )
    signal = (
        classify.FailureSignal.NONE
        if is_own_shortage
        else classify.FailureSignal.TRUNCATED
    )
    return classify.Failure(execution, signal, reason)


def parse_load(head: ResponseHead) -> fleet.LoadReport | None:
    """Parse the load that the server reported; None if absent or invalid."""
    text = headers.first_of(head.headers, 'x-load')
    if not text or len(text) > 100:
        return None
    values = {}
    for field in text.split():
        name, _, number = field.partition('=')
        if not headers.DECIMAL_NUMBER.fullmatch(number):
            return None
        values[name] = int(number)
    if not {'busy', 'slots', 'queue'} <= values.keys():
        return None
    return fleet.LoadReport(values['busy'], values['slots'], values['queue'])


def is_draining(head: ResponseHead) -> bool:
    """Return whether the server reported that it is draining."""
    return headers.first_of(head.headers, 'x-draining') == '1'


def not_run_reason(head: ResponseHead) -> str:
    """Return the reason in the server's "not run" marker.

    Empty if the status is not 503 or the marker is missing.
    """
    if head.status != 503:
        return ''
    return headers.first_of(head.headers, 'x-not-run')

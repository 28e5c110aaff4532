"""Classifies failed exchanges with backend servers."""

import enum
from typing import NamedTuple

import pycurl


class ExecutionStatus(enum.StrEnum):
    """What is known about the work of a failed exchange.

    NOT_RUN: no part of the request left this process, or the server responded
    that it did not run it. UNKNOWN: the work may have run. BROKEN: the head
    of the response was accepted, but the rest was incomplete, rejected or
    cancelled.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    BROKEN = 'broken'


class FailureSignal(enum.StrEnum):
    """How a failure counts in the health evidence of the server."""

    NONE = 'none'
    ERRORED = 'errored'
    TRUNCATED = 'truncated'
    SLOW = 'slow'
    UNREACHABLE = 'unreachable'


class Failure(NamedTuple):
    """A failed exchange.

    Attributes
    ----------
    execution : ExecutionStatus
    signal : FailureSignal
    reason : str
        Short text for the log and the caller.
    shed : bool
        The server responded that it did not run the work. The response may
        belong to another request unless ``execution`` is NOT_RUN.
    """

    execution: ExecutionStatus
    signal: FailureSignal
    reason: str
    shed: bool = False


class Progress(NamedTuple):
    """Progress of an exchange when it failed.

    Attributes
    ----------
    sends : int
        How often libcurl was allowed to write the request.
    request_bytes : int
        Bytes of the request that libcurl passed to the kernel, over all
        connections that it tried.
    head_received : bool
    """

    sends: int
    request_bytes: int
    head_received: bool

    def is_unsent(self) -> bool:
        """Return whether no byte of the request can have left the process."""
        return not (self.sends or self.request_bytes or self.head_received)


# Errors that show, if nothing was sent, that the work did not run. After any
# other error it may have run, even if no byte was counted: a failed send does
# not show how many bytes the kernel accepted.
BEFORE_SEND = {
    pycurl.E_UNSUPPORTED_PROTOCOL: 'bad-address',
    pycurl.E_FAILED_INIT: 'client-error',
    pycurl.E_URL_MALFORMAT: 'bad-address',
    pycurl.E_COULDNT_RESOLVE_PROXY: 'bad-address',
    pycurl.E_COULDNT_RESOLVE_HOST: 'bad-address',
    pycurl.E_COULDNT_CONNECT: 'connection-refused',
    pycurl.E_INTERFACE_FAILED: 'client-error',
    pycurl.E_OPERATION_TIMEDOUT: 'connect-timeout',
    pycurl.E_ABORTED_BY_CALLBACK: 'cancelled',
}

# CURLE_TOO_LARGE; pycurl has no constant for it.
E_TOO_LARGE = 100

REASONS = {
    pycurl.E_GOT_NOTHING: 'no-answer',
    pycurl.E_SEND_ERROR: 'send-failed',
    pycurl.E_RECV_ERROR: 'reset',
    pycurl.E_PARTIAL_FILE: 'short-answer',
    pycurl.E_OPERATION_TIMEDOUT: 'timeout',
    pycurl.E_ABORTED_BY_CALLBACK: 'cancelled',
    pycurl.E_WRITE_ERROR: 'answer-refused',
    pycurl.E_COULDNT_CONNECT: 'reconnect-refused',
    pycurl.E_FTP_WEIRD_SERVER_REPLY: 'malformed-answer',
    pycurl.E_UNSUPPORTED_PROTOCOL: 'malformed-answer',
    pycurl.E_BAD_CONTENT_ENCODING: 'malformed-answer',
    E_TOO_LARGE: 'oversized-head',
}

UNREACHABLE = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_OPERATION_TIMEDOUT,
    }
)


def classify(errno: int, progress: Progress) -> Failure:
    """Classify a libcurl error.

    Parameters
    ----------
    errno : int
        Error number of libcurl, not 0.
    progress : Progress

    Returns
    -------
    Failure
    """
    if progress.is_unsent() and errno in BEFORE_SEND:
        signal = (
            FailureSignal.UNREACHABLE
            if errno in UNREACHABLE
            else FailureSignal.NONE
        )
        return Failure(ExecutionStatus.NOT_RUN, signal, BEFORE_SEND[errno])
    reason = REASONS.get(errno, f'curl-{errno}')
    if errno == pycurl.E_ABORTED_BY_CALLBACK:
        execution = (
            ExecutionStatus.BROKEN
            if progress.head_received
            else ExecutionStatus.UNKNOWN
        )
        return Failure(execution, FailureSignal.NONE, reason)
    if progress.head_received:
        return Failure(ExecutionStatus.BROKEN, FailureSignal.TRUNCATED, reason)
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return Failure(ExecutionStatus.UNKNOWN, FailureSignal.SLOW, reason)
    return Failure(ExecutionStatus.UNKNOWN, FailureSignal.ERRORED, reason)

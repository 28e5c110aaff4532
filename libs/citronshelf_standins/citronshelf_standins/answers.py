"""Answers of the backend server stand-in, whole or spoiled."""

import hashlib
import json

PATTERN = bytes(range(256))


def sheet_bytes(size: int) -> bytes:
    """Return the same ``size`` bytes for every caller."""
    return (PATTERN * (size // len(PATTERN) + 1))[:size]


def sheet_digest(size: int) -> str:
    """Return the SHA-256 of ``sheet_bytes(size)`` in hexadecimal digits."""
    return hashlib.sha256(sheet_bytes(size)).hexdigest()


def work_body(server: str, work_id: str, executions: int) -> bytes:
    """Return the JSON body of an executed request."""
    fields = {'server': server, 'work': work_id, 'executions': executions}
    return json.dumps(fields).encode() + b'\n'


def malformed_response(kind: str, body: bytes) -> bytes:
    """Return the raw bytes of a response that is not whole.

    Parameters
    ----------
    kind : str
        A value of ``faults.Truncation`` other than ``none``.
    body : bytes
        What a whole response would hold.
    """
    head = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    half_body = body[: len(body) // 2]
    match kind:
        case 'short':
            length = b'Content-Length: %d\r\n\r\n' % len(body)
            return head + length + half_body
        case 'over-long':
            length = b'Content-Length: %d\r\n\r\n' % len(half_body)
            return head + length + body
        case 'chunk-cut':
            chunked = b'Transfer-Encoding: chunked\r\n\r\n'
            return (
                head + chunked + b'%x\r\n%b\r\n' % (len(half_body), half_body)
            )
        case _:
            return head + b'\r\n' + half_body

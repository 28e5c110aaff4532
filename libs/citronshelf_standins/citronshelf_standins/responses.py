"""Response bodies and malformed responses of the backend stand-in."""

import hashlib
import json

PATTERN = bytes(range(256))


def pattern_bytes(size: int) -> bytes:
    """Return a fixed pattern of ``size`` bytes, for callers to compare."""
    return (PATTERN * (size // len(PATTERN) + 1))[:size]


def pattern_digest(size: int) -> str:
    """Return the SHA-256 of ``pattern_bytes(size)`` in hexadecimal digits."""
    return hashlib.sha256(pattern_bytes(size)).hexdigest()


def work_body(server: str, work_id: str, executions: int) -> bytes:
    """Return the JSON body of an executed request."""
    fields = {'server': server, 'work': work_id, 'executions': executions}
    return json.dumps(fields).encode() + b'\n'


def malformed_response(kind: str, body: bytes) -> bytes:
    """Return the raw bytes of an incomplete or wrongly framed response.

    Parameters
    ----------
    kind : str
        A value of ``faults.Truncation`` other than ``none``. ``short``
        declares the length of the body and sends half of it; ``over-long``
        declares half the length and sends the whole body; ``chunk-cut``
        sends half of the body as one chunk, without the last chunk;
        ``no-end`` sends half of the body without declaring a length.
    body : bytes
        Body of the complete response.
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

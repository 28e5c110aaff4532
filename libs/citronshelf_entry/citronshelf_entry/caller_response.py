"""Writes responses to callers through tornado's HTTP connection."""

import json

from tornado import httputil

from citronshelf_common import outcomes
from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_entry import strict_connection

RETRY_AFTER_S = 1
DONE = 'done'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
# Responses with these statuses have no body and get no Content-Length.
BODILESS_STATUSES = exchange.BODILESS_STATUSES


class CallerResponseWriter:
    """Writes the response to one request of a caller.

    Parameters
    ----------
    connection : HTTP1Connection
    is_closing : callable
        Returns whether the connection must be closed after the response.
    """

    def __init__(self, *, connection, is_closing):
        self.connection = connection
        self.is_closing = is_closing
        self.request_id = ''
        self.method = ''
        self.next_key = ''
        self.outcome = ''
        self.is_head_sent = False

    def fields(self, pairs: headers.HeaderList) -> httputil.HTTPHeaders:
        """Return the headers of a response, including those of this instance.

        If the connection must be closed, also makes tornado close it after
        the response.
        """
        fields = httputil.HTTPHeaders()
        for name, value in pairs:
            fields.add(name, value)
        if self.outcome:
            fields['Citronshelf-Outcome'] = self.outcome
        if self.request_id:
            fields['Citronshelf-Request-Id'] = self.request_id
        if self.next_key:
            fields['Citronshelf-Next-Key'] = self.next_key
        if self.is_closing():
            self.connection._disconnect_on_finish = True
            fields['Connection'] = 'close'
        else:
            idle_s = strict_connection.ADVERTISED_IDLE_S
            fields['Keep-Alive'] = f'timeout={idle_s}'
        return fields

    def send_head(self, status: int, fields, chunk: bytes | None):
        """Write the head and the first bytes of the body."""
        self.is_head_sent = True
        reason = httputil.responses.get(status, 'Unknown')
        start = httputil.ResponseStartLine('HTTP/1.1', status, reason)
        return self.connection.write_headers(start, fields, chunk)

    def send_whole(
        self, status: int, pairs: headers.HeaderList, body: bytes
    ) -> None:
        """Write a complete response."""
        fields = self.fields(pairs)
        if self.method == 'HEAD':
            body = b''
        elif status not in BODILESS_STATUSES:
            fields['Content-Length'] = str(len(body))
        self.send_head(status, fields, body or None)
        self.connection.finish()

    def send_json(self, status: int, content: dict, **more: str) -> None:
        """Write a JSON response; ``more`` holds additional headers."""
        body = json.dumps(content).encode() + b'\n'
        pairs = (('Content-Type', 'application/json'), *more.items())
        if self.method == 'HEAD':
            pairs = (*pairs, ('Content-Length', str(len(body))))
        self.send_whole(status, pairs, body)

    def send_outcome(self, outcome: outcomes.Outcome) -> None:
        """Write the response for the outcome of a request.

        ``Broken`` closes the connection instead.
        """
        match outcome:
            case outcomes.Response():
                self.outcome = DONE
                self.send_whole(outcome.status, outcome.headers, outcome.body)
            case outcomes.NotRun():
                self.outcome = NOT_RUN
                content = {'outcome': NOT_RUN, 'reason': outcome.reason}
                retry = {'Retry-After': str(RETRY_AFTER_S)}
                status = 429 if outcome.reason == 'account-limit' else 503
                self.send_json(status, content, **retry)
            case outcomes.Unknown():
                self.outcome = UNKNOWN
                content = {'outcome': UNKNOWN, 'reason': outcome.reason}
                self.send_json(504, content)
            case outcomes.Broken():
                self.abort()

    def send_refusal(
        self, refusal: request_head.RequestRefusal, *, is_keyed: bool = False
    ) -> None:
        """Write the response to a request that was refused.

        If the request has a key, the response has no outcome: work with that
        key may have run before.
        """
        self.outcome = '' if is_keyed else NOT_RUN
        content = {'outcome': self.outcome or None, 'reason': refusal.reason}
        more = {'Allow': refusal.allow} if refusal.allow else {}
        self.send_json(refusal.status, content, **more)

    async def start(self, head: exchange.ResponseHead, first: bytes) -> None:
        """Write the head and the first bytes of a large response."""
        self.outcome = DONE
        fields = self.fields(
            headers.end_to_end(head.headers, headers.OWN_RESPONSE_HEADERS)
        )
        if head.framing.length is not None:
            fields['Content-Length'] = str(head.framing.length)
        await self.send_head(head.status, fields, first)

    async def write(self, data: bytes) -> None:
        """Write more bytes of a large response."""
        if data:
            await self.connection.write(data)

    def finish(self) -> None:
        """Mark a large response as complete."""
        self.connection.finish()

    def abort(self) -> None:
        """Close the connection so that the caller sees a broken response."""
        self.connection.close()

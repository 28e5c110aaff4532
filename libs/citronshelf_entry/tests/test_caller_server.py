"""Tests of the HTTP server for callers, over real sockets."""

import asyncio
import json

from expression import Ok
import pytest

from citronshelf_common import fleet
from citronshelf_common import outcomes
from citronshelf_entry import caller_response
from citronshelf_entry import caller_server
from citronshelf_entry import request_head
from citronshelf_entry import shutdown
from citronshelf_entry import strict_connection

BODY_LIMIT_BYTES = 1000
HOST = b'Host: shop\r\n'
POST = b'POST /x HTTP/1.1\r\n' + HOST


class Handler:
    """Echoes the body of every request after an optional wait."""

    def __init__(self, wait_s=0.0):
        self.wait_s = wait_s
        self.bodies = []
        self.disconnects = 0

    def route(self, _request):
        return Ok(('match', BODY_LIMIT_BYTES))

    async def handle(self, request):
        self.bodies.append(request.body)
        await asyncio.sleep(self.wait_s)
        response = outcomes.Response(status=200, headers=(), body=request.body)
        request.response.send_outcome(response)

    def on_disconnect(self, request):
        self.disconnects += 1
        request.task.cancel()


def start(handler):
    server = caller_server.CallerServer(
        route=handler.route,
        handle=handler.handle,
        on_disconnect=handler.on_disconnect,
        record_duration=lambda seconds: None,
    )
    server.listen(fleet.Address('127.0.0.1', 0))
    sockets = list(server.http._sockets.values())
    return server, sockets[0].getsockname()[1]


async def exchange(port, data):
    """Send bytes; read until the server closes, for at most 0.4 s."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(data)
    received = b''
    try:
        async with asyncio.timeout(0.4):
            while part := await reader.read(65536):
                received += part
    except (TimeoutError, ConnectionError):
        pass
    writer.close()
    return received


def serve_bytes(data, handler=None):
    handler = handler or Handler()

    async def run():
        server, port = start(handler)
        received = await exchange(port, data)
        server.http.stop()
        return received, server

    received, server = asyncio.run(run())
    return received, handler, server


class TestBadInput:
    """Each bad request gets exactly one error and is not run."""

    @pytest.mark.parametrize(
        'data, status',
        [
            (POST + b'Content-Length: +3\r\n\r\nabc', 400),
            (POST + b'Content-Length: -3\r\n\r\nabc', 400),
            (POST + b'Content-Length: 3 \x0b\r\n\r\nabc', 400),
            (POST + b'Content-Length: 3, 3\r\n\r\nabc', 400),
            (POST + b'Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc', 400),
            (
                POST + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n'
                b'\r\n3\r\nabc\r\n0\r\n\r\n',
                400,
            ),
            (POST + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n', 400),
            (POST + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n', 400),
            (POST + b'Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n', 400),
            (POST + b'X: a\nTransfer-Encoding: chunked\r\n\r\n', 400),
            (POST + b'X: a\r\n folded\r\n\r\n', 400),
            (POST + b'X: a\rb\r\n\r\n', 400),
            (POST + b'X: a\x00b\r\n\r\n', 400),
            (b'POST /x HTTP/1.1\n' + b'Host: a\n\n', 400),
            (b'POST  /x HTTP/1.1\r\n' + HOST + b'\r\n', 400),
            (b'POST /x HTTP/2.0\r\n' + HOST + b'\r\n', 400),
            (b'POST /\xc3\xa9 HTTP/1.1\r\n' + HOST + b'\r\n', 400),
            (b'POST http://a/x HTTP/1.1\r\n' + HOST + b'\r\n', 400),
            (b'GET /x HTTP/1.1\r\n\r\n', 400),
            (b'GET /x HTTP/1.1\r\n' + HOST + HOST + b'\r\n', 400),
            (
                b'GET /x HTTP/1.1\r\n' + HOST + b'Content-Length: 1\r\n\r\na',
                400,
            ),
            (b'TRACE /x HTTP/1.1\r\n' + HOST + b'\r\n', 501),
            (b'GET /' + b'a' * 9000 + b' HTTP/1.1\r\n' + HOST + b'\r\n', 414),
            (POST + b'X: ' + b'a' * 20_000 + b'\r\n\r\n', 431),
            (POST + b'X: a\r\n' * 200 + b'\r\n', 431),
            (POST + b'Content-Length: 1001\r\n\r\n' + b'a' * 1001, 413),
            (POST + b'Content-Length: 999999999\r\n\r\n', 413),
            (
                POST + b'Transfer-Encoding: chunked\r\n\r\n'
                b'7d0\r\n' + b'a' * 2000 + b'\r\n0\r\n\r\n',
                413,
            ),
            (POST + b'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 400),
            (POST + b'Idempotency-Key: a\r\nIdempotency-Key: a\r\n\r\n', 400),
            (POST + b'Citronshelf-Account: A/B\r\n\r\n', 400),
            (POST + b'X-Deadline-Ms: 1e3\r\n\r\n', 400),
        ],
    )
    def test_invalid_request_gets_exactly_one_error_response(
        self, data, status
    ):
        received, handler, server = serve_bytes(data)
        assert received.startswith(b'HTTP/1.1 %d ' % status)
        assert received.count(b'HTTP/1.1 ') == 1
        assert handler.bodies == []
        assert server.bodies_bytes == 0

    def test_account_allowed_by_the_document_is_accepted(self):
        """Every account name that the document allows must be accepted."""
        account = b'Citronshelf-Account: Shop@Howrah:1\r\n'
        received, handler, _server = serve_bytes(
            POST + account + b'Content-Length: 0\r\n\r\n'
        )
        assert not received.startswith(b'HTTP/1.1 400')
        assert handler.bodies == [b'']

    def test_smuggled_request_is_not_read(self):
        """Bytes after a refused head must not be handled as a request."""
        data = POST + b'Content-Length: 3\r\nContent-Length: 30\r\n\r\n'
        received, handler, _ = serve_bytes(data + POST + b'\r\n')
        assert received.count(b'HTTP/1.1 ') == 1
        assert handler.bodies == []

    def test_endless_head_closes_the_connection(self):
        received, handler, _ = serve_bytes(POST + b'X: ' + b'a' * 500_000)
        assert received == b''
        assert handler.bodies == []

    def test_short_refused_body_keeps_the_connection(self):
        data = POST + b'Content-Length: 1001\r\n\r\n' + b'a' * 1001
        after = POST + b'Content-Length: 2\r\n\r\nok'
        received, handler, _ = serve_bytes(data + after)
        assert received.count(b'HTTP/1.1 ') == 2
        assert handler.bodies == [b'ok']


class TestRequests:
    """Pipelining, exceptions, disconnects, limits and outcomes."""

    def test_pipelined_requests_run_in_order(self):
        one = POST + b'Content-Length: 3\r\n\r\none'
        two = POST + b'Transfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n'
        received, handler, server = serve_bytes(one + two)
        assert handler.bodies == [b'one', b'two']
        assert received.index(b'one') < received.index(b'two')
        assert server.bodies_bytes == 0

    def test_exception_is_unknown(self):
        class Faulty(Handler):
            async def handle(self, request):
                raise ValueError('seeded')

        received, _, _ = serve_bytes(POST + b'\r\n', Faulty())
        assert b'504' in received.split(b'\r\n')[0]
        assert b'Citronshelf-Outcome: unknown' in received

    def test_disconnect_is_notified_once(self):
        handler = Handler(wait_s=5.0)

        async def run():
            server, port = start(handler)
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(POST + b'\r\n')
            while not handler.bodies:
                await asyncio.sleep(0.01)
            writer.close()
            while server.requests:
                await asyncio.sleep(0.01)

        asyncio.run(asyncio.wait_for(run(), 5))
        assert handler.disconnects == 1

    def test_slow_head_times_out(self, monkeypatch):
        """A caller must not hold a connection by sending a head slowly."""
        monkeypatch.setattr(strict_connection, 'IDLE_TIMEOUT_S', 0.2)

        async def run():
            server, port = start(Handler())
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(b'POST /x HT')
            received = await asyncio.wait_for(reader.read(), 5)
            server.http.stop()
            return received

        assert asyncio.run(run()) == b''

    def test_connection_over_the_limit_is_closed(self):
        """Connections must not exhaust the descriptors of the process."""

        async def run():
            server, port = start(Handler())
            server.http.max_connections = 2
            kept = [
                await asyncio.open_connection('127.0.0.1', port)
                for _ in range(2)
            ]
            await asyncio.sleep(0.05)
            third, _ = await asyncio.open_connection('127.0.0.1', port)
            assert await asyncio.wait_for(third.read(), 5) == b''
            reader, writer = kept[0]
            writer.write(POST + b'\r\n')
            response = await reader.readuntil(b'\r\n\r\n')
            server.http.stop()
            return response

        assert asyncio.run(run()).startswith(b'HTTP/1.1 200')

    def test_status_and_header_match_the_outcome(self):
        class Connection:
            stream = None

        for outcome, status in (
            (outcomes.NotRun(reason='a'), 503),
            (outcomes.NotRun(reason='account-limit'), 429),
            (outcomes.Unknown(reason='a'), 504),
        ):
            sent = []
            response = caller_response.CallerResponseWriter(
                connection=Connection(), is_closing=lambda: False
            )
            response.send_head = lambda *head, sent=sent: sent.append(head)
            response.connection.finish = lambda: None
            response.send_outcome(outcome)
            code, fields, body = sent[0]
            assert code == status
            stated = json.loads(body)['outcome']
            assert fields['Citronshelf-Outcome'] == stated


class TestIdleConnections:
    """Shutdown closes idle connections without interrupting requests."""

    def test_idle_is_closed_and_begun_request_completes(self):
        handler = Handler()

        async def run():
            server, port = start(handler)
            idle, _keep = await asyncio.open_connection('127.0.0.1', port)
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(POST[:10])
            await asyncio.sleep(0.1)
            server.closing = True
            closing = asyncio.create_task(shutdown.close_idle(server))
            assert await asyncio.wait_for(idle.read(), 5) == b''
            writer.write(POST[10:] + b'\r\n')
            received = await asyncio.wait_for(reader.read(), 5)
            await asyncio.wait_for(closing, 10)
            return received

        received = asyncio.run(run())
        assert received.startswith(b'HTTP/1.1 200')
        assert b'Connection: close' in received
        assert len(handler.bodies) == 1

    def test_request_on_a_closing_connection_is_not_run(self):
        """The response could not be sent, so the outcome would be lost."""
        handler = Handler()

        async def run():
            server, port = start(handler)
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            await asyncio.sleep(0.05)
            closing = asyncio.create_task(shutdown.close_idle(server))
            await asyncio.wait_for(reader.read(), 5)
            writer.write(POST + b'\r\n')
            await asyncio.wait_for(closing, 10)

        asyncio.run(run())
        assert handler.bodies == []


class TestRawFaults:
    """Unusual but valid heads are accepted."""

    def test_empty_header_value_is_accepted(self):
        assert request_head.find_raw_fault(POST + b'X:\r\n\r\n') is None

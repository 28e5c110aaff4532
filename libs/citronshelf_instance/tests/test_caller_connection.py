"""Tests of caller connections, over real sockets."""

import asyncio
import itertools
import random
import socket
import sys
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from citronshelf_entry import response_memory
from citronshelf_instance import caller_connection
from citronshelf_instance import caller_request
from citronshelf_instance import caller_response
from citronshelf_instance import configuration
from citronshelf_instance import published
from citronshelf_instance import registrations
from citronshelf_instance import request_body

SHORT = configuration.CallerLimits(
    max_head_bytes=1024,
    max_body_bytes=1000,
    head_timeout_s=0.3,
    idle_timeout_s=0.3,
)
RESPONSE_LIMIT_BYTES = 30_000_000


class ScriptedApplication:
    """Application that echoes path and body of requests after a delay.

    Parameters
    ----------
    delays : dict
        Seconds by path; requests for other paths have no delay.
    """

    def __init__(self, delays=None, limits=SHORT):
        self.delays = delays or {}
        self.limits = limits
        self.up_to_date = True
        self.started = []
        self.ended = []
        self.order = []
        self.cancelled = []
        self.refusals = []

    async def handle(self, request):
        path = request.head.path
        self.started.append(path)
        self.order.append(f'begin {path}')
        try:
            await asyncio.sleep(self.delays.get(path, 0))
        except asyncio.CancelledError:
            self.cancelled.append(path)
            raise
        self.ended.append(path)
        self.order.append(f'end {path}')
        return caller_response.CallerResponse(
            200, (), path.encode() + request.body
        )

    async def __aenter__(self):
        application = caller_connection.Application(
            handle=self.handle,
            may_run_concurrently=lambda head: head.method == 'GET',
            limits=lambda: self.limits,
            is_up_to_date=lambda: self.up_to_date,
            names=caller_request.HeaderNames(),
            record_refusal=lambda refusal, request_id: self.refusals.append(
                (refusal.status, request_id)
            ),
        )
        self.memory = response_memory.ResponseMemory(
            limit_bytes=RESPONSE_LIMIT_BYTES
        )
        self.server = caller_connection.CallerServer(
            application=application, max_connections=4, memory=self.memory
        )
        self.server.listen(0, '127.0.0.1')
        sockets = list(self.server._sockets.values())
        self.port = sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_details):
        self.server.stop()

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)


def request_bytes(path, method='GET', body=b'', extra=''):
    length = f'Content-Length: {len(body)}\r\n' if body else ''
    head = f'{method} {path} HTTP/1.1\r\nHost: a\r\n{length}{extra}\r\n'
    return head.encode() + body


async def read_response(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    length = 0
    for line in head.lower().split('\r\n'):
        if line.startswith('content-length:'):
            length = int(line.partition(':')[2])
    return head, await reader.readexactly(length)


async def read_final(reader):
    """Return the next response that is not an interim one."""
    while True:
        head, body = await read_response(reader)
        if not head.startswith('HTTP/1.1 1'):
            return head, body


def finish_at_next_read(server):
    """Finish a server once it has read from its only connection.

    That is before the tasks that wait for these bytes continue.
    """
    (connection,) = server.connections
    stream = connection.stream
    read_from_fd = stream.read_from_fd

    def read_and_finish(buffer):
        count = read_from_fd(buffer)
        if count:
            server.draining = True
            asyncio.get_running_loop().call_soon(server.finish)
        return count

    stream.read_from_fd = read_and_finish


class TestOrder:
    """Requests run concurrently, and responses keep their order."""

    def test_pipelined_requests_run_concurrently(self):
        async def run():
            async with ScriptedApplication(
                {'/1': 0.15, '/2': 0.1}
            ) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1') + request_bytes('/2'))
                bodies = [(await read_response(reader))[1] for _ in range(2)]
                writer.close()
                return bodies, application.ended

        bodies, ended = asyncio.run(run())
        assert bodies == [b'/1', b'/2']
        assert ended == ['/2', '/1']

    def test_non_idempotent_request_waits_for_earlier_ones(self):
        async def run():
            async with ScriptedApplication({'/1': 0.1}) as application:
                reader, writer = await application.connect()
                writer.write(
                    request_bytes('/1')
                    + request_bytes('/2', 'POST', b'x')
                    + request_bytes('/3')
                )
                bodies = [(await read_response(reader))[1] for _ in range(3)]
                writer.close()
                return bodies, application.order

        bodies, order = asyncio.run(run())
        assert bodies == [b'/1', b'/2x', b'/3']
        assert order.index('end /1') < order.index('begin /2')

    def test_requests_after_connection_close_are_not_run(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(
                    request_bytes('/1', extra='Connection: close\r\n')
                    + request_bytes('/2')
                )
                head, _ = await read_response(reader)
                rest = await reader.read()
                return head, rest, application.started

        head, rest, started = asyncio.run(run())
        assert 'Connection: close' in head
        assert (rest, started) == (b'', ['/1'])

    def test_draining_server_finishes_requests_and_closes(self):
        async def run():
            async with ScriptedApplication({'/1': 0.1}) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                await asyncio.sleep(0.05)
                application.server.draining = True
                head, body = await read_response(reader)
                return head, body, await reader.read()

        head, body, rest = asyncio.run(run())
        assert (body, rest) == (b'/1', b'')
        assert 'Connection: close' in head

    # A caller that always had a request behind the running one kept its
    # connection open until the process ended, which cut its last requests.
    def test_finishing_server_runs_no_request_behind_a_running_one(self):
        async def run():
            async with ScriptedApplication({'/1': 0.2}) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                await asyncio.sleep(0.05)
                application.server.draining = True
                application.server.finish()
                writer.write(request_bytes('/2'))
                head, body = await read_response(reader)
                rest = await reader.read()
                writer.close()
                return head, body, rest, application.started

        head, body, rest, started = asyncio.run(run())
        assert (body, rest, started) == (b'/1', b'', ['/1'])
        assert 'Connection: close' in head

    # Guards against closing a connection whose request the process has read
    # already: the caller cannot tell that it was not run.
    def test_finishing_server_runs_a_request_that_it_has_just_read(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                await read_response(reader)
                finish_at_next_read(application.server)
                writer.write(request_bytes('/2'))
                head, body = await read_response(reader)
                rest = await reader.read()
                writer.close()
                return head, body, rest

        head, body, rest = asyncio.run(run())
        assert (body, rest) == (b'/2', b'')
        assert 'Connection: close' in head

    def test_finishing_server_completes_a_request_that_has_begun(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                request = request_bytes('/1')
                writer.write(request[:10])
                await asyncio.sleep(0.05)
                application.server.draining = True
                application.server.finish()
                writer.write(request[10:])
                _, body = await read_response(reader)
                rest = await reader.read()
                writer.close()
                return body, rest

        assert asyncio.run(run()) == (b'/1', b'')


class TestCallerDisconnects:
    """Requests of a caller that closed its connection are cancelled."""

    @pytest.mark.parametrize('extra', ['', 'Connection: close\r\n'])
    def test_running_request_is_cancelled(self, extra):
        async def run():
            async with ScriptedApplication({'/1': 5}) as application:
                _, writer = await application.connect()
                writer.write(request_bytes('/1', extra=extra))
                await asyncio.sleep(0.05)
                writer.close()
                await asyncio.sleep(0.1)
                # The end of the event loop cancels what still runs.
                return list(application.cancelled)

        assert asyncio.run(run()) == ['/1']

    # Guards against work for callers that have left, while nothing is read
    # from their connection.
    def test_request_before_a_waiting_one_is_cancelled(self):
        async def run():
            async with ScriptedApplication({'/1': 5}) as application:
                _, writer = await application.connect()
                writer.write(
                    request_bytes('/1') + request_bytes('/2', 'POST', b'y')
                )
                await asyncio.sleep(0.05)
                writer.close()
                await asyncio.sleep(0.1)
                # The end of the event loop cancels what still runs.
                return application.started, list(application.cancelled)

        assert asyncio.run(run()) == (['/1'], ['/1'])

    # Guards against requests that run, and waiting ones that are begun, long
    # after their caller has left, because bytes of a later request are unread.
    @pytest.mark.parametrize('first', ['GET', 'POST'])
    def test_unread_bytes_do_not_hide_that_the_caller_has_left(self, first):
        async def run():
            limits = configuration.CallerLimits()
            async with ScriptedApplication({'/1': 1.2}, limits) as application:
                _, writer = await application.connect()
                body = b'x' if first == 'POST' else b''
                writer.write(request_bytes('/1', first, body))
                writer.write(request_bytes('/2', 'POST', b'x'))
                await asyncio.sleep(0.1)
                for _ in range(2):
                    writer.write(request_bytes('/3', 'POST', b'x' * 100))
                    await asyncio.sleep(0.1)
                writer.close()
                await asyncio.sleep(1.5)
                return list(application.cancelled), list(application.started)

        assert asyncio.run(run()) == (['/1'], ['/1'])

    def test_request_with_incomplete_body_is_not_run(self):
        async def run():
            async with ScriptedApplication() as application:
                _, writer = await application.connect()
                writer.write(request_bytes('/1', 'POST', b'abc')[:-1])
                await asyncio.sleep(0.05)
                writer.close()
                await asyncio.sleep(0.05)
                return (
                    application.started,
                    application.server.buffered_bodies.size,
                )

        assert asyncio.run(run()) == ([], 0)


class TestBodies:
    """Bodies with a length or in chunks are read completely."""

    def test_chunked_body_is_read_completely(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                extra = 'Transfer-Encoding: chunked\r\n'
                writer.write(request_bytes('/1', 'POST', extra=extra))
                writer.write(b'3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\n')
                return (await read_response(reader))[1]

        assert asyncio.run(run()) == b'/1abcde'

    @pytest.mark.parametrize(
        'length, status', [(b'0000000003', 200), (b'0x3', 400), (b'+3', 400)]
    )
    def test_chunk_length_is_any_hexadecimal_number(self, length, status):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                extra = 'Transfer-Encoding: chunked\r\n'
                writer.write(request_bytes('/1', 'POST', extra=extra))
                writer.write(length + b'\r\nabc\r\n0\r\n\r\n')
                return (await read_response(reader))[0]

        assert asyncio.run(run()).startswith(f'HTTP/1.1 {status}')

    def test_interim_response_is_sent_when_expected(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                extra = 'Expect: 100-continue\r\n'
                data = request_bytes('/1', 'POST', b'ab', extra)
                writer.write(data[:-2])
                interim = await reader.readuntil(b'\r\n\r\n')
                writer.write(b'ab')
                return interim, (await read_response(reader))[1]

        interim, body = asyncio.run(run())
        assert interim.startswith(b'HTTP/1.1 100')
        assert body == b'/1ab'

    @pytest.mark.parametrize(
        'data, status',
        [
            (request_bytes('/1', 'POST', b'x' * 1001), 413),
            (
                request_bytes(
                    '/1', 'POST', extra='Transfer-Encoding: chunked\r\n'
                )
                + b'zz\r\n',
                400,
            ),
            (request_bytes('/1', extra='A: ' + 'x' * 1100 + '\r\n'), 431),
        ],
    )
    def test_invalid_request_is_refused_and_not_run(self, data, status):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(data)
                response = await reader.read()
                return response, application.started

        response, started = asyncio.run(run())
        assert started == []
        assert response.startswith(f'HTTP/1.1 {status}'.encode())
        assert b'Connection: close' in response


class TestRefusalRecords:
    """Refusals are recorded with the request id if the head has one."""

    # Guards against refusals that cannot be found from a request's id.
    @pytest.mark.parametrize(
        'path, method, body, extra, record',
        [
            ('/1', 'POST', b'x' * 1001, 'X-Request-Id: r7\r\n', (413, 'r7')),
            ('a', 'GET', b'', 'X-Request-Id: r7\r\n', (400, 'r7')),
            (
                '/1',
                'GET',
                b'',
                'X-Request-Id: r7\r\nA: ' + 'x' * 1100 + '\r\n',
                (431, 'r7'),
            ),
            ('/1', 'GET', b'', 'X-Request-Id: a b\r\nB ad: 1\r\n', (400, '')),
            ('/1', 'GET', b'', 'B ad: 1\r\n', (400, '')),
        ],
    )
    def test_refusal_is_recorded(self, path, method, body, extra, record):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                ok = request_bytes('/1', extra='X-Request-Id: r6\r\n')
                writer.write(ok + request_bytes(path, method, body, extra))
                await reader.read()
                return application.refusals

        assert asyncio.run(run()) == [record]


def chunked_bytes(path, method, body, extension, trailer):
    """Return a request whose body is sent in chunks of up to 300 bytes."""
    data = request_bytes(path, method, extra='Transfer-Encoding: chunked\r\n')
    for start in range(0, len(body), 300):
        chunk = body[start : start + 300]
        data += b'%X%b\r\n%b\r\n' % (len(chunk), extension, chunk)
    return data + b'0\r\n' + trailer + b'\r\n'


@st.composite
def proper_requests(draw):
    """Return the bytes of a request within the limits, and its body."""
    method = draw(st.sampled_from(['GET', 'POST', 'DELETE', 'PUT']))
    body = draw(st.sampled_from([b'', b'x', b'\r\n\r\nGET /', b'y' * 1000]))
    framing = draw(st.sampled_from(['length', 'chunked', 'interim']))
    if framing == 'chunked':
        extension = draw(st.sampled_from([b'', b';a=b', b' ; a="b"']))
        trailer = draw(st.sampled_from([b'', b'T: 1\r\n']))
        return chunked_bytes('/p', method, body, extension, trailer), body
    expect = 'Expect: 100-continue\r\n' if framing == 'interim' else ''
    data = request_bytes('/p', method, body, expect)
    # Empty lines before a request are ignored.
    return draw(st.sampled_from([b'', b'\r\n'])) + data, body


class TestProperRequests:
    """No sequence of valid requests on a connection is refused."""

    # Guards against taking a part of one request for the next, which would
    # end in 400, whatever the framing, the pipelining and the packets.
    @given(
        st.lists(proper_requests(), min_size=1, max_size=5),
        st.lists(st.integers(1, 6000), max_size=5),
    )
    @settings(max_examples=100, deadline=None)
    def test_every_request_gets_its_own_response(self, requests, cuts):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.transport.get_extra_info('socket').setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
                )
                data = b''.join(one for one, _ in requests)
                bounds = sorted({0, *cuts, len(data)})
                for start, end in itertools.pairwise(bounds):
                    writer.write(data[start:end])
                    await asyncio.sleep(0.001)
                return [await read_final(reader) for _ in requests]

        responses = asyncio.run(run())
        for (head, body), (_, expected) in zip(
            responses, requests, strict=True
        ):
            assert head.startswith('HTTP/1.1 200')
            assert body == b'/p' + expected


class TestProperForms:
    """Rare forms of a request are served.

    Guards against 400 for what HTTP/1.1 allows.
    """

    @pytest.mark.parametrize(
        'line',
        [
            'GET /1 HTTP/1.0',
            'GET http://A:80/1?q=/ HTTP/1.1',
            'GET /1?q=/a?b HTTP/1.1',
            'get /1 HTTP/1.1',
            'OPTIONS /1 HTTP/1.1',
            "!#$%&'*+-.^_`|~ /1 HTTP/1.1",
        ],
    )
    @pytest.mark.parametrize(
        'headers',
        [
            ('hOST:a:8080',),
            ('Host: \ta.\t ', 'X-Empty:', 'X-Tab:\ta\tb\t'),
            ('Host: a', 'X-Text: \xe9', 'X-Dup: 1', 'x-dup: 2'),
            ('Host: a', 'Content-Length: 000', 'Expect: 100-Continue'),
            ('Host: a', 'Connection: keep-alive, X-Hop', 'X-Hop: 1'),
            ('Host: a', 'Connection: Upgrade', 'Upgrade: h2c', 'TE: trailers'),
            ('Host: a', 'X-Deadline-Ms: soon', 'X-Request-Id: a b'),
        ],
    )
    def test_is_served(self, line, headers):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                head = '\r\n'.join((line, *headers, '', ''))
                writer.write(head.encode('latin-1'))
                return await read_final(reader), application.refusals

        (_, body), refusals = asyncio.run(run())
        assert (body, refusals) == (b'/1', [])

    @pytest.mark.parametrize(
        'size_line, end',
        [
            (b'3', b'0\r\n\r\n'),
            (b'0003 ;a="x;y" ; b', b'000;last\r\n\r\n'),
            (b'3;a', b'0\r\nT: 1\r\nContent-Length: 7\r\n\r\n'),
        ],
    )
    @pytest.mark.parametrize('coding', ['chunked', 'Chunked', '\tCHUNKED '])
    def test_chunked_body_is_read(self, size_line, end, coding):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                extra = f'Transfer-Encoding:{coding}\r\n'
                writer.write(request_bytes('/1', 'POST', extra=extra))
                writer.write(size_line + b'\r\nabc\r\n' + end)
                return (await read_response(reader))[1]

        assert asyncio.run(run()) == b'/1abc'


class TestLimits:
    """The published limits are the only ones on the size of a request."""

    # Guards against fixed limits beside the published one, which refused
    # proper requests with 431.
    @pytest.mark.parametrize(
        'extra',
        [
            'A: ' + 'x' * 20_000 + '\r\n',
            ''.join(f'A{number}: 1\r\n' for number in range(150)),
            'A' * 129 + ': 1\r\n',
        ],
        ids=['20 KB', '150 headers', 'long name'],
    )
    def test_head_within_published_limit_is_accepted(self, extra):
        async def run():
            limits = SHORT._replace(max_head_bytes=32_768)
            async with ScriptedApplication(limits=limits) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1', extra=extra))
                return (await read_response(reader))[1]

        assert asyncio.run(run()) == b'/1'

    # Guards against 400 by a limit on the length of the method.
    def test_method_within_published_limit_is_accepted(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1', 'M' * 33))
                return (await read_response(reader))[1]

        assert asyncio.run(run()) == b'/1'

    # Guards against 431 for headers within their limit because of the request
    # line, which is no header.
    @pytest.mark.parametrize('path', ['/1', '/' + 'p' * 1100])
    @pytest.mark.parametrize('surplus, status', [(0, 200), (1, 431)])
    def test_limit_of_the_headers_is_exact(self, path, surplus, status):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                empty = len('Host: a\r\nA: \r\n')
                padding = 'x' * (SHORT.max_head_bytes - empty + surplus)
                writer.write(request_bytes(path, extra=f'A: {padding}\r\n'))
                return (await read_response(reader))[0]

        assert asyncio.run(run()).startswith(f'HTTP/1.1 {status}')

    @pytest.mark.parametrize('surplus, status', [(0, 200), (1, 413)])
    @pytest.mark.parametrize('chunked', [True, False])
    def test_limit_of_the_body_is_exact(self, surplus, status, chunked):
        async def run():
            size = SHORT.max_body_bytes + surplus
            data = request_bytes('/1', 'POST', b'x' * size)
            if chunked:
                extra = 'Transfer-Encoding: chunked\r\n'
                data = request_bytes('/1', 'POST', extra=extra)
                data += b'%x\r\n%b\r\n0\r\n\r\n' % (size, b'x' * size)
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(data)
                return (await read_response(reader))[0]

        assert asyncio.run(run()).startswith(f'HTTP/1.1 {status}')


def unpublished_limits():
    """Return the limits of an instance that knows no configuration."""
    state = published.PublishedState(
        directory=registrations.Directory(clock=time.monotonic),
        clock=time.monotonic,
        rng=random.Random(1),
    )
    return state.limits


class TestUnpublishedLimits:
    """No request is denied by a limit that nobody has published."""

    # Guards against 431 and 413 from an instance that knows no configuration.
    @pytest.mark.parametrize(
        'extra',
        ['A: ' + 'x' * 17_000 + '\r\n', 'Content-Length: 67108865\r\n'],
        ids=['head', 'body'],
    )
    def test_request_over_a_default_limit_may_be_repeated(self, extra):
        async def run():
            limits = unpublished_limits()
            async with ScriptedApplication(limits=limits) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1', 'POST', extra=extra))
                return (await read_response(reader))[0], application.refusals

        head, refusals = asyncio.run(run())
        assert head.startswith('HTTP/1.1 503')
        assert 'Retry-After: ' in head
        assert [status for status, _ in refusals] == [503]

    def test_malformed_request_is_refused(self):
        async def run():
            limits = unpublished_limits()
            async with ScriptedApplication(limits=limits) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1', extra='A b: 1\r\n'))
                return (await read_response(reader))[0]

        assert asyncio.run(run()).startswith('HTTP/1.1 400')

    def test_connection_is_kept_for_the_default_timeout(self):
        async def run():
            limits = unpublished_limits()
            async with ScriptedApplication(limits=limits) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                head, _ = await read_response(reader)
                writer.write(request_bytes('/2'))
                return head, (await read_response(reader))[1]

        head, body = asyncio.run(run())
        assert 'Keep-Alive: timeout=15' in head
        assert body == b'/2'


class TestTrailers:
    """Trailers have the limit of a head.

    Guards against trailers without an end.
    """

    START = request_bytes('/1', 'POST', extra='Transfer-Encoding: chunked\r\n')

    def send(self, trailers):
        """Return what is received until the close, and the paths run."""

        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(self.START + b'2\r\nok\r\n0\r\n' + trailers)
                async with asyncio.timeout(2.0):
                    try:
                        received = await reader.read()
                    except ConnectionResetError:
                        received = b''
                writer.close()
                return received[:12], application.started

        return asyncio.run(run())

    @pytest.mark.parametrize(
        'trailers',
        [b'A: 1\r\n' * 150, b'A: ' + b'x' * 900 + b'\r\n'],
        ids=['lines', 'line'],
    )
    def test_trailers_within_the_limit_are_dropped(self, trailers):
        assert self.send(trailers + b'\r\n') == (b'HTTP/1.1 200', ['/1'])

    @pytest.mark.parametrize(
        'trailers',
        [b'A: 1\r\n' * 1000, b'A: ' + b'x' * 2000 + b'\r\n'],
        ids=['lines', 'line'],
    )
    def test_longer_trailers_are_refused(self, trailers):
        assert self.send(trailers) == (b'HTTP/1.1 431', [])

    def test_trailer_without_an_end_closes_the_connection(self):
        assert self.send(b'x' * 100_000) == (b'', [])


class TestOutdatedLimits:
    """No request is denied by limits that may have been replaced."""

    @pytest.mark.parametrize(
        'extra, status',
        [
            ('A: ' + 'x' * 1100 + '\r\n', 503),
            ('Content-Length: 1001\r\n', 503),
            ('A b: 1\r\n', 400),
        ],
        ids=['headers', 'body', 'malformed'],
    )
    def test_only_a_malformed_request_is_denied(self, extra, status):
        async def run():
            async with ScriptedApplication() as application:
                application.up_to_date = False
                reader, writer = await application.connect()
                writer.write(request_bytes('/1', 'POST', extra=extra))
                return (await read_response(reader))[0]

        assert asyncio.run(run()).startswith(f'HTTP/1.1 {status}')


class TestChangedLimits:
    """A kept connection follows the limits that are in force."""

    # Guards against judging a request by the limits that were in force when
    # the previous one on its connection ended: 413 and 431 for proper ones.
    @pytest.mark.parametrize(
        'data',
        [
            request_bytes('/1', 'POST', b'x' * 2000),
            request_bytes('/1', extra='A: ' + 'x' * 2000 + '\r\n'),
        ],
        ids=['body', 'head'],
    )
    def test_next_request_is_judged_by_the_new_limits(self, data):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                await read_response(reader)
                application.limits = SHORT._replace(
                    max_head_bytes=4096, max_body_bytes=4096
                )
                await asyncio.sleep(0.05)
                writer.write(data)
                return (await read_response(reader))[0]

        assert asyncio.run(run()).startswith('HTTP/1.1 200')

    # Guards against closing idle connections by an older, shorter timeout or
    # before the time that the last response announced.
    @pytest.mark.parametrize('first_s, then_s', [(0.8, 1.6), (1.6, 0.8)])
    def test_idle_connection_stays_open_for_the_longer_timeout(
        self, first_s, then_s
    ):
        async def run():
            limits = SHORT._replace(idle_timeout_s=first_s)
            # Waiting for the next request begins before the response.
            async with ScriptedApplication({'/1': 0.5}, limits) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                await read_response(reader)
                await asyncio.sleep(0.05)
                application.limits = SHORT._replace(idle_timeout_s=then_s)
                await asyncio.sleep(0.8 * max(first_s, then_s) - 0.05)
                writer.write(request_bytes('/2'))
                return (await read_response(reader))[1]

        assert asyncio.run(run()) == b'/2'


class TestTimeouts:
    """Idle and slow callers are disconnected; waiting ones are not."""

    @pytest.mark.parametrize('data', [b'', b'GET /1 HT'])
    def test_idle_or_slow_caller_is_disconnected(self, data):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                writer.write(data)
                return await asyncio.wait_for(reader.read(), 2)

        assert asyncio.run(run()) == b''

    def test_idle_caller_is_disconnected_after_a_response(self):
        async def run():
            async with ScriptedApplication({'/1': 0.1}) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                await read_response(reader)
                return await asyncio.wait_for(reader.read(), 2)

        assert asyncio.run(run()) == b''

    def test_kept_alive_connection_serves_another_request(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                bodies = []
                for path in ('/1', '/2'):
                    writer.write(request_bytes(path))
                    bodies.append((await read_response(reader))[1])
                    await asyncio.sleep(0.8 * SHORT.idle_timeout_s)
                return bodies

        assert asyncio.run(run()) == [b'/1', b'/2']

    def test_waiting_caller_is_not_idle(self):
        async def run():
            async with ScriptedApplication({'/1': 0.7}) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                return (await read_response(reader))[1]

        assert asyncio.run(run()) == b'/1'


class TestSlowBodies:
    """The time for a body is limited, however often some of it arrives."""

    # Guards against callers that hold bodies in memory for any time, so that
    # the common limit refuses the bodies of others with 503.
    def test_body_is_not_read_past_the_deadline_of_its_request(self):
        async def run():
            async with ScriptedApplication() as application:
                reader, writer = await application.connect()
                head = (
                    'POST /1 HTTP/1.1\r\nHost: a\r\n'
                    'X-Deadline-Ms: 300\r\nContent-Length: 900\r\n\r\n'
                )
                writer.write(head.encode())
                ended = asyncio.create_task(reader.read())
                for _ in range(20):
                    writer.write(b'x')
                    await asyncio.wait({ended}, timeout=0.1)
                    if ended.done():
                        return True
                writer.close()
                return False

        assert asyncio.run(run())


class RepeatingApplication(ScriptedApplication):
    """Application that keeps request bodies and returns one fixed body."""

    def __init__(self, body):
        super().__init__()
        self.body = body
        self.request_bodies = []

    async def handle(self, request):
        self.request_bodies.append(request.body)
        return caller_response.CallerResponse(200, (), self.body)


class TestIdleMemory:
    """An idle connection keeps neither its last request nor the response.

    Guards against a large response held for each idle connection.
    """

    def test_bodies_of_finished_requests_are_released(self):
        async def run():
            body = b'x' * 300_000
            references = sys.getrefcount(body)
            async with RepeatingApplication(body) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1', 'POST', b'y' * 900))
                await read_response(reader)
                await asyncio.sleep(0.05)
                kept = sys.getrefcount(body) - references
                kept_requests = sys.getrefcount(application.request_bodies[0])
                writer.close()
            # The application itself has one reference to the body.
            return kept - 1, kept_requests - 2

        assert asyncio.run(run()) == (0, 0)


class TestBlockedCallers:
    """Callers that do not read their responses hold a limited memory.

    Guards against responses that are held without a limit.
    """

    def test_largest_response_is_cut_and_others_are_whole(self):
        async def run():
            body = b'x' * 20_000_000
            async with RepeatingApplication(body) as application:
                memory = application.memory
                blocked, blocked_writer = await application.connect()
                blocked_writer.write(request_bytes('/1'))
                async with asyncio.timeout(2.0):
                    while not memory.total_bytes:
                        await asyncio.sleep(0.01)
                application.body = b'x' * 15_000_000
                reader, writer = await application.connect()
                writer.write(request_bytes('/2'))
                _, received = await read_response(reader)
                cut = await blocked.read()
                await asyncio.sleep(0.05)
                held_bytes = memory.total_bytes
                for open_writer in (writer, blocked_writer):
                    open_writer.close()
                return len(cut) < len(body), len(received), held_bytes

        assert asyncio.run(run()) == (True, 15_000_000, 0)

    def test_response_behind_another_is_counted_and_released(self):
        async def run():
            async with ScriptedApplication({'/slow': 9}) as application:
                _, writer = await application.connect()
                writer.write(request_bytes('/slow') + request_bytes('/2'))
                async with asyncio.timeout(2.0):
                    while not application.memory.total_bytes:
                        await asyncio.sleep(0.01)
                held_bytes = application.memory.total_bytes
                writer.close()
                await asyncio.sleep(0.1)
                return held_bytes, application.memory.total_bytes

        assert asyncio.run(run()) == (2, 0)


class TestAnnouncedClose:
    """A request is left unanswered only behind an announced close."""

    # Guards against closing the connection behind a response that was begun
    # before the shutdown and announced nothing, with the next request read.
    def test_request_behind_a_response_that_keeps_the_connection(self):
        async def run():
            async with RepeatingApplication(b'x' * 20_000_000) as application:
                reader, writer = await application.connect()
                writer.transport.pause_reading()
                writer.write(request_bytes('/1'))
                async with asyncio.timeout(2.0):
                    while not application.memory.total_bytes:
                        await asyncio.sleep(0.01)
                application.body = b'y'
                application.server.draining = True
                application.server.finish()
                writer.write(request_bytes('/2') + request_bytes('/3'))
                await asyncio.sleep(0.1)
                writer.transport.resume_reading()
                responses = [await read_response(reader) for _ in range(2)]
                rest = await reader.read()
                writer.close()
                return responses, rest

        responses, rest = asyncio.run(run())
        closes = ['Connection: close' in head for head, _ in responses]
        assert (closes, rest) == ([False, True], b'')


class TestSilentCallers:
    """Callers that take nothing of their responses are disconnected.

    Guards against connections and responses that are held until the kernel
    gives up, a quarter of an hour after a caller lost power.
    """

    def test_connection_ends_when_nothing_is_acknowledged(self, monkeypatch):
        monkeypatch.setattr(caller_connection, 'ACKNOWLEDGE_TIMEOUT_S', 1.0)

        async def run():
            async with RepeatingApplication(b'x' * 20_000_000) as application:
                _, writer = await application.connect()
                writer.transport.pause_reading()
                writer.write(request_bytes('/1'))
                async with asyncio.timeout(2.0):
                    while not application.memory.total_bytes:
                        await asyncio.sleep(0.01)
                async with asyncio.timeout(10.0):
                    while application.server.connections:
                        await asyncio.sleep(0.05)
                held_bytes = application.memory.total_bytes
                writer.close()
                return held_bytes

        assert asyncio.run(run()) == 0


class TestBodiesOfRunningRequests:
    """Bodies count for their common limit until their requests end.

    Guards against bodies that are held without a limit while servers are
    slow.
    """

    def test_body_beyond_the_limit_is_refused(self, monkeypatch):
        monkeypatch.setattr(request_body, 'MAX_BUFFERED_BYTES', 1500)

        async def send(application, path):
            reader, writer = await application.connect()
            writer.write(request_bytes(path, 'POST', b'y' * 900))
            head, _ = await read_response(reader)
            writer.close()
            return head.split(' ')[1]

        async def run():
            async with ScriptedApplication({'/1': 0.3}) as application:
                running = asyncio.create_task(send(application, '/1'))
                async with asyncio.timeout(2.0):
                    while not application.started:
                        await asyncio.sleep(0.01)
                beside = await send(application, '/2')
                first = await running
                after = await send(application, '/3')
                held_bytes = application.server.buffered_bodies.size
                return first, beside, after, held_bytes, application.started

        assert asyncio.run(run()) == ('200', '503', '200', 0, ['/1', '/3'])

    # Guards against bodies that wait uncounted while an earlier request of
    # their connection runs.
    def test_body_of_a_waiting_request_counts(self):
        async def run():
            async with ScriptedApplication({'/1': 0.3}) as application:
                buffered = application.server.buffered_bodies
                sizes = []
                reader, writer = await application.connect()
                writer.write(
                    request_bytes('/1') + request_bytes('/2', 'POST', b'y' * 9)
                )
                await asyncio.sleep(0.15)
                sizes.append((list(application.started), buffered.size))
                for _ in range(2):
                    await read_response(reader)
                sizes.append((list(application.started), buffered.size))
                writer.close()
                return sizes

        assert asyncio.run(run()) == [(['/1'], 9), (['/1', '/2'], 0)]

    # Guards against bodies that are counted for ever.
    @pytest.mark.parametrize('first', ['GET', 'POST'])
    def test_bodies_of_a_caller_that_disconnects_count_no_more(self, first):
        async def run():
            async with ScriptedApplication({'/1': 9, '/2': 9}) as application:
                buffered = application.server.buffered_bodies
                _, writer = await application.connect()
                writer.write(
                    request_bytes('/1', first, b'y' * 5)
                    + request_bytes('/2', first, b'y' * 5)
                )
                await asyncio.sleep(0.15)
                held_bytes = buffered.size
                writer.close()
                await asyncio.sleep(0.1)
                return held_bytes, buffered.size

        assert asyncio.run(run()) == (10, 0)

"""Tests of the requests that caller connections accept or refuse."""

import asyncio
import itertools
import random
import socket
import time

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from caller_harness import read_final
from caller_harness import read_response
from caller_harness import request_bytes
from caller_harness import ScriptedApplication
from caller_harness import SHORT
from citronshelf_instance import published
from citronshelf_instance import registrations


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

"""Tests of bodies of requests on caller connections."""

import asyncio

import pytest

from caller_harness import read_response
from caller_harness import request_bytes
from caller_harness import ScriptedApplication
from citronshelf_instance import request_body


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

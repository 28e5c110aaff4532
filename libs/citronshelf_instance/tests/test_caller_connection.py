"""Tests of caller connections, over real sockets."""

import asyncio
import sys

import pytest

from caller_harness import read_response
from caller_harness import RepeatingApplication
from caller_harness import request_bytes
from caller_harness import ScriptedApplication
from caller_harness import SHORT
from citronshelf_instance import caller_connection
from citronshelf_instance import configuration


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

    # Guards against the same behind the last request of a connection.
    @pytest.mark.parametrize('behind', [b'', b'x' * 100])
    def test_bytes_behind_the_last_request_hide_nothing(self, behind):
        async def run():
            async with ScriptedApplication({'/1': 5}) as application:
                _, writer = await application.connect()
                extra = 'Connection: close\r\n'
                writer.write(request_bytes('/1', extra=extra) + behind)
                await asyncio.sleep(0.1)
                writer.close()
                await asyncio.sleep(1.0)
                # The end of the event loop cancels what still runs.
                return list(application.cancelled)

        assert asyncio.run(run()) == ['/1']

    # Guards against callers that are taken for gone while they wait.
    def test_waiting_caller_with_unread_bytes_is_served(self):
        async def run():
            limits = configuration.CallerLimits()
            async with ScriptedApplication({'/1': 0.7}, limits) as application:
                reader, writer = await application.connect()
                writer.write(request_bytes('/1'))
                writer.write(request_bytes('/2', 'POST', b'x'))
                await asyncio.sleep(0.1)
                writer.write(request_bytes('/3', 'POST', b'y'))
                bodies = [(await read_response(reader))[1] for _ in range(3)]
                writer.close()
                return bodies

        assert asyncio.run(run()) == [b'/1', b'/2x', b'/3y']

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

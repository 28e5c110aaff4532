"""Tests of the graceful shutdown, over real sockets."""

import asyncio
import contextlib
import time

import pytest

from caller_harness import read_response
from caller_harness import RepeatingApplication
from caller_harness import request_bytes
from caller_harness import ScriptedApplication
from caller_harness import SHORT
from citronshelf_instance import request_handler
from citronshelf_instance import shutdown
import test_request_handler

PATIENT = SHORT._replace(head_timeout_s=10.0, idle_timeout_s=10.0)
TABLE = {'accept_s': 0.2, 'grace_s': 3.3}


def ignore():
    """Leave the running requests as they are."""


def start_shutdown(server, *, grace_s):
    """Shut a server down in a task that ends its running requests."""
    table = {'accept_s': 0.1, 'grace_s': grace_s}
    return asyncio.create_task(
        shutdown.shut_down(server, table, server.end_requests)
    )


class TestCallers:
    """The shutdown ends once each caller has its responses."""

    # A caller that pipelines kept the instance running until the platform
    # killed it, and lost the responses to its last requests.
    def test_pipelining_caller_does_not_delay_the_end(self):
        async def send(writer):
            while True:
                writer.write(request_bytes('/1'))
                await asyncio.sleep(0.05)

        async def run():
            async with ScriptedApplication({'/1': 0.2}, PATIENT) as app:
                reader, writer = await app.connect()
                sender = asyncio.create_task(send(writer))
                await asyncio.sleep(0.3)
                async with asyncio.timeout(1.5):
                    await shutdown.shut_down(app.server, TABLE, ignore)
                sender.cancel()
                responses = 0
                with contextlib.suppress(
                    asyncio.IncompleteReadError, ConnectionError
                ):
                    while True:
                        await read_response(reader)
                        responses += 1
                writer.close()
                return responses, app

        responses, app = asyncio.run(run())
        assert responses == len(app.started) == len(app.ended)

    def test_new_connections_are_accepted_for_a_time(self):
        async def run():
            async with ScriptedApplication() as app:
                ending = asyncio.create_task(
                    shutdown.shut_down(app.server, TABLE, ignore)
                )
                await asyncio.sleep(0.1)
                reader, writer = await app.connect()
                writer.write(request_bytes('/1'))
                _, body = await read_response(reader)
                await ending
                writer.close()
                return body

        assert asyncio.run(run()) == b'/1'

    # An exit with unread bytes resets the connection, which may discard the
    # response before it.
    def test_waits_for_a_caller_to_close_its_connection(self):
        async def run():
            async with ScriptedApplication({'/1': 0.4}) as app:
                reader, writer = await app.connect()
                writer.write(request_bytes('/1'))
                ending = asyncio.create_task(
                    shutdown.shut_down(app.server, TABLE, ignore)
                )
                await asyncio.sleep(0.3)
                writer.write(request_bytes('/2'))
                _, body = await read_response(reader)
                await asyncio.sleep(0.1)
                ended_before = ending.done()
                writer.close()
                async with asyncio.timeout(0.5):
                    await ending
                return ended_before, body, app.started

        assert asyncio.run(run()) == (False, b'/1', ['/1'])

    # Callers that keep a closing connection open delayed each end by a second.
    def test_does_not_wait_for_callers_that_never_close(self):
        async def run():
            async with ScriptedApplication() as app:
                reader, writer = await app.connect()
                app.server.draining = True
                writer.write(request_bytes('/1'))
                await read_response(reader)
                began_s = time.monotonic()
                await shutdown.shut_down(app.server, TABLE, ignore)
                writer.close()
                return time.monotonic() - began_s

        assert asyncio.run(run()) < 0.7

    def test_stays_within_the_grace_period(self):
        table = {'accept_s': 3.0, 'grace_s': 0.6}
        ended = []

        async def run():
            async with ScriptedApplication({'/1': 5.0}) as app:
                _, writer = await app.connect()
                writer.write(request_bytes('/1'))
                await asyncio.sleep(0.05)
                began_s = time.monotonic()
                await shutdown.shut_down(
                    app.server, table, lambda: ended.append(1)
                )
                writer.close()
                return time.monotonic() - began_s

        assert 0.5 <= asyncio.run(run()) < 1.0
        assert ended == [1]


class TestLateRequests:
    """Requests that become complete late in the grace period are not run."""

    # Guards against requests that are passed on late in the grace period and
    # cut at its end: their callers learn nothing, and must not repeat some.
    @pytest.mark.parametrize('method', ['GET', 'POST'])
    def test_request_whose_body_ends_late_is_refused(self, method):
        request = request_bytes('/1', method, b'body', 'X-Request-Id: r1\r\n')

        async def run():
            async with ScriptedApplication({'/1': 9.0}, PATIENT) as app:
                reader, writer = await app.connect()
                writer.write(request[:-1])
                ending = start_shutdown(app.server, grace_s=1.2)
                await asyncio.sleep(0.6)
                writer.write(request[-1:])
                head, _ = await read_response(reader)
                rest = await reader.read()
                writer.close()
                await ending
                return head, rest, app

        head, rest, app = asyncio.run(run())
        assert head.startswith('HTTP/1.1 503 ')
        assert 'Connection: close' in head
        assert (rest, app.started, app.refusals) == (b'', [], [(503, 'r1')])

    # The same for a request that waits behind a large response which was begun
    # as one that keeps the connection open.
    def test_request_behind_a_response_in_progress_is_refused(self):
        async def run():
            app = RepeatingApplication(b'x' * 12_000_000)
            async with app:
                reader, writer = await app.connect()
                writer.write(request_bytes('/1', extra='X-Request-Id: r1\r\n'))
                await asyncio.sleep(0.1)
                ending = start_shutdown(app.server, grace_s=3.0)
                await asyncio.sleep(0.3)
                writer.write(request_bytes('/2', extra='X-Request-Id: r2\r\n'))
                await read_response(reader)
                with contextlib.suppress(asyncio.IncompleteReadError):
                    head, _ = await read_response(reader)
                    assert head.startswith('HTTP/1.1 503 ')
                writer.close()
                await ending
                return len(app.request_bodies)

        assert asyncio.run(run()) == 1


class TestRequestsWithoutState:
    """Requests that wait for the first state end with a response."""

    # Guards against a connection that closes with a request read and not
    # answered, though it certainly did not run.
    def test_waiting_request_is_answered_at_the_end(self, monkeypatch):
        monkeypatch.setattr(request_handler, 'FIRST_READ_WAIT_S', 5.0)

        async def run():
            handler = test_request_handler.make_handler(snapshot=None)
            async with ScriptedApplication() as app:
                app.server.application = app.server.application._replace(
                    handle=handler.handle
                )
                reader, writer = await app.connect()
                writer.write(request_bytes('/1'))
                await asyncio.sleep(0.05)
                handler.forwarder.ending = True
                await shutdown.shut_down(
                    app.server,
                    {'accept_s': 0.1, 'grace_s': 1.2},
                    app.server.end_requests,
                )
                status_line = await reader.readline()
                writer.close()
                return status_line

        assert asyncio.run(run()).startswith(b'HTTP/1.1 503 ')

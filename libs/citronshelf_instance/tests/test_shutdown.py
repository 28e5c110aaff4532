"""Tests of the graceful shutdown, over real sockets."""

import asyncio
import contextlib

from citronshelf_instance import shutdown
from test_caller_connection import read_response
from test_caller_connection import request_bytes
from test_caller_connection import ScriptedApplication
from test_caller_connection import SHORT

PATIENT = SHORT._replace(head_timeout_s=10.0, idle_timeout_s=10.0)
TABLE = {'accept_s': 0.2, 'end_s': 3.0}


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
                    await shutdown.shut_down(app.server, TABLE)
                sender.cancel()
                responses = 0
                with contextlib.suppress(
                    asyncio.IncompleteReadError, ConnectionError
                ):
                    while True:
                        await read_response(reader)
                        responses += 1
                return responses, app

        responses, app = asyncio.run(run())
        assert responses == len(app.started) == len(app.ended)

"""Tests of single attempts at scripted servers."""

import asyncio

import pytest

import attempt_builders
from citronshelf_entry import classify
from citronshelf_entry import upstream

REFUSAL = b'HTTP/1.1 503 No\r\nX-Not-Run: shed\r\nContent-Length: 0\r\n'


class TestRefusal:
    """A refusal counts as not run only if it belongs to the request."""

    # Guards against "not run" for a request that runs, when the server writes
    # its refusal of an earlier request once more on a kept connection.
    @pytest.mark.parametrize(
        'first_id, second_id, expected',
        [
            (b'', b'', classify.ExecutionStatus.UNKNOWN),
            (b'r0', b'r0', classify.ExecutionStatus.UNKNOWN),
            (b'r0', b'r1', classify.ExecutionStatus.NOT_RUN),
        ],
        ids=['no id', 'id of the earlier request', 'own id'],
    )
    def test_repeated_refusal(
        self, raw_server, upstream_request, first_id, second_id, expected
    ):
        def refusal(request_id):
            line = b'X-Request-Id: ' + request_id + b'\r\n'
            return REFUSAL + (line if request_id else b'') + b'\r\n'

        async def script(server, _head, writer):
            is_first = len(server.heads) == 1
            writer.write(refusal(first_id if is_first else second_id))
            await writer.drain()

        async def run():
            client = upstream.UpstreamClient()
            async with raw_server(script) as server:
                for request_id in ('r0', 'r1'):
                    attempt = attempt_builders.make_attempt(
                        client,
                        server,
                        upstream_request,
                        idempotent=True,
                        request_id=request_id,
                    )
                    result = await attempt.result(read_all=True)
            client.close()
            return result, server

        result, server = asyncio.run(run())
        assert server.connections == 1
        assert result.execution is expected

    def test_refusal_on_a_new_connection_needs_no_id(
        self, raw_server, scripts, upstream_request
    ):
        async def run():
            client = upstream.UpstreamClient()
            async with raw_server(scripts(REFUSAL + b'\r\n')) as server:
                attempt = attempt_builders.make_attempt(
                    client, server, upstream_request, new_connection=True
                )
                result = await attempt.result(read_all=True)
            client.close()
            return result

        result = asyncio.run(run())
        assert result.execution is classify.ExecutionStatus.NOT_RUN
        assert result.shed

"""Tests of the limit on the bytes held for all responses."""

import asyncio
import sys

import pytest
import zmq

import attempt_builders
from citronshelf_entry import body_buffer
from citronshelf_entry import daemon
from citronshelf_entry import exchange
from citronshelf_entry import response_memory
from citronshelf_entry import upstream

LIMIT_BYTES = 1000


class FakeHolder:
    """Holder that records whether it was ended."""

    def __init__(self, *, known_length=False):
        self.request_id = 'r'
        self.known_length = known_length
        self.dropped = False

    def has_known_length(self):
        return self.known_length

    def drop_for_memory(self):
        self.dropped = True


def fill(*sizes_and_kinds):
    """Add holders in turn; return the memory, the holders and the drops."""
    drops = []
    memory = response_memory.ResponseMemory(
        limit_bytes=LIMIT_BYTES,
        on_drop=lambda holder, size: drops.append((holder, size)),
    )
    holders = []
    for size, known_length in sizes_and_kinds:
        holder = FakeHolder(known_length=known_length)
        holders.append(holder)
        memory.add(holder, size)
    return memory, holders, drops


class TestLimit:
    """Above the limit, the holder of most bytes is ended."""

    def test_all_fit_at_the_limit(self):
        memory, _, drops = fill((600, False), (400, True))
        assert memory.total_bytes == LIMIT_BYTES
        assert drops == []

    def test_largest_is_ended(self):
        memory, holders, drops = fill((100, False), (700, False), (300, False))
        assert drops == [(holders[1], 700)]
        assert [holder.dropped for holder in holders] == [False, True, False]
        assert memory.total_bytes == 400

    def test_holder_that_exceeds_the_limit_may_be_ended_itself(self):
        memory, holders, drops = fill((400, False), (601, False))
        assert drops == [(holders[1], 601)]
        assert memory.total_bytes == 400

    @pytest.mark.parametrize(
        'known_bytes, ended', [(600, [False, True]), (900, [True, False])]
    )
    def test_unknown_length_is_ended_first_unless_much_smaller(
        self, known_bytes, ended
    ):
        unknown_bytes = LIMIT_BYTES + 1 - known_bytes
        _, holders, _ = fill((known_bytes, True), (unknown_bytes, False))
        assert [holder.dropped for holder in holders] == ended

    def test_as_many_are_ended_as_needed(self):
        _, holders, _ = fill((450, False), (500, False), (900, True))
        assert [holder.dropped for holder in holders] == [True, True, False]

    def test_released_bytes_are_counted_no_more(self):
        memory, holders, drops = fill((900, False))
        memory.release(holders[0])
        memory.release(holders[0])
        memory.add(FakeHolder(), 900)
        assert memory.total_bytes == 900
        assert drops == []


class TestBodyBuffer:
    """Bodies keep their bytes, at a cost in proportion to them."""

    @pytest.mark.parametrize('piece_bytes', [1, 7, 16_384, 40_000, 200_000])
    def test_bytes_are_kept_in_order(self, piece_bytes):
        data = bytes(range(256)) * 4000
        buffer = body_buffer.BodyBuffer()
        for start in range(0, len(data), piece_bytes):
            buffer.append(data[start : start + piece_bytes])
        assert buffer.size == len(data)
        assert buffer.take() == data
        assert (buffer.size, buffer.take()) == (0, b'')

    # Guards against objects of 34 to 40 bytes for each piece of a few bytes.
    @pytest.mark.parametrize('piece_bytes', [1, 7, 16_384])
    def test_memory_is_proportional_to_bytes(self, piece_bytes):
        buffer = body_buffer.BodyBuffer()
        for _ in range(1_000_000 // piece_bytes):
            buffer.append(b'x' * piece_bytes)
        held_bytes = sys.getsizeof(buffer.segments)
        held_bytes += sum(map(sys.getsizeof, buffer.segments))
        assert held_bytes < 1.25 * buffer.size


class TestAttempts:
    """What an attempt reads counts until it is passed on or cancelled.

    Guards against responses that are held without a limit over all of them.
    """

    CHUNKED = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    CHUNK = b'10000\r\n' + b'a' * 65_536 + b'\r\n'
    WHOLE = CHUNKED + 5 * CHUNK + b'0\r\n\r\n'

    def run(self, raw_server, upstream_request, script, scenario, limit):
        """Run a scenario with a function that starts attempts."""

        async def run():
            memory = response_memory.ResponseMemory(limit_bytes=limit)
            client = upstream.UpstreamClient(memory=memory)
            async with raw_server(script) as server:

                def start():
                    return attempt_builders.make_attempt(
                        client, server, upstream_request
                    )

                result = await scenario(memory, start)
            client.close()
            return result

        return asyncio.run(run())

    def test_whole_response_counts_no_more(
        self, raw_server, upstream_request, scripts
    ):
        async def scenario(memory, start):
            result = await start().result(read_all=True)
            return len(result.body), memory.total_bytes

        assert self.run(
            raw_server,
            upstream_request,
            scripts(self.WHOLE),
            scenario,
            10_000_000,
        ) == (5 * 65_536, 0)

    def test_cancelled_attempt_counts_no_more(
        self, raw_server, upstream_request, scripts
    ):
        async def scenario(memory, start):
            attempt = start()
            attempt.exchange.collecting = True
            async with asyncio.timeout(5.0):
                while not attempt.exchange.ended:
                    await asyncio.sleep(0.01)
            held_bytes = memory.total_bytes
            attempt.cancel()
            return held_bytes, memory.total_bytes

        assert self.run(
            raw_server,
            upstream_request,
            scripts(self.WHOLE),
            scenario,
            10_000_000,
        ) == (5 * 65_536, 0)

    def test_endless_responses_end_for_memory(
        self, raw_server, upstream_request
    ):
        async def script(_server, _head, writer):
            writer.write(self.CHUNKED)
            while not writer.is_closing():
                writer.write(self.CHUNK)
                await writer.drain()

        async def scenario(memory, start):
            results = await asyncio.gather(
                *(start().result(read_all=True) for _ in range(4))
            )
            return {result.reason for result in results}, memory.total_bytes

        assert self.run(
            raw_server, upstream_request, script, scenario, 500_000
        ) == ({exchange.MEMORY_FULL}, 0)


class TestDaemon:
    """The daemon limits the responses of all its exchanges together."""

    def test_client_has_the_limit(self):
        async def run():
            public, secret = zmq.curve_keypair()
            entry = daemon.EntryDaemon(
                settings={
                    'instance': {
                        'name': 'i',
                        'region': 'r',
                        'zone': 'z',
                        'store_region': 'r',
                        'region_link_megabits': 30,
                    },
                    'control': {'local': '127.0.0.1:1'},
                    'entry': {'forward': '127.0.0.1:2'},
                    'secrets': {
                        'key_signing': '00' * 32,
                        'curve_public': public.decode(),
                        'curve_secret': secret.decode(),
                    },
                }
            )
            limit_bytes = entry.client.memory.limit_bytes
            entry.client.close()
            entry.authenticator.stop()
            entry.context.destroy(linger=0)
            return limit_bytes

        assert asyncio.run(run()) == daemon.MAX_RESPONSE_MEMORY_BYTES

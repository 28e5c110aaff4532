"""Tests of servers that send bytes without an end, over real sockets."""

import asyncio
import time

import pytest

from citronshelf_common import outcomes
from citronshelf_entry import exchange
from citronshelf_entry import response_memory
from citronshelf_instance import evidence
import endless_streams
import test_forwarding

# Half of the time that a caller waits, so that another server has the rest.
KNOWN_WITHIN_S = 2.0
TIMEOUT_S = 2 * KNOWN_WITHIN_S
# A server must not be at work for longer than this after the request ended.
CLOSE_WITHIN_S = 0.5
# No response is overdue before the request times out, so that only the end of
# the first exchange makes the forwarder use another server.
NEVER_OVERDUE_S = 10.0
SLOW_PAUSE_S = 0.05
SMALL_LIMIT_BYTES = 1024 * 1024

INVALID = pytest.mark.parametrize('name', list(endless_streams.INVALID))
SURPLUS = pytest.mark.parametrize('name', list(endless_streams.SURPLUS))


class EndlessServers(test_forwarding.ScriptedServers):
    """Scripted servers that send a ``Stream`` until the connection closes.

    Attributes
    ----------
    pause_s : float
        Time between repetitions of a stream.
    closed_s : list of float
        Times at which senders of streams noticed the close.
    """

    pause_s = 0.0

    def __init__(self, scripts):
        super().__init__(scripts)
        self.closed_s = []

    async def serve(self, number, reader, writer):
        script = self.scripts[number]
        if not isinstance(script, endless_streams.Stream):
            await super().serve(number, reader, writer)
            return
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append((number, head.decode()))
        try:
            closed_s = await endless_streams.send(
                writer, script, b'X-Signature: s', self.pause_s
            )
            self.closed_s.append(closed_s)
        finally:
            writer.close()


class EndlessHarness(test_forwarding.Harness):
    """Forwarder to servers of which the first sends without an end.

    Attributes
    ----------
    limit_bytes : int
        Limit on the bytes that are held for all responses.
    """

    def __init__(self, stream, *, pause_s=0.0, limit_bytes=1 << 30):
        super().__init__(stream, test_forwarding.GOOD)
        self.servers = EndlessServers([stream, test_forwarding.GOOD])
        self.servers.pause_s = pause_s
        self.limit_bytes = limit_bytes

    async def __aenter__(self):
        await super().__aenter__()
        self.client.memory = response_memory.ResponseMemory(
            limit_bytes=self.limit_bytes
        )
        return self

    async def run(self, *, timeout_s=TIMEOUT_S, **route):
        request = test_forwarding.make_request(deadline_s=timeout_s)
        return await super().run(
            request,
            timeout_s=timeout_s,
            target_latency_s=NEVER_OVERDUE_S,
            **route,
        )


async def closed_after(servers, ended_s):
    """Return the seconds until the server noticed the close."""
    async with asyncio.timeout(TIMEOUT_S):
        while not servers.closed_s:
            await asyncio.sleep(0.01)
    return servers.closed_s[0] - ended_s


def forward(stream, **route):
    """Forward a request.

    Returns the outcome, the seconds until it was known, the seconds from then
    until the server noticed the close, and the servers that were used.
    """

    async def run():
        async with EndlessHarness(stream) as harness:
            started_s = time.monotonic()
            outcome = await harness.run(**route)
            ended_s = time.monotonic()
            close_s = await closed_after(harness.servers, ended_s)
            used = [number for number, _ in harness.servers.heads]
            return outcome, ended_s - started_s, close_s, used

    return asyncio.run(run())


class TestInvalidResponses:
    """No valid response can come; the request ends as soon as that shows.

    Guards against requests that were held until their deadline.
    """

    @INVALID
    def test_idempotent_request_gets_response_of_another_server(self, name):
        outcome, known_s, _, used = forward(endless_streams.INVALID[name])
        assert (outcome.status, outcome.body) == (200, b'ok')
        assert known_s < KNOWN_WITHIN_S
        assert used == [0, 1]

    @INVALID
    def test_non_idempotent_request_ends_without_a_retry(self, name):
        outcome, known_s, _, used = forward(
            endless_streams.INVALID[name], idempotent=False
        )
        assert isinstance(outcome, outcomes.Unknown)
        assert outcome.reason != 'timeout'
        assert known_s < KNOWN_WITHIN_S
        assert used == [0]

    @INVALID
    def test_connection_is_closed(self, name):
        _, _, close_s, _ = forward(
            endless_streams.INVALID[name], idempotent=False
        )
        assert close_s < CLOSE_WITHIN_S


class TestSurplus:
    """Surplus bytes after a complete response belong to no request.

    Guards against a complete response that is lost, or held, or mixed with
    what follows it.
    """

    @SURPLUS
    @pytest.mark.parametrize('idempotent', [True, False])
    def test_response_is_passed_on_and_connection_closed(
        self, name, idempotent
    ):
        outcome, known_s, close_s, used = forward(
            endless_streams.SURPLUS[name], idempotent=idempotent
        )
        assert (outcome.status, outcome.body) == (200, b'ok')
        assert known_s < KNOWN_WITHIN_S
        assert close_s < CLOSE_WITHIN_S
        assert used == [0]


class TestBodilessResponses:
    """A response that has no body by definition is complete with its head.

    Guards against bytes of a stream as the body of such a response.
    """

    @pytest.mark.parametrize('name', list(endless_streams.BODILESS))
    def test_response_has_no_body_and_connection_is_closed(self, name):
        stream = endless_streams.BODILESS[name]
        outcome, known_s, close_s, used = forward(stream, idempotent=False)
        assert str(outcome.status).encode() in stream.start
        assert outcome.body == b''
        assert known_s < KNOWN_WITHIN_S
        assert close_s < CLOSE_WITHIN_S
        assert used == [0]


class TestSlowStreams:
    """Streams so slow that they are still going on when the request ends."""

    @INVALID
    def test_connection_is_closed_at_the_deadline(self, name):
        async def run():
            stream = endless_streams.INVALID[name]
            slow = stream._replace(repeated=stream.repeated[:6])
            async with EndlessHarness(slow, pause_s=SLOW_PAUSE_S) as harness:
                outcome = await harness.run(timeout_s=0.4, idempotent=False)
                close_s = await closed_after(harness.servers, time.monotonic())
            return outcome, close_s

        outcome, close_s = asyncio.run(run())
        assert isinstance(outcome, outcomes.Unknown)
        assert close_s < CLOSE_WITHIN_S

    # Guards against bytes that stay counted, or a result before the deadline
    # for a response that may still become valid.
    @pytest.mark.parametrize(
        'name', ['status line', 'until close', 'huge chunk', 'trailer line']
    )
    def test_single_bytes_last_to_the_deadline_and_hold_little(self, name):
        async def run():
            stream = endless_streams.INVALID[name]
            slow = stream._replace(repeated=stream.repeated[:1])
            async with EndlessHarness(slow, pause_s=0.01) as harness:
                memory = harness.client.memory
                task = asyncio.create_task(
                    harness.run(timeout_s=0.4, idempotent=False)
                )
                await asyncio.sleep(0.2)
                held_bytes = memory.total_bytes
                outcome = await task
                return outcome, held_bytes, memory.total_bytes

        outcome, held_bytes, held_after_bytes = asyncio.run(run())
        assert outcome == outcomes.Unknown(reason='timeout')
        assert held_bytes <= 0.2 / 0.01
        assert held_after_bytes == 0

    @INVALID
    def test_connection_is_closed_when_the_caller_disconnects(self, name):
        async def run():
            stream = endless_streams.INVALID[name]
            slow = stream._replace(repeated=stream.repeated[:6])
            async with EndlessHarness(slow, pause_s=SLOW_PAUSE_S) as harness:
                task = asyncio.create_task(harness.run(idempotent=False))
                await asyncio.sleep(0.2)
                task.cancel()
                return await closed_after(harness.servers, time.monotonic())

        assert asyncio.run(run()) < CLOSE_WITHIN_S


class TestMemoryLimit:
    """The largest response is ended when the memory of all is used up."""

    STREAM = endless_streams.INVALID['large chunks']

    def forward(self, **route):
        async def run():
            async with EndlessHarness(
                self.STREAM, limit_bytes=SMALL_LIMIT_BYTES
            ) as harness:
                outcome = await harness.run(**route)
                close_s = await closed_after(harness.servers, time.monotonic())
                return outcome, close_s, harness.client.memory.total_bytes

        return asyncio.run(run())

    def test_idempotent_request_gets_response_of_another_server(self):
        outcome, close_s, held_bytes = self.forward()
        assert outcome.body == b'ok'
        assert close_s < CLOSE_WITHIN_S
        assert held_bytes == 0

    def test_non_idempotent_request_ends_at_once(self):
        outcome, close_s, held_bytes = self.forward(idempotent=False)
        assert outcome == outcomes.Unknown(reason=exchange.MEMORY_FULL)
        assert close_s < CLOSE_WITHIN_S
        assert held_bytes == 0

    def observe(self, stream):
        """Return the evidence of a response that is ended for memory."""

        async def run():
            async with EndlessHarness(
                stream, limit_bytes=SMALL_LIMIT_BYTES
            ) as harness:
                outcome = await harness.run(idempotent=False)
                signals = [each.signal for each in harness.observations]
                return outcome.reason, signals

        return asyncio.run(run())

    # Guards against evidence against servers whose responses were ended only
    # because the responses of others used up the memory.
    def test_end_of_a_declared_length_is_no_evidence(self):
        assert self.observe(endless_streams.DECLARED_LENGTH) == (
            exchange.MEMORY_FULL,
            [],
        )

    # Guards against endless responses that are no evidence, so that their
    # server gets several times the requests.
    def test_end_of_an_undeclared_length_is_evidence(self):
        assert self.observe(self.STREAM) == (
            exchange.MEMORY_FULL,
            [evidence.HealthSignal.FAILED],
        )

    # Guards against endless responses that are no evidence: one above the
    # limit of a single response is.
    def test_too_large_response_is_evidence(self):
        async def run():
            async with EndlessHarness(self.STREAM) as harness:
                harness.forwarder.max_response_bytes = SMALL_LIMIT_BYTES
                await harness.run(idempotent=False)
                return [each.signal for each in harness.observations]

        assert asyncio.run(run()) == [evidence.HealthSignal.FAILED]

    def test_cancelled_request_holds_nothing(self):
        async def run():
            stream = self.STREAM
            async with EndlessHarness(stream, pause_s=0.01) as harness:
                memory = harness.client.memory
                task = asyncio.create_task(harness.run())
                async with asyncio.timeout(TIMEOUT_S):
                    while not memory.total_bytes:
                        await asyncio.sleep(0.01)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await closed_after(harness.servers, time.monotonic())
                return memory.total_bytes

        assert asyncio.run(run()) == 0

"""Tests of forwarding requests to servers, over real sockets."""

import asyncio
import logging
import random
import time

import pytest

from citronshelf_common import fleet
from citronshelf_common import outcomes
from citronshelf_entry import headers
from citronshelf_entry import upstream
from citronshelf_instance import caller_request
from citronshelf_instance import evidence
from citronshelf_instance import forwarding
from citronshelf_instance import metrics
from citronshelf_instance import retry_budget
from citronshelf_instance import routing
from instance_builders import make_directory
from instance_builders import make_placer
from instance_builders import make_registration
from instance_builders import make_route

NAMES = caller_request.HeaderNames()
GOOD = b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok'
ERROR = b'HTTP/1.1 500 No\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nno'
SHED = b'HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
MOVED = b'HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n'
BARE_503 = b'HTTP/1.1 503 No\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n'
UNSIGNED = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
UNSIGNED_404 = b'HTTP/1.1 404 No\r\nContent-Length: 2\r\n\r\nno'
UNSIGNED_302 = UNSIGNED_404.replace(b'404', b'302')
NO_STATUS = ERROR.replace(b'500', b'999')
SIGNED_404 = ERROR.replace(b'500', b'404')
ENCODED = (
    b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Encoding: gzip\r\n'
    b'Content-Length: 2\r\n\r\nok'
)
SHORT = b'HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 9\r\n\r\nok'
UNFRAMED = b'HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nwhole'
OTHER = GOOD.replace(b'X-Signature', b'X-Request-Id: zz\r\nX-Signature')
SURPLUS = GOOD + GOOD
HANG = None
# Time after which other instances lend a credit.
LOAN_S = 0.2
CLOSE = b''


class ScriptedServers:
    """Backend servers that respond with fixed bytes.

    Parameters
    ----------
    scripts : list
        Response bytes of each server, or a list of those of its responses;
        a server with ``HANG`` never responds.
    """

    def __init__(self, scripts):
        self.scripts = scripts
        self.heads = []
        self.closed = []
        self.servers = []

    async def __aenter__(self):
        for number in range(len(self.scripts)):
            server = await asyncio.start_server(
                lambda r, w, n=number: self.serve(n, r, w), '127.0.0.1', 0
            )
            self.servers.append(server)
        return self

    async def __aexit__(self, *_details):
        for server in self.servers:
            server.close()

    def registrations(self):
        return [
            make_registration(
                f's{number}',
                address=fleet.Address(
                    '127.0.0.1', server.sockets[0].getsockname()[1]
                ),
            )
            for number, server in enumerate(self.servers)
        ]

    async def serve(self, number, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        self.heads.append((number, head.decode()))
        script = self.scripts[number]
        if isinstance(script, list):
            script = script.pop(0)
        if script is HANG:
            await reader.read()
            self.closed.append(number)
        else:
            writer.write(script)
            await writer.drain()
        writer.close()


def make_request(body=b'', method='GET', deadline_s=2.0):
    head = caller_request.RequestHead(
        method=method,
        target='/a/x',
        host='a.example',
        headers=(('Host', 'a.example'), ('X-Own', '1'), ('Te', 'x')),
        framing=headers.Framing(len(body), False),
        request_id='r1',
        deadline_s=deadline_s,
        keep_alive=True,
        expects_continue=False,
    )
    return caller_request.CallerRequest(head, body, time.monotonic())


def pick_least_loss(candidates):
    """Replace the random draw, so that the order of servers is known."""
    return min(candidates, key=lambda one: one.loss, default=None)


class Harness:
    """Forwarder to scripted servers, of which the first is preferred."""

    def __init__(self, *scripts, ratio=3.0, loans=0, extra=(), resends=0):
        self.resends = resends
        self.servers = ScriptedServers(list(scripts))
        self.ratio = ratio
        self.loans = loans
        self.borrowers = []
        self.extra = extra
        self.observations = []

    async def __aenter__(self):
        await self.servers.__aenter__()
        entries = self.servers.registrations()
        self.directory = make_directory(time.monotonic, *self.extra, *entries)
        for entry in entries[1:]:
            state = self.directory.servers[entry.server_id]
            state.estimate.slowness = 1.0 + int(entry.server_id[1:])
        self.client = upstream.UpstreamClient()
        placer = make_placer(self.directory, time.monotonic)
        placer.draw = pick_least_loss
        self.forwarder = forwarding.Forwarder(
            placer=placer,
            client=self.client,
            names=NAMES,
            budgets=retry_budget.RetryBudgets(
                settings=retry_budget.BudgetSettings(self.ratio, 10.0),
                clock=time.monotonic,
                rng=random.Random(1),
            ),
            borrow=self.borrow,
            observe=self.observations.append,
            metrics=metrics.InstanceMetrics(),
            clock=time.monotonic,
            max_resends=self.resends,
        )
        return self

    async def borrow(self, service):
        """Add one of the remaining loans to the budget after a while."""
        self.borrowers.append(service)
        await asyncio.sleep(LOAN_S)
        if self.loans:
            self.loans -= 1
            budget = self.forwarder.budgets.get(service)
            budget.add_credit(time.monotonic() + 1.0)

    async def __aexit__(self, *_details):
        self.client.close()
        await self.servers.__aexit__()

    async def run(self, request=None, **route):
        made = make_route(**route)
        routed = routing.RoutedService(made, 'ledger')
        return await self.forwarder.run(request or make_request(), routed)


def run_with(*scripts, request=None, harness=None, **route):
    """Return the outcome, the heads received by servers, and the harness."""

    async def run():
        made = harness or Harness(*scripts)
        async with made:
            outcome = await made.run(request, **route)
            await asyncio.sleep(0.05)
        return outcome, made.servers.heads, made

    return asyncio.run(run())


class TestResponses:
    """Outcomes that depend on the response of the first server."""

    @pytest.mark.parametrize('script', [GOOD, SURPLUS])
    def test_complete_response_is_passed_on(self, script):
        outcome, heads, _ = run_with(script)
        assert (outcome.status, outcome.body) == (200, b'ok')
        assert len(heads) == 1

    def test_response_delimited_by_close_is_complete(self):
        outcome, _, _ = run_with(UNFRAMED)
        assert outcome.body == b'whole'

    def test_server_error_is_passed_on_unchanged(self):
        outcome, _, _ = run_with(ERROR, idempotent=False)
        assert (outcome.status, outcome.body) == (500, b'no')

    def test_signed_rejection_is_passed_on_unchanged(self):
        outcome, heads, _ = run_with(SIGNED_404, GOOD)
        assert (outcome.status, outcome.body) == (404, b'no')
        assert len(heads) == 1

    @pytest.mark.parametrize(
        'status', [b'301', b'400', b'401', b'403', b'405', b'413', b'431']
    )
    def test_signed_rejection_of_any_status_is_final(self, status):
        outcome, heads, _ = run_with(ERROR.replace(b'500', status), GOOD)
        assert (outcome.status, outcome.body) == (int(status), b'no')
        assert ('X-Signature', 's') in outcome.headers
        assert len(heads) == 1

    # Guards against rejections that no server gave: what answers at the
    # address of a failed server, or a corrupted head, denied proper requests.
    @pytest.mark.parametrize('script', [UNSIGNED_404, UNSIGNED_302, NO_STATUS])
    def test_rejection_that_no_server_gave_is_not_passed_on(self, script):
        outcome, _, harness = run_with(script, GOOD, idempotent=False)
        assert outcome == outcomes.Unknown(reason='not-the-servers-answer')
        assert harness.observations[-1].signal is evidence.HealthSignal.FAILED
        outcome, _, _ = run_with(script, GOOD)
        assert outcome.status == 200

    def test_status_of_rejected_response_is_logged(self, caplog):
        with caplog.at_level(logging.INFO):
            run_with(UNSIGNED_404)
        records = [r for r in caplog.records if hasattr(r, 'elapsed_ms')]
        assert [r.status for r in records] == [404]

    @pytest.mark.parametrize(
        'script', [BARE_503, UNSIGNED, ENCODED, SHORT, OTHER, CLOSE]
    )
    def test_unverified_response_gives_unknown(self, script):
        outcome, heads, harness = run_with(script, GOOD, idempotent=False)
        assert isinstance(outcome, outcomes.Unknown)
        assert len(heads) == 1
        assert harness.observations[-1].signal is evidence.HealthSignal.FAILED


class TestHeaders:
    """Request heads that servers receive."""

    def test_headers_of_instance_and_caller_are_sent(self):
        _, heads, _ = run_with(GOOD)
        lines = heads[0][1].split('\r\n')
        assert lines[0] == 'GET /a/x HTTP/1.1'
        assert 'Host: a.example' in lines
        assert 'X-Own: 1' in lines
        assert 'X-Request-Id: r1' in lines
        assert 'X-Expected-Server: s0' in lines
        assert not any(line.startswith('Te:') for line in lines)
        deadline = [li for li in lines if li.startswith('X-Deadline-Ms')]
        assert 1000 < int(deadline[0].partition(':')[2]) <= 1500

    def test_method_and_body_length_are_those_of_the_caller(self):
        for method, body in [('GET', b'xy'), ('DELETE', b''), ('PUT', b'xy')]:
            request = make_request(body, method)
            outcome, heads, _ = run_with(GOOD, request=request)
            assert outcome.status == 200
            assert heads[0][1].startswith(f'{method} /a/x HTTP/1.1')
            assert ('Content-Length: 2' in heads[0][1]) == bool(body)


class TestRetries:
    """Only idempotent or provably unexecuted requests are sent again."""

    @pytest.mark.parametrize('script', [ERROR, CLOSE, SHORT, UNSIGNED])
    def test_idempotent_request_is_retried_on_another_server(self, script):
        outcome, heads, _ = run_with(script, GOOD)
        assert outcome.status == 200
        assert [number for number, _ in heads] == [0, 1]

    @pytest.mark.parametrize('script', [ERROR, CLOSE, SHORT, UNSIGNED])
    def test_non_idempotent_request_is_not_retried(self, script):
        _, heads, _ = run_with(script, GOOD, idempotent=False)
        assert [number for number, _ in heads] == [0]

    @pytest.mark.parametrize('script', [SHED, MOVED])
    @pytest.mark.parametrize('idempotent', [True, False])
    def test_refused_request_goes_to_another_server(self, script, idempotent):
        outcome, heads, _ = run_with(script, GOOD, idempotent=idempotent)
        assert outcome.status == 200
        assert [number for number, _ in heads] == [0, 1]

    def test_route_limits_the_servers(self):
        outcome, heads, _ = run_with(SHED, SHED, GOOD)
        assert isinstance(outcome, outcomes.NotRun)
        assert len(heads) == 2

    def test_budget_limits_the_retries(self):
        harness = Harness(ERROR, GOOD, ratio=0.0)
        outcome, heads, _ = run_with(harness=harness)
        assert outcome.status == 500
        assert len(heads) == 1

    @pytest.mark.parametrize(
        'ratio, name, repeats',
        [(3.0, 'repeat-allowed', 1), (0.0, 'repeat-denied', 0)],
    )
    def test_each_decision_is_logged(self, caplog, ratio, name, repeats):
        with caplog.at_level(logging.INFO):
            run_with(harness=Harness(ERROR, GOOD, ratio=ratio))
        [record] = [r for r in caplog.records if hasattr(r, 'repeats')]
        assert record.event_name == name
        assert (record.service, record.repeats) == ('ledger', repeats)

    def test_failed_connection_does_not_count_as_dispatch(self):
        closed = make_registration(
            'closed', address=fleet.Address('127.0.0.1', 1)
        )
        harness = Harness(GOOD, ratio=0.0, extra=[closed])
        harness.servers.scripts[0] = GOOD

        async def run():
            async with harness:
                harness.directory.servers['s0'].estimate.slowness = 8.0
                return await harness.run(idempotent=False, max_servers=1)

        assert asyncio.run(run()).status == 200


class TestResends:
    """A request that servers shed at random may return to one of them."""

    @pytest.mark.parametrize(
        'scripts, numbers',
        [
            (([SHED, GOOD],), [0, 0]),
            (([SHED, GOOD], SHED, GOOD), [0, 1, 0]),
        ],
    )
    def test_server_that_shed_gets_it_again(self, scripts, numbers):
        harness = Harness(*scripts, resends=1)
        outcome, heads, _ = run_with(harness=harness, idempotent=False)
        assert outcome.status == 200
        assert [number for number, _ in heads] == numbers

    # Guards against retries without end and against those without a credit.
    @pytest.mark.parametrize(
        'resends, ratio, sends', [(1, 3.0, 2), (0, 3.0, 1), (1, 0.0, 1)]
    )
    def test_resends_are_limited(self, resends, ratio, sends):
        harness = Harness([SHED, SHED, GOOD], ratio=ratio, resends=resends)
        outcome, heads, _ = run_with(harness=harness)
        assert isinstance(outcome, outcomes.NotRun)
        assert len(heads) == sends

    # Guards against a second execution.
    def test_request_that_may_have_run_does_not_return(self):
        harness = Harness([SHED, GOOD], CLOSE, resends=1)
        outcome, heads, _ = run_with(harness=harness, idempotent=False)
        assert isinstance(outcome, outcomes.Unknown)
        assert [number for number, _ in heads] == [0, 1]

    # Where requests queue, a server sheds because it is full.
    def test_server_with_a_queue_does_not_get_it_again(self):
        async def run():
            async with Harness([SHED, GOOD], resends=1) as harness:
                harness.directory.servers['s0'].estimate.slowness = 4.0
                return await harness.run(), len(harness.servers.heads)

        outcome, sends = asyncio.run(run())
        assert isinstance(outcome, outcomes.NotRun)
        assert sends == 1


class TestBorrowedCredits:
    """A retry without a credit waits for one of another instance."""

    @pytest.mark.parametrize('script', [ERROR, SHED, CLOSE])
    def test_retry_is_made_with_a_borrowed_credit(self, script):
        harness = Harness(script, GOOD, ratio=0.0, loans=1)
        outcome, heads, _ = run_with(harness=harness)
        assert outcome.status == 200
        assert [number for number, _ in heads] == [0, 1]
        assert harness.borrowers == ['ledger']

    def test_refused_non_idempotent_request_is_sent_again(self):
        harness = Harness(SHED, GOOD, ratio=0.0, loans=1)
        outcome, heads, _ = run_with(harness=harness, idempotent=False)
        assert outcome.status == 200
        assert len(heads) == 2

    # Guards against a second execution: without proof that it did not run, a
    # non-idempotent request is not sent again, whatever credits there are.
    @pytest.mark.parametrize('script', [ERROR, CLOSE, SHORT])
    def test_non_idempotent_request_that_may_have_run_asks_for_none(
        self, script
    ):
        harness = Harness(script, GOOD, ratio=0.0, loans=1)
        _, heads, _ = run_with(harness=harness, idempotent=False)
        assert (len(heads), harness.borrowers) == (1, [])

    def test_request_asks_only_once(self, caplog):
        harness = Harness(ERROR, ERROR, GOOD, ratio=0.0, loans=1)
        with caplog.at_level(logging.INFO):
            outcome, heads, _ = run_with(harness=harness, max_servers=3)
        assert outcome.status == 500
        assert (len(heads), len(harness.borrowers)) == (2, 1)
        names = [r.event_name for r in caplog.records if hasattr(r, 'repeats')]
        assert names == ['repeat-allowed', 'repeat-denied']

    # Guards against a second decision on a retry that has been denied, when a
    # busy process finds the finished dispatch overdue at the same time.
    def test_denied_retry_is_decided_once(self, caplog):
        async def borrow_nothing(service):
            time.sleep(LOAN_S)

        harness = Harness(ERROR, GOOD, ratio=0.0)
        harness.borrow = borrow_nothing
        with caplog.at_level(logging.INFO):
            run_with(harness=harness, target_latency_s=LOAN_S / 4)
        names = [r.event_name for r in caplog.records if hasattr(r, 'repeats')]
        assert names == ['repeat-denied']

    def test_overdue_request_is_hedged_with_a_borrowed_credit(self):
        harness = Harness(HANG, GOOD, ratio=0.0, loans=1)
        outcome, heads, _ = run_with(harness=harness, target_latency_s=0.2)
        assert outcome.status == 200
        assert [number for number, _ in heads] == [0, 1]

    def test_waiting_request_ends_at_its_deadline(self):
        harness = Harness(ERROR, GOOD, ratio=0.0, loans=1)
        request = make_request(deadline_s=LOAN_S / 2)
        outcome, heads, _ = run_with(harness=harness, request=request)
        assert outcome.status == 500
        assert len(heads) == 1

    def test_caller_that_leaves_ends_the_wait(self):
        async def run():
            async with Harness(ERROR, GOOD, ratio=0.0, loans=1) as harness:
                task = asyncio.create_task(harness.run())
                while not harness.borrowers:
                    await asyncio.sleep(0.001)
                task.cancel()
                await asyncio.sleep(2 * LOAN_S)
                return harness.loans, len(harness.servers.heads)

        assert asyncio.run(run()) == (1, 1)


class TestOwnShortage:
    """A lack of free handles of this process says nothing about servers."""

    # Guards against an overloaded instance that avoids its sound servers.
    def test_servers_are_not_avoided(self):
        async def run():
            async with Harness(GOOD, GOOD, GOOD) as harness:
                harness.client.curl.idle_handles = lambda: 0
                outcome = await harness.run()
                servers = harness.directory.servers.values()
                return outcome, [each.backoff_until_s for each in servers]

        outcome, backoffs = asyncio.run(run())
        assert isinstance(outcome, outcomes.NotRun)
        assert backoffs == [0.0, 0.0, 0.0]


class TestTimeouts:
    """Overdue responses, deadlines and callers that disconnect."""

    def test_overdue_idempotent_request_is_hedged(self):
        outcome, heads, harness = run_with(HANG, GOOD, target_latency_s=0.2)
        assert outcome.status == 200
        assert [number for number, _ in heads] == [0, 1]
        assert harness.observations[0].signal is evidence.HealthSignal.STALLED
        assert harness.servers.closed == [0]

    def test_overdue_non_idempotent_request_ends_at_the_timeout(self):
        started_s = time.monotonic()
        outcome, heads, _ = run_with(
            HANG, GOOD, idempotent=False, timeout_s=0.4
        )
        assert outcome == outcomes.Unknown(reason='timeout')
        assert 0.35 < time.monotonic() - started_s < 0.9
        assert len(heads) == 1

    def test_shorter_deadline_of_the_caller_applies(self):
        request = make_request(deadline_s=0.2)
        outcome, _, _ = run_with(HANG, request=request, idempotent=False)
        assert outcome == outcomes.Unknown(reason='timeout')

    # Guards against a deadline of zero that counts as none, so that the server
    # works for the whole timeout of the route.
    def test_expired_request_is_not_sent(self):
        request = make_request(deadline_s=0.0)
        outcome, heads, _ = run_with(GOOD, request=request)
        assert isinstance(outcome, outcomes.NotRun)
        assert heads == []

    def test_caller_disconnect_closes_the_server_connection(self):
        async def run():
            async with Harness(HANG) as harness:
                task = asyncio.create_task(harness.run(idempotent=False))
                await asyncio.sleep(0.1)
                task.cancel()
                await asyncio.sleep(0.1)
                return harness.servers.closed

        assert asyncio.run(run()) == [0]

    def test_server_removed_before_sending_gets_no_request(self):
        async def run():
            async with Harness(GOOD) as harness:
                task = asyncio.create_task(harness.run())
                await asyncio.sleep(0)
                harness.directory.servers.clear()
                return await task, harness.servers.heads

        outcome, heads = asyncio.run(run())
        assert isinstance(outcome, outcomes.NotRun)
        assert heads == []


class TestEnd:
    """Requests have an outcome when the instance ends."""

    # The callers of requests that still ran at the end of a shutdown got a
    # closed connection and no response.
    @pytest.mark.parametrize('idempotent', [False, True])
    def test_cancelled_request_at_a_server_is_unknown(self, idempotent):
        async def run():
            async with Harness(HANG) as harness:
                task = asyncio.create_task(harness.run(idempotent=idempotent))
                await asyncio.sleep(0.1)
                harness.forwarder.ending = True
                task.cancel()
                return await task

        assert asyncio.run(run()) == outcomes.Unknown(reason='shutdown')

    def test_request_that_was_not_sent_has_not_run(self):
        async def run():
            async with Harness(GOOD) as harness:
                task = asyncio.create_task(harness.run())
                await asyncio.sleep(0)
                harness.forwarder.ending = True
                task.cancel()
                outcome = await task
                await asyncio.sleep(0.1)
                return outcome, harness.servers.heads

        assert asyncio.run(run()) == (outcomes.NotRun(reason='shutdown'), [])

    def test_new_request_is_not_dispatched(self):
        async def run():
            async with Harness(GOOD) as harness:
                harness.forwarder.ending = True
                return await harness.run(), harness.servers.heads

        assert asyncio.run(run()) == (outcomes.NotRun(reason='shutdown'), [])


class TestDecided:
    """Once a request has its outcome, its dispatches send nothing more."""

    async def decide(self, decide, *, started):
        """Return the outcome, the dispatch, and the heads at the server."""
        async with Harness(HANG) as harness:
            routed = routing.RoutedService(make_route(), 'ledger')
            running = forwarding.RunningRequest(
                forwarder=harness.forwarder,
                request=make_request(),
                routed=routed,
            )
            running.start(is_retry=False)
            if started:
                await asyncio.sleep(0)
            [decided] = running.running.values()
            outcome = decide(running)
            may_send = decided.may_send()
            ended = decided.exchange is None or decided.exchange.ended
            running.cancel()
            await asyncio.sleep(0.05)
            return outcome, may_send, ended, harness.servers.heads

    # Guards against a promise "not run" for a request that is sent before the
    # cancelled task runs.
    @pytest.mark.parametrize('started', [True, False])
    @pytest.mark.parametrize(
        'decide',
        [
            forwarding.RunningRequest.stop,
            forwarding.RunningRequest.time_out,
        ],
    )
    def test_request_that_was_not_sent_never_is(self, decide, started):
        outcome, may_send, ended, heads = asyncio.run(
            self.decide(decide, started=started)
        )
        assert isinstance(outcome, outcomes.NotRun)
        assert (may_send, ended, heads) == (False, True, [])

"""Tests of second attempts with a modelled client, in virtual time."""

import asyncio
import logging
import random
from typing import NamedTuple

import pytest

from citronshelf_common import outcomes
from citronshelf_entry import classify
from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_instance import caller_identity
from citronshelf_instance import caller_request
from citronshelf_instance import evidence
from citronshelf_instance import forwarding
from citronshelf_instance import hedging
from citronshelf_instance import metrics
from citronshelf_instance import retry_budget
from citronshelf_instance import routing
from citronshelf_traffic import virtual_loop
from instance_builders import make_directory
from instance_builders import make_placer
from instance_builders import make_registration
from instance_builders import make_route

DELAY_S = 0.2
TABLE = {'limit': 1.0, 'after_s': DELAY_S}
NEVER_S = 1000.0
SIGNATURE = (('X-Signature', 's'),)


class Script(NamedTuple):
    """Response of one server.

    Attributes
    ----------
    seconds : float
        Time until the response.
    status : int
    not_run : bool
        The server refuses the request without running it.
    ignores_cancel : bool
        The response arrives although the exchange was cancelled.
    """

    seconds: float
    status: int = 200
    not_run: bool = False
    ignores_cancel: bool = False


class ModelExchange:
    """Exchange with one server that responds by its script."""

    def __init__(self, server_id, script, may_send):
        self.server_id = server_id
        self.script = script
        self.sends = int(may_send())
        self.cancelled_s = None
        self.released = False

    async def wait_head(self):
        if not self.sends:
            return classify.Failure(
                classify.ExecutionStatus.NOT_RUN,
                classify.FailureSignal.NONE,
                exchange.SEND_WITHDRAWN,
            )
        try:
            await asyncio.sleep(self.script.seconds)
        except asyncio.CancelledError:
            if not self.script.ignores_cancel:
                raise
        marks = (('X-Not-Run', '1'),) if self.script.not_run else ()
        return exchange.ResponseHead(
            status=self.script.status,
            headers=SIGNATURE + marks,
            framing=headers.Framing(0, False),
        )

    async def read_whole(self):
        return self.server_id.encode()

    def cancel(self):
        if self.cancelled_s is None:
            self.cancelled_s = asyncio.get_running_loop().time()

    def release_memory(self):
        self.released = True


class ModelClient:
    """Client without a network, in place of ``UpstreamClient``."""

    def __init__(self, scripts):
        self.scripts = scripts
        self.exchanges = []

    def start(self, request):
        server_id = dict(request.own_headers)['X-Expected-Server']
        script = self.scripts[int(server_id[1:])]
        started = ModelExchange(server_id, script, request.may_send)
        self.exchanges.append(started)
        return started


class Harness:
    """Forwarder in virtual time to scripted servers, the first preferred."""

    def __init__(self, *scripts, table=TABLE, ratio=3.0, loans=0, usual_s=0.1):
        self.client = ModelClient(scripts)
        self.table = table
        self.ratio = ratio
        self.loans = loans
        self.usual_s = usual_s
        self.observations = []
        self.prepare = lambda harness: None

    async def borrow(self, service):
        await asyncio.sleep(0.01)
        if self.loans:
            self.loans -= 1
            self.forwarder.budgets.get(service).add_credit(NEVER_S)

    def build(self):
        self.clock = asyncio.get_running_loop().time
        self.directory = make_directory(
            self.clock,
            *(
                make_registration(f's{number}')
                for number in range(len(self.client.scripts))
            ),
        )
        servers = self.directory.servers
        for number, server in enumerate(servers.values()):
            server.estimate.failure_probability = 0.01
            server.registration = server.registration._replace(
                zone='howrah' if number == 0 else 'sealdah'
            )
        placer = make_placer(self.directory, self.clock)
        placer.draw = lambda candidates: min(
            candidates, key=lambda one: one.server.server_id, default=None
        )
        placer.find_server_to_test = lambda *arguments: None
        rng = random.Random(1)
        self.hedger = hedging.Hedger(
            table=self.table, clock=self.clock, rng=rng
        )
        self.forwarder = forwarding.Forwarder(
            placer=placer,
            client=self.client,
            names=caller_request.HeaderNames(),
            budgets=retry_budget.RetryBudgets(
                settings=retry_budget.BudgetSettings(self.ratio, 10.0),
                clock=self.clock,
                rng=rng,
            ),
            borrow=self.borrow,
            observe=self.observations.append,
            metrics=metrics.InstanceMetrics(),
            clock=self.clock,
            hedger=self.hedger,
        )

    async def run(self, **route):
        self.build()
        made = make_route(**{'max_servers': 3} | route)
        self.forwarder.placer.usage_of(made).seconds = self.usual_s
        if self.table is not None:
            for _ in range(2):
                self.hedger.record_request(
                    self.hedger.find_rule(make_route(), 'ledger'),
                    made.name,
                    'ledger',
                )
        self.prepare(self)
        head = caller_request.RequestHead(
            method='GET',
            target='/a/x',
            host='a.example',
            headers=(('Host', 'a.example'),),
            framing=headers.Framing(0, False),
            request_id='r1',
            deadline_s=2.0,
            keep_alive=True,
            expects_continue=False,
        )
        request = caller_request.CallerRequest(head, b'', self.clock())
        outcome = await self.forwarder.run(
            request,
            routing.RoutedService(made, 'ledger'),
            caller_identity.Caller(account='first'),
        )
        self.ended_s = self.clock()
        await asyncio.sleep(5.0)
        return outcome

    def sent_to(self):
        return [each.server_id for each in self.client.exchanges]


def run_with(*scripts, prepare=None, options=None, **route):
    """Return the outcome and the harness of one request."""
    harness = Harness(*scripts, **options or {})
    if prepare is not None:
        harness.prepare = prepare
    with asyncio.Runner(loop_factory=virtual_loop.VirtualLoop) as runner:
        return runner.run(harness.run(**route)), harness


def logged(caplog, name):
    return [
        each
        for each in caplog.records
        if getattr(each, 'event_name', '') == name
    ]


SLOW = Script(1.0)
FAST = Script(0.05)
HANGING = Script(NEVER_S)
FAILING = Script(0.3, status=500)
SHEDDING = Script(0.01, status=503, not_run=True)


class TestRace:
    """The first good response of two attempts is used."""

    def test_fast_response_needs_no_second_attempt(self):
        outcome, harness = run_with(FAST, FAST)
        assert (outcome.body, harness.sent_to()) == (b's0', ['s0'])

    def test_second_attempt_shortens_a_slow_response(self):
        outcome, harness = run_with(SLOW, FAST)
        assert outcome.body == b's1'
        assert harness.ended_s == pytest.approx(DELAY_S + 0.05)

    # Guards against a losing attempt that uses its server until its end.
    def test_losing_attempt_is_cancelled_at_once(self):
        _, harness = run_with(SLOW, FAST)
        first, second = harness.client.exchanges
        assert first.cancelled_s == harness.ended_s
        assert first.released

    def test_late_first_response_is_used_if_it_comes_first(self):
        outcome, harness = run_with(Script(0.3), Script(0.5))
        assert (outcome.body, harness.sent_to()) == (b's0', ['s0', 's1'])

    # Guards against two responses, or none, if both arrive in one step.
    def test_one_of_two_simultaneous_responses_is_used(self):
        outcome, harness = run_with(Script(DELAY_S + 0.05), FAST)
        assert outcome.body in (b's0', b's1')
        assert all(each.released for each in harness.client.exchanges)

    # Guards against a response of a cancelled attempt that is still used.
    @pytest.mark.parametrize('status', [200, 500])
    def test_cancelled_attempt_that_responds_changes_nothing(self, status):
        outcome, harness = run_with(
            Script(0.4, ignores_cancel=True, status=status), FAST, FAST
        )
        assert outcome.body == b's1'
        assert harness.sent_to() == ['s0', 's1']
        assert all(each.released for each in harness.client.exchanges)

    def test_no_response_ends_at_the_deadline(self):
        outcome, harness = run_with(HANGING, HANGING, HANGING)
        assert outcome == outcomes.Unknown(reason='timeout')
        assert harness.sent_to() == ['s0', 's1']
        assert harness.ended_s == pytest.approx(1.49)

    def test_second_response_just_before_the_deadline_is_used(self):
        outcome, harness = run_with(HANGING, Script(1.28))
        assert outcome.body == b's1'

    # Guards against an attempt that cannot finish: the deadline is nearer
    # than the usual time.
    def test_none_starts_when_the_time_does_not_suffice(self, caplog):
        caplog.set_level(logging.INFO)
        outcome, harness = run_with(HANGING, FAST, timeout_s=0.29)
        assert outcome == outcomes.Unknown(reason='timeout')
        assert harness.sent_to() == ['s0']
        [denied] = logged(caplog, 'hedge-denied')
        assert denied.reason == 'deadline'

    def test_events_tell_start_and_result(self, caplog):
        caplog.set_level(logging.INFO)
        run_with(SLOW, FAST)
        [started] = logged(caplog, 'hedge-started')
        assert (started.first_server, started.server) == ('s0', 's1')
        [ended] = logged(caplog, 'hedge-ended')
        assert ended.result == 'second'


class TestRetries:
    """Retries beside a second attempt, and the bounds of both."""

    # Guards against a third attempt beside two that are running.
    def test_failed_first_attempt_waits_for_the_second(self):
        outcome, harness = run_with(FAILING, Script(0.5), FAST)
        assert outcome.body == b's1'
        assert harness.sent_to() == ['s0', 's1']

    def test_failure_of_both_is_retried_once_more(self):
        outcome, harness = run_with(FAILING, FAILING, FAST)
        assert outcome.body == b's2'
        assert harness.sent_to() == ['s0', 's1', 's2']

    # Guards against a second second attempt after a retry.
    def test_retry_after_a_second_attempt_gets_none(self):
        _, harness = run_with(FAILING, FAILING, SLOW, FAST, max_servers=4)
        assert harness.sent_to() == ['s0', 's1', 's2']

    def test_slow_retry_gets_the_second_attempt(self):
        outcome, harness = run_with(Script(0.01, status=500), SLOW, FAST)
        assert outcome.body == b's2'
        assert harness.ended_s == pytest.approx(0.01 + DELAY_S + 0.05)

    def test_attempts_of_the_route_hold(self, caplog):
        caplog.set_level(logging.INFO)
        _, harness = run_with(SLOW, FAST, max_servers=1)
        assert harness.sent_to() == ['s0']
        [denied] = logged(caplog, 'hedge-denied')
        assert denied.reason == 'attempts'

    def test_shed_second_attempt_is_not_repeated(self):
        outcome, harness = run_with(SLOW, SHEDDING, FAST)
        assert outcome.body == b's0'
        assert harness.sent_to() == ['s0', 's1']

    # Guards against a second execution, whatever the settings are.
    def test_work_that_may_run_once_gets_none(self):
        outcome, harness = run_with(SLOW, FAST, idempotent=False)
        assert (outcome.body, harness.sent_to()) == (b's0', ['s0'])

    def test_second_attempt_costs_a_retry_credit(self, caplog):
        caplog.set_level(logging.INFO)
        outcome, harness = run_with(SLOW, FAST, options={'ratio': 0.0})
        assert harness.sent_to() == ['s0']
        [denied] = logged(caplog, 'hedge-denied')
        assert denied.reason == 'not-started'

    def test_borrowed_retry_credit_is_used(self):
        outcome, harness = run_with(
            SLOW, FAST, options={'ratio': 0.0, 'loans': 1}
        )
        assert outcome.body == b's1'
        assert harness.ended_s == pytest.approx(DELAY_S + 0.01 + 0.05)


def without_credits(harness):
    harness.hedger.credits.clear()
    harness.hedger.table = TABLE | {'limit': 0.0}


def over_quota(harness):
    harness.hedger.is_over_quota = lambda account: account == 'first'


def near_limit(harness):
    harness.hedger.is_near_limit = lambda servers, now: True


def doubtful(harness):
    for server in list(harness.directory.servers.values())[1:]:
        server.estimate.failure_probability = 0.9


class TestRoom:
    """Conditions under which no second attempt starts."""

    @pytest.mark.parametrize(
        'prepare, reason',
        [
            (without_credits, 'limit'),
            (over_quota, 'quota'),
            (near_limit, 'near-limit'),
            (doubtful, 'doubtful-servers'),
        ],
    )
    def test_none_starts(self, caplog, prepare, reason):
        caplog.set_level(logging.INFO)
        outcome, harness = run_with(SLOW, FAST, prepare=prepare)
        assert (outcome.body, harness.sent_to()) == (b's0', ['s0'])
        [denied] = logged(caplog, 'hedge-denied')
        assert denied.reason == reason

    def test_doubtful_server_is_passed_over(self):
        def prepare(harness):
            harness.directory.servers['s1'].record_unreachable(NEVER_S)

        outcome, _ = run_with(SLOW, FAST, FAST, prepare=prepare)
        assert outcome.body == b's2'


class TestTimes:
    """What is learnt about servers and routes."""

    # Guards against a tail that is forgotten because its requests are
    # cancelled.
    def test_time_of_a_cancelled_first_attempt_counts(self):
        _, harness = run_with(SLOW, FAST)
        sketch = harness.hedger.times['lookup'].merged()
        assert (sketch.count, sketch.sum) == (1, pytest.approx(0.25))

    # Guards against evidence that is lost because the second attempt starts
    # before the first is overdue, and against evidence against the second.
    def test_overdue_first_attempt_is_evidence_against_its_server(self):
        _, harness = run_with(SLOW, Script(0.25))
        stalls = [
            each.server_id
            for each in harness.observations
            if each.signal is evidence.HealthSignal.STALLED
        ]
        assert stalls == ['s0']

    def test_route_without_known_times_waits_until_overdue(self):
        _, harness = run_with(
            SLOW, FAST, options={'table': {'limit': 1.0, 'quantile': 0.9}}
        )
        assert harness.ended_s == pytest.approx(0.35)


class TestWithoutTable:
    """Without the settings, overdue requests are hedged as before."""

    def test_second_attempt_starts_when_overdue(self, caplog):
        caplog.set_level(logging.INFO)
        outcome, harness = run_with(SLOW, FAST, options={'table': None})
        assert outcome.body == b's1'
        assert harness.ended_s == pytest.approx(0.35)
        assert not logged(caplog, 'hedge-started')
        assert not harness.hedger.times

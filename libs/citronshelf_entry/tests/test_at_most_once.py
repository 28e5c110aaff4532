"""Random histories of work with and without keys on real data paths."""

import contextlib
from unittest import mock

import fleet_model
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pycurl
import pytest

from citronshelf_common import outcomes
from citronshelf_entry import classify
from citronshelf_entry import exchange
from citronshelf_entry import forward_messages
from citronshelf_entry import forwarding
from citronshelf_entry import key_table
from citronshelf_entry import keyed
from citronshelf_entry import upstream
from citronshelf_traffic import budgets


NAMES = st.sampled_from([str(n) for n in range(fleet_model.INSTANCES)])
PICK = st.integers(0, 1 << 16)
KINDS = (
    'answer',
    'send-only',
    'cut',
    'reset-before',
    'reset-after',
    'shed',
    'refused',
)


class Violation(AssertionError):
    """A guarantee to a caller was violated."""


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Work under duplicates, delays, losses, restarts and suspensions."""

    def __init__(self):
        super().__init__()
        self.world = fleet_model.World()
        self.keys = []
        self.once = set()
        self.count = 0

    def teardown(self):
        self.world.close()

    def new_work(self, prefix):
        self.count += 1
        return f'{prefix}{self.count}'

    @stateful.initialize()
    def issue_first_keys(self):
        for name in self.world.processes:
            self.issue_key(name)

    def issue_key(self, name):
        text = self.world.processes[name].owner.issue()
        if text:
            self.keys.append((text, self.new_work('keyed')))

    @stateful.precondition(lambda self: len(self.keys) < 5)
    @stateful.rule(name=NAMES)
    def issue_another_key(self, name):
        self.issue_key(name)

    @stateful.rule(name=NAMES, pick=PICK, other=st.integers(0, 5))
    def send_with_key(self, name, pick, other):
        """Send the work of a recent key, or other work with the same key."""
        recent = self.keys[-3:]
        text, work = recent[pick % len(recent)]
        if other == 0:
            work = self.new_work('other')
        self.once.add(work)
        self.world.send_keyed(name, text, work)

    @stateful.rule(name=NAMES, idempotent=st.booleans())
    def send_plain(self, name, idempotent):
        work = self.new_work('view' if idempotent else 'plain')
        if not idempotent:
            self.once.add(work)
        self.world.send_plain(name, work, idempotent=idempotent)

    def in_flight(self, *phases):
        return [f for f in self.world.in_flight if f.phase in phases]

    @stateful.rule(
        name=NAMES,
        pick=PICK,
        kind=st.sampled_from(KINDS),
        keep=st.booleans(),
    )
    def send_and_finish(self, name, pick, kind, keep):
        """Send work with a key and advance it as far as ``kind`` allows."""
        self.send_with_key(name, pick, 1)
        self.deliver_all_messages(False)
        for _ in range(4):
            for request in self.in_flight('connecting', 'sent'):
                self.move(request, kind)
        if kind in ('shed', 'refused'):
            # Work that no server accepts is queued until its time limit.
            for _ in range(4):
                self.world.advance(1.5)
        self.deliver_all_messages(keep)

    @stateful.precondition(lambda self: self.in_flight('connecting', 'sent'))
    @stateful.rule(pick=PICK, kind=st.sampled_from(KINDS))
    def move_exchange(self, pick, kind):
        """Advance one exchange; kind ``send-only`` stops after sending."""
        waiting = self.in_flight('connecting', 'sent')
        self.move(waiting[pick % len(waiting)], kind)

    def move(self, request, kind):
        """Establish or refuse a connection, then have the server react."""
        if request.phase == 'connecting' and kind == 'refused':
            request.phase = 'over'
            request.end(pycurl.E_COULDNT_CONNECT)
        elif request.phase == 'connecting':
            request.send()
        if request.phase == 'sent' and kind not in ('refused', 'send-only'):
            self.serve(request, kind)
        self.world.settle()

    def serve(self, request, kind):
        """Have a server shed, reset or execute a request that it received."""
        if kind == 'shed':
            request.respond(503, ['X-Not-Run: shed'], b'no')
        elif kind == 'reset-before':
            request.reset()
        else:
            self.world.execute(request)
            body = fleet_model.response_body(request.work)
            if kind == 'reset-after':
                request.reset()
            else:
                part = body if kind == 'answer' else body[:5]
                request.respond(200, [], part, len(body))

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(
        pick=PICK, fate=st.sampled_from(['deliver', 'deliver', 'copy', 'lose'])
    )
    def move_message(self, pick, fate):
        """Deliver, copy or lose one message in flight, whatever the order."""
        index = pick % len(self.world.messages)
        message = self.world.messages[index]
        if fate != 'copy':
            del self.world.messages[index]
        if fate != 'lose':
            self.world.deliver(message)

    @stateful.precondition(lambda self: self.world.messages)
    @stateful.rule(keep=st.booleans())
    def deliver_all_messages(self, keep):
        """Deliver all messages; copies of the last two may follow later."""
        messages, self.world.messages = self.world.messages, []
        for message in messages:
            self.world.deliver(message)
        if keep:
            self.world.messages += messages[-2:]

    @stateful.rule(seconds=st.sampled_from([0.3, 1.5, 5.0, 400.0]))
    def pass_time(self, seconds):
        """Advance time; long steps also simulate a suspended process."""
        self.world.advance(seconds)

    @stateful.rule(name=NAMES)
    def restart(self, name):
        self.world.restart(name)
        self.issue_key(name)

    @stateful.invariant()
    def promises_hold(self):
        found = self.world.violation(self.once)
        if found:
            raise Violation(found)


def machine_settings(examples, phases=(Phase.generate,)):
    return settings(
        derandomize=True,
        database=None,
        max_examples=examples,
        stateful_step_count=30,
        deadline=None,
        phases=phases,
        suppress_health_check=list(HealthCheck),
    )


def replace(target, name, value):
    return mock.patch.object(target, name, value)


def restart_if(predicate):
    """Return a faulty ``begin`` that restarts keys that match a predicate."""

    def begin(self, serial, fingerprint):
        record = self.records.get(serial)
        if record is not None and predicate(record):
            record.state = key_table.KeyState.UNUSED
            record.stored_bytes = 0
        return BEGIN(self, serial, fingerprint)

    return begin


BEGIN = key_table.KeyTable.begin
FORWARD = forwarding.OwnerForwarder.forward
CLASSIFY = classify.classify


def begin_removed(self, serial, fingerprint):
    self.expire()
    if serial not in self.records:
        record = key_table.KeyRecord(serial=serial, expires_s=1e9)
        self.records[serial] = record
    return BEGIN(self, serial, fingerprint)


def begin_any_request(self, serial, fingerprint):
    return BEGIN(self, serial, b'')


async def report_unknown_as_not_run(self, key, text, request, wait_s):
    outcome = await FORWARD(self, key, text, request, wait_s)
    if isinstance(outcome, outcomes.Unknown):
        return outcomes.NotRun(reason='owner not reached')
    return outcome


def accept_any_response(self, data, body):
    response = forward_messages.CODEC.decode(data).ok
    pending = self.pending.get(response.number)
    if pending and isinstance(response, forward_messages.ForwardedResponse):
        if not pending.future.done():
            pending.future.set_result(
                forward_messages.outcome_from_message(response, body)
            )


def reset_is_not_run(errno, progress):
    found = CLASSIFY(errno, progress)
    return found._replace(execution=classify.ExecutionStatus.NOT_RUN)


def accept_short_response(self, errno):
    self.ended = True
    self.changed.set()


async def run_on_cancel(self, record, request):
    outcome = outcomes.NotRun(reason='ended')
    with contextlib.suppress(Exception):
        outcome = await self.run(request)
    record.state = key_table.KeyState.UNUSED
    record.finished.set_result(outcome)


def upstream_request_reused(**values):
    return UPSTREAM_REQUEST(**(values | {'new_connection': False}))


UPSTREAM_REQUEST = upstream.UpstreamRequest


def issue_after_dropping_finished(self):
    for serial, record in list(self.records.items()):
        if record.state is key_table.KeyState.FINISHED:
            del self.records[serial]
            self.last_serial = min(self.last_serial, serial - 1)
    return ISSUE(self)


ISSUE = key_table.KeyTable.issue

MUTATIONS = {
    'spent-key-runs': lambda: replace(
        key_table.KeyTable,
        'begin',
        restart_if(lambda r: isinstance(r.outcome, outcomes.NotRun)),
    ),
    'unknown-key-runs-again': lambda: replace(
        key_table.KeyTable,
        'begin',
        restart_if(lambda r: isinstance(r.outcome, outcomes.Unknown)),
    ),
    'forgotten-key-runs': lambda: replace(
        key_table.KeyTable, 'begin', begin_removed
    ),
    'key-without-its-request': lambda: replace(
        key_table.KeyTable, 'begin', begin_any_request
    ),
    'serial-issued-twice': lambda: replace(
        key_table.KeyTable, 'issue', issue_after_dropping_finished
    ),
    'record-reopened': lambda: replace(
        keyed.KeyOwner, 'run_once', run_on_cancel
    ),
    'silent-owner-is-not-run': lambda: replace(
        forwarding.OwnerForwarder, 'forward', report_unknown_as_not_run
    ),
    'life-by-name-only': lambda: replace(
        keyed.KeyOwner,
        'is_owner',
        lambda self, key: key.owner.instance == self.incarnation.instance,
    ),
    'reset-is-not-run': lambda: replace(
        classify, 'classify', reset_is_not_run
    ),
    'issue-is-hedged': lambda: replace(
        budgets.HedgeBudget, 'delay_s', lambda self, work: 0.1
    ),
    'short-answer-passes': lambda: replace(
        exchange.Exchange, 'end', accept_short_response
    ),
    'connection-reused': lambda: replace(
        upstream, 'UpstreamRequest', upstream_request_reused
    ),
}


def finish(world, request, work):
    """Have a server execute a request and respond to it."""
    if request.phase == 'connecting':
        request.send()
    world.execute(request)
    request.respond(200, [], fleet_model.response_body(work))
    world.settle()


def retry_after_another_key(world):
    """Use a key, issue another key and use the first one again."""
    first = world.processes['0'].owner.issue()
    world.send_keyed('0', first, 'first')
    finish(world, world.in_flight[-1], 'first')
    world.processes['0'].owner.issue()
    world.send_keyed('0', first, 'first')
    for request in world.in_flight[1:]:
        finish(world, request, 'first')


def late_issue(world):
    """Run non-idempotent work for longer than any hedge delay."""
    world.send_plain('0', 'first', idempotent=False)
    world.in_flight[0].send()
    world.execute(world.in_flight[0])
    world.advance(0.5)
    for request in world.in_flight[1:]:
        request.send()
        world.execute(request)


HISTORIES = {
    'serial-issued-twice': retry_after_another_key,
    'issue-is-hedged': late_issue,
}


class TestScriptedHistories:
    """Scripted histories for faults that random ones rarely reach."""

    def violation(self, name):
        world = fleet_model.World()
        HISTORIES[name](world)
        found = world.violation({'first'})
        world.close()
        return found

    @pytest.mark.parametrize('name', HISTORIES)
    def test_guarantees_hold(self, name):
        assert self.violation(name) == ''

    @pytest.mark.parametrize('name', HISTORIES)
    def test_catches(self, name):
        with MUTATIONS[name]():
            assert self.violation(name) == 'first ran twice'


class TestAtMostOnce:
    """The documented guarantees to callers hold in every history."""

    def test_random_histories(self):
        stateful.run_state_machine_as_test(
            AtMostOnce, settings=machine_settings(120)
        )

    @pytest.mark.parametrize('name', sorted(MUTATIONS.keys() - HISTORIES))
    def test_catches(self, name):
        """Each injected fault must be detected."""
        with MUTATIONS[name](), pytest.raises(Violation):
            stateful.run_state_machine_as_test(
                AtMostOnce, settings=machine_settings(400)
            )


class TestLateResponse:
    """A response to an earlier incarnation must not match a new request."""

    def history(self):
        """Restart a forwarder while the response to its request is delayed."""
        world = fleet_model.World()
        owner = world.processes['1'].owner
        first, second = owner.issue(), owner.issue()
        world.send_keyed('0', first, 'first')
        world.deliver(world.messages.pop())
        request = world.in_flight[-1]
        request.send()
        world.execute(request)
        body = fleet_model.response_body('first')
        request.respond(200, [], body)
        world.settle()
        late = world.messages.pop()
        world.restart('0')
        world.send_keyed('0', second, 'second')
        world.deliver(late)
        found = world.violation({'first', 'second'})
        world.close()
        return found

    def test_is_dropped(self):
        assert self.history() == ''

    def test_catches_response_to_any_incarnation(self):
        accept = replace(
            forwarding.OwnerForwarder, 'on_response', accept_any_response
        )
        with accept:
            assert 'second got' in self.history()

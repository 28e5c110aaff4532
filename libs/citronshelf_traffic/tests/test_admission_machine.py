"""Stateful test of the admission queue against a simple oracle."""

import asyncio

from citronshelf_common import fleet
from hypothesis import Phase
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from citronshelf_traffic import admission
from citronshelf_traffic import service_queue as service_queue_module
from citronshelf_traffic import virtual_loop
from citronshelf_traffic import work as work_module

Ending = work_module.Ending
MAX_WAITING = 5
SETTINGS = settings(
    derandomize=True,
    database=None,
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
)
MUTATION_SETTINGS = settings(
    SETTINGS, max_examples=100, phases=(Phase.generate,)
)


class SubmittedRequest:
    """A request that the machine submitted, with its result."""

    def __init__(self, work, task, latest_start):
        self.work = work
        self.task = task
        self.latest_start = latest_start
        self.admission = None
        self.is_settled = False


def make_machine(builder):
    """Return a machine class that uses the shared builder."""

    class AdmissionMachine(stateful.RuleBasedStateMachine):
        """Admits, releases and cancels requests and advances the time."""

        def __init__(self):
            super().__init__()
            self.build = builder()
            self.runner = asyncio.Runner(loop_factory=virtual_loop.VirtualLoop)
            self.loop = self.runner.get_loop()
            self.queue = admission.AdmissionQueue(
                clock=self.loop.time, max_waiting=MAX_WAITING
            )
            self.queue.set_services(
                {'mint': self.build.service(queue_limit_ms=500)}
            )
            self.submitted = []
            self.held = []

        def settle(self, seconds=0.0):
            """Advance the time; check requests settled in the meantime.

            Settled requests are those admitted, refused or cancelled.
            """
            self.runner.run(asyncio.sleep(seconds))
            self.runner.run(asyncio.sleep(0))
            now = self.loop.time()
            for submitted in self.submitted:
                if submitted.is_settled or not submitted.task.done():
                    continue
                submitted.is_settled = True
                if submitted.task.cancelled():
                    continue
                result = submitted.task.result()
                if result.is_error():
                    assert result.error.retry_after_s >= 1
                    continue
                self.held.append((submitted, result.ok))
                # A request may be admitted at any time within the step.
                assert now - seconds <= submitted.latest_start + 1e-6

        @stateful.rule(
            worth=st.sampled_from([0.0, 1.0, 10.0]),
            expected_ms=st.sampled_from([10.0, 40.0]),
            allowed_s=st.sampled_from([0.005, 0.1, 5.0]),
        )
        def admit(self, worth, expected_ms, allowed_s):
            self.admit_one(worth, expected_ms, allowed_s)

        @stateful.rule(
            worths=st.lists(
                st.sampled_from([0.0, 1.0, 10.0]), min_size=4, max_size=7
            )
        )
        def burst(self, worths):
            for worth in worths:
                self.admit_one(worth, 10.0, 5.0)

        def admit_one(self, worth, expected_ms, allowed_s):
            now = self.loop.time()
            work = self.build.work(
                len(self.submitted),
                worth=worth,
                expected_ms=expected_ms,
                deadline_at=now + allowed_s,
            )
            latest = min(now + 0.5, now + allowed_s - expected_ms / 1000)
            task = self.loop.create_task(self.queue.admit(work))
            self.submitted.append(SubmittedRequest(work, task, latest))
            self.settle()
            if latest < now:
                assert task.done() and task.result().is_error()

        @stateful.precondition(lambda self: self.held)
        @stateful.rule(
            index=st.integers(0, 100),
            ending=st.sampled_from([Ending.ANSWERED, Ending.SHED]),
            queue=st.integers(0, 4),
        )
        def release(self, index, ending, queue):
            submitted, held = self.held.pop(index % len(self.held))
            load = fleet.LoadReport(2, 2, queue)
            self.queue.record_ending(held, ending, load)
            # Requests that pause before they are queued again do not compete.
            service_queue = self.queue.get_service_queue(held.work)
            before = {
                queued.work.request_id: queued.work.worth_rate
                for queued in service_queue.waiting
            }
            self.queue.release(held)
            self.settle()
            self.check_order(before)
            with pytest.raises(admission.AdmissionAlreadyReleased):
                self.queue.release(held)

        def check_order(self, before):
            """Check that admitted requests have the highest worth rates."""
            held = {h.work.request_id for _submitted, h in self.held}
            waits = {
                a.work.request_id for a in self.submitted if not a.task.done()
            }
            started = [r for name, r in before.items() if name in held]
            left = [r for name, r in before.items() if name in waits]
            if started and left:
                assert max(left) <= min(started)

        @stateful.precondition(lambda self: self.held)
        @stateful.rule(index=st.integers(0, 100))
        def readmit(self, index):
            submitted, held = self.held.pop(index % len(self.held))
            submitted.task = self.loop.create_task(self.queue.requeue(held))
            submitted.is_settled = False
            self.settle()

        @stateful.rule(index=st.integers(0, 100))
        def cancel(self, index):
            waiting = [a for a in self.submitted if not a.task.done()]
            if waiting:
                waiting[index % len(waiting)].task.cancel()
            self.settle()

        @stateful.rule()
        def cancel_while_granted(self):
            """Cancel a task in the loop iteration that admits its request."""
            waiting = self.queue.service_queues.get(('mint', False))
            if not self.held or waiting is None or not waiting.waiting:
                return
            first = waiting.waiting[0].work.request_id
            _submitted, held = self.held.pop()
            self.queue.release(held)
            for submitted in self.submitted:
                if submitted.work.request_id == first:
                    submitted.task.cancel()
            self.settle()

        @stateful.rule(seconds=st.sampled_from([0.01, 0.1, 0.6]))
        def advance(self, seconds):
            self.settle(seconds)

        @stateful.invariant()
        def bounds_hold(self):
            now = self.loop.time()
            for service_queue in self.queue.service_queues.values():
                assert len(service_queue.waiting) <= MAX_WAITING
                assert set(service_queue.running) == {
                    h.number for _a, h in self.held
                }
                assert service_queue.limit.value >= 1
            for submitted in self.submitted:
                if not submitted.task.done():
                    assert now <= submitted.latest_start + 1e-6

        def teardown(self):
            for submitted in self.submitted:
                submitted.task.cancel()
            self.settle()
            for _submitted, held in self.held:
                self.queue.release(held)
            for service_queue in self.queue.service_queues.values():
                assert not service_queue.running
                assert not service_queue.waiting
                assert not service_queue.paused
            self.runner.close()

    return AdmissionMachine


def queue_is_unbounded(monkeypatch):
    real = service_queue_module.ServiceQueue.enqueue

    def enqueue(service_queue, *arguments):
        service_queue.max_waiting = 10**9
        return real(service_queue, *arguments)

    monkeypatch.setattr(service_queue_module.ServiceQueue, 'enqueue', enqueue)


def deadline_is_ignored(monkeypatch):
    monkeypatch.setattr(
        admission.AdmissionQueue,
        'expires_at',
        lambda queue, work, now: now + 2.0,
    )


def first_come_first_served(monkeypatch):
    monkeypatch.setattr(
        service_queue_module.QueuedRequest,
        'sort_key',
        property(lambda request: (0.0, request.number)),
    )


def cancelled_grant_is_lost(monkeypatch):
    monkeypatch.setattr(
        admission.AdmissionQueue, 'release_unclaimed', lambda *arguments: None
    )


def expiry_never_fires(monkeypatch):
    monkeypatch.setattr(
        admission.AdmissionQueue, 'expire', lambda *arguments: None
    )


def requeue_keeps_admission(monkeypatch):
    real = admission.AdmissionQueue.requeue

    async def requeue(queue, held):
        service_queue = queue.get_service_queue(held.work)
        started = service_queue.running[held.number]
        result = await real(queue, held)
        service_queue.running[held.number] = started
        return result

    monkeypatch.setattr(admission.AdmissionQueue, 'requeue', requeue)


MUTATIONS = (
    queue_is_unbounded,
    deadline_is_ignored,
    first_come_first_served,
    cancelled_grant_is_lost,
    expiry_never_fires,
    requeue_keeps_admission,
)


class TestAdmissionMachine:
    """The oracle's checks pass, and fail under each mutation."""

    def test_holds(self, builder):
        machine = make_machine(builder)
        stateful.run_state_machine_as_test(machine, settings=SETTINGS)

    @pytest.mark.parametrize('mutate', MUTATIONS, ids=lambda m: m.__name__)
    def test_catches(self, builder, monkeypatch, mutate):
        mutate(monkeypatch)
        machine = make_machine(builder)
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                machine, settings=MUTATION_SETTINGS
            )

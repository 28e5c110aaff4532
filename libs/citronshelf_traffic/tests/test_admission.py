"""Tests of admission, queueing and the concurrency limit."""

import asyncio

from citronshelf_common import fleet
import pytest

from citronshelf_traffic import admission
from citronshelf_traffic import concurrency
from citronshelf_traffic import work as work_module

Ending = work_module.Ending
IDLE = fleet.LoadReport(1, 2, 0)
QUEUED = fleet.LoadReport(2, 2, 4)


async def make_queue(build, **changes):
    clock = asyncio.get_running_loop().time
    queue = admission.AdmissionQueue(clock=clock)
    queue.set_services({'mint': build.service(**changes)})
    return queue


async def fill(queue, build, **changes):
    """Admit requests up to the limit of a service queue."""
    held = []
    while queue.get_service_queue(build.work(**changes)).has_capacity():
        held.append((await queue.admit(build.work(**changes))).ok)
    return held


class TestQueue:
    """Requests wait in a bounded queue in the order of their worth."""

    def test_waits_for_capacity(self, build, run):
        async def main():
            queue = await make_queue(build)
            held = await fill(queue, build)
            waiting = asyncio.create_task(queue.admit(build.work(9)))
            await asyncio.sleep(0.5)
            assert not waiting.done()
            queue.release(held[0])
            assert (await waiting).ok.waited_s == pytest.approx(0.5)
            with pytest.raises(admission.AdmissionAlreadyReleased):
                queue.release(held[0])

        run(main)

    def test_request_times_out_in_queue(self, build, run):
        async def main():
            queue = await make_queue(build)
            await fill(queue, build)
            refusal = (await queue.admit(build.work(9))).error
            assert refusal.reason == 'queue-time'
            assert queue.clock() == pytest.approx(2.0)

        run(main)

    def test_refuses_request_that_cannot_meet_its_deadline(self, build, run):
        async def main():
            queue = await make_queue(build)
            late = build.work(deadline_at=0.030)
            assert (await queue.admit(late)).error.reason == 'deadline'
            await fill(queue, build)
            for number in range(30):
                asyncio.create_task(queue.admit(build.work(number)))
            await asyncio.sleep(0)
            soon = build.work(deadline_at=0.2)
            refusal = (await queue.admit(soon)).error
            assert refusal.reason == 'expected-wait'
            assert queue.clock() == 0

        run(main)

    def test_equal_worth_is_first_come_first_served(self, build, run):
        async def main():
            queue = await make_queue(build)
            held = await fill(queue, build)
            order = []

            async def admit_and_release(number):
                result = await queue.admit(build.work(number))
                order.append(number)
                queue.release(result.ok)

            tasks = [
                asyncio.create_task(admit_and_release(n)) for n in range(10)
            ]
            await asyncio.sleep(0.1)
            for admitted in held:
                queue.release(admitted)
            await asyncio.gather(*tasks)
            assert order == sorted(order)

        run(main)

    def test_long_work_uses_no_capacity_of_short_work(self, build, run):
        async def main():
            queue = await make_queue(build)
            await fill(queue, build, long=True)
            result = await queue.admit(build.work())
            assert result.ok.waited_s == 0

        run(main)

    def test_queue_of_removed_service_is_dropped_when_empty(self, build, run):
        async def main():
            queue = await make_queue(build)
            held = await fill(queue, build)
            queue.set_services({})
            for admitted in held:
                queue.release(admitted)
            queue.set_services({})
            assert not queue.service_queues

        run(main)


class TestRequeue:
    """A request that no server accepted waits again and keeps its limit."""

    def test_pause_grows_until_the_time_limit(self, build, run):
        async def main():
            queue = await make_queue(build, queue_limit_ms=200)
            result = await queue.admit(build.work())
            rounds = 0
            while result.is_ok():
                result = await queue.requeue(result.ok)
                rounds += 1
            # Pauses of 5, 10, 20 and then 40 ms: seven fit into 200 ms, and
            # the eighth round is refused.
            assert rounds == 8
            assert result.error.reason == 'no-free-server'
            assert queue.clock() <= 0.2
            assert not queue.get_service_queue(build.work()).running

        run(main)

    def test_idle_slot_ends_the_pause(self, build, run):
        async def main():
            queue = await make_queue(build)
            first = (await queue.admit(build.work(1))).ok
            other = (await queue.admit(build.work(2))).ok
            again = asyncio.create_task(queue.requeue(first))
            await asyncio.sleep(0.001)
            queue.record_ending(other, Ending.ANSWERED, IDLE)
            await again
            assert queue.clock() == pytest.approx(0.001)

        run(main)

    @pytest.mark.parametrize('is_woken', [False, True])
    def test_service_may_be_removed_during_the_pause(
        self, build, run, is_woken
    ):
        async def main():
            queue = await make_queue(build)
            first = (await queue.admit(build.work(1))).ok
            again = asyncio.create_task(queue.requeue(first))
            await asyncio.sleep(0.001)
            if is_woken:
                queue.get_service_queue(build.work()).wake_paused()
            queue.set_services({})
            admitted = (await again).ok
            queue.release(admitted)
            assert not queue.get_service_queue(build.work()).running

        run(main)


class TestAdaptiveLimit:
    """The limit decreases when servers queue, and grows when reached."""

    def test_decreases_once_for_one_burst(self, build, run):
        async def main():
            queue = await make_queue(build)
            held = await fill(queue, build)
            for admitted in held:
                queue.record_ending(admitted, Ending.ANSWERED, QUEUED)
            limit = queue.get_service_queue(build.work()).limit
            assert limit.value == pytest.approx(
                concurrency.INITIAL_LIMIT * concurrency.DECREASE_FACTOR
            )

        run(main)

    def test_stays_at_least_one(self):
        limit = concurrency.AdaptiveLimit()
        for number in range(1000):
            limit.decrease(number, 0.1)
        assert limit.max_running() == 1

    def test_grows_only_at_the_limit(self):
        limit = concurrency.AdaptiveLimit()
        for _ in range(100):
            limit.record_ending(Ending.ANSWERED, IDLE, is_at_limit=False)
        assert limit.value == concurrency.INITIAL_LIMIT
        for _ in range(100):
            limit.record_ending(Ending.ANSWERED, IDLE, is_at_limit=True)
        assert limit.max_running() > 10

    def test_shed_without_queue_is_not_overload(self):
        limit = concurrency.AdaptiveLimit()
        full = fleet.LoadReport(2, 2, 0)
        assert not limit.record_ending(Ending.SHED, full, is_at_limit=True)

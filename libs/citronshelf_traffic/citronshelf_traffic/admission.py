"""Admits, queues or refuses requests of each service."""

import asyncio
import logging
import time

from citronshelf_common import fleet
from expression import Error
from expression import Ok
from expression import Result

from citronshelf_traffic import events
from citronshelf_traffic import service_queue as service_queue_module
from citronshelf_traffic import work as work_module

LOG = logging.getLogger(__name__)

DEFAULT_QUEUE_LIMIT_MS = 2000.0
# Pause before a request is queued again after no server accepted it; doubled
# in each round so that the instances do not flood an overloaded pool.
INITIAL_PAUSE_S = 0.005
MAX_DOUBLINGS = 3


class AdmissionAlreadyReleased(Exception):
    """An admission was released more than once."""


class AdmissionQueue:
    """Admits, queues or refuses requests, separately for each service.

    Short and long requests of a service are also separate.

    Parameters
    ----------
    clock : callable
        Returns seconds; must advance at the rate of the event loop's clock.
    max_waiting : int
        Maximum number of waiting requests of one service queue.
    """

    def __init__(
        self,
        *,
        clock=time.monotonic,
        max_waiting: int = service_queue_module.MAX_WAITING,
    ):
        self.clock = clock
        self.max_waiting = max_waiting
        self.services = {}
        self.service_queues = {}

    def set_services(self, services) -> None:
        """Set the services of the document, by name.

        Queues of removed services are kept if they still have running,
        waiting or paused requests, and are otherwise dropped.
        """
        self.services = dict(services)
        self.service_queues = {
            key: service_queue
            for key, service_queue in self.service_queues.items()
            if service_queue.service in self.services
            or service_queue.running
            or service_queue.waiting
            or service_queue.paused
        }

    def get_service_queue(self, work) -> service_queue_module.ServiceQueue:
        """Return the service queue of a request; create it if needed."""
        key = (work.service, work.long)
        service_queue = self.service_queues.get(key)
        if service_queue is None:
            service_queue = service_queue_module.ServiceQueue(
                service=work.service, max_waiting=self.max_waiting
            )
            self.service_queues[key] = service_queue
        return service_queue

    def has_waiting_requests(self, work) -> bool:
        """Return whether requests wait in the service queue of a request."""
        return bool(self.get_service_queue(work).waiting)

    def expires_at(self, work, now: float) -> float:
        """Return the clock reading until which a request may wait, in s.

        This is the time limit of the queue, or earlier so that the expected
        service time fits before the deadline.
        """
        service = self.services.get(work.service)
        limit_ms = service.queue_limit_ms if service else None
        if limit_ms is None:
            limit_ms = DEFAULT_QUEUE_LIMIT_MS
        latest_start = work.deadline_at - work.expected_ms / 1000
        return min(now + limit_ms / 1000, latest_start)

    async def admit(self, work) -> Result:
        """Admit a request, after a wait if necessary, or refuse it.

        Returns
        -------
        Result
            ``Ok`` with an ``Admission``, to be released once, or ``Error``
            with an ``AdmissionRefusal``.
        """
        now = self.clock()
        service_queue = self.get_service_queue(work)
        expires_at = self.expires_at(work, now)
        if expires_at < now:
            return self.refuse(service_queue, work, 'deadline')
        if service_queue.has_capacity() and not service_queue.waiting:
            admission = service_queue.start(
                work, now, waited_s=0.0, expires_at=expires_at
            )
            return self.log_decision(service_queue, work, Ok(admission))
        if now + service_queue.expected_wait_s(work) > expires_at:
            return self.refuse(service_queue, work, 'expected-wait')
        return await self.enqueue_and_wait(
            service_queue, work, now, expires_at, 0
        )

    async def requeue(
        self, admission: service_queue_module.Admission
    ) -> Result:
        """Release an admission and queue its request again.

        For a request that no server accepted. It keeps its time limit and is
        refused if the pause would exceed it. The pause doubles in each round,
        up to a maximum, and may end early when a server with an idle slot
        responds. Also decreases the concurrency limit, at most once per
        service time.

        Returns
        -------
        Result
            As for ``admit``; the given admission is always released.
        """
        work = admission.work
        service_queue = self.get_service_queue(work)
        service_queue.limit.decrease(
            self.clock(), service_queue.mean_service_s(work)
        )
        self.release(admission)
        pause_s = INITIAL_PAUSE_S * 2 ** min(admission.rounds, MAX_DOUBLINGS)
        if self.clock() + pause_s > admission.expires_at:
            return self.refuse(service_queue, work, 'no-free-server')
        await service_queue.pause(pause_s)
        now = self.clock()
        rounds = admission.rounds + 1
        return await self.enqueue_and_wait(
            service_queue, work, now, admission.expires_at, rounds
        )

    async def enqueue_and_wait(
        self, service_queue, work, now, expires_at, rounds
    ) -> Result:
        """Queue a request and wait until it is admitted or refused."""
        queued = service_queue.enqueue(work, now, expires_at, rounds)
        if queued is None:
            return self.refuse(service_queue, work, 'queue-full')
        events.log_event(
            LOG,
            events.WORK_QUEUED,
            request_id=work.request_id,
            service=work.service,
            waiting=len(service_queue.waiting),
            worth_rate=round(work.worth_rate, 5),
            rounds=rounds,
        )
        service_queue.admit_waiting(now)
        return self.log_decision(
            service_queue,
            work,
            await self.wait_for_decision(service_queue, queued, now),
        )

    async def wait_for_decision(
        self, service_queue, queued, now: float
    ) -> Result:
        """Wait until one queued request is admitted or refused."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            max(0.0, queued.expires_at - now),
            self.expire,
            service_queue,
            queued,
        )
        try:
            return await queued.future
        except asyncio.CancelledError:
            self.release_unclaimed(service_queue, queued)
            raise
        finally:
            timer.cancel()
            service_queue.discard(queued)

    def expire(self, service_queue, queued) -> None:
        """Refuse a queued request at its time limit."""
        service_queue.discard(queued)
        queued.resolve(
            Error(service_queue.make_refusal('queue-time', queued.work))
        )

    def release_unclaimed(self, service_queue, queued) -> None:
        """Release an admission that a cancelled task did not receive."""
        if not queued.future.done() or queued.future.cancelled():
            return
        result = queued.future.result()
        if result.is_ok():
            self.release(result.ok)

    def refuse(self, service_queue, work, reason: str) -> Result:
        """Refuse a request and log the refusal."""
        return self.log_decision(
            service_queue,
            work,
            Error(service_queue.make_refusal(reason, work)),
        )

    def log_decision(self, service_queue, work, result: Result) -> Result:
        """Log the admission or refusal in a result; return the result."""
        fields = {
            'request_id': work.request_id,
            'service': work.service,
            'request_class': work.request_class,
            'running': len(service_queue.running),
            'limit': service_queue.limit.max_running(),
            'waiting': len(service_queue.waiting),
        }
        if result.is_ok():
            waited_ms = round(result.ok.waited_s * 1000, 1)
            event = events.WORK_ADMITTED
            events.log_event(LOG, event, waited_ms=waited_ms, **fields)
        else:
            reason = result.error.reason
            events.log_event(LOG, events.WORK_REFUSED, reason=reason, **fields)
        return result

    def record_ending(
        self,
        admission: service_queue_module.Admission,
        ending: work_module.Ending,
        load: fleet.LoadReport | None = None,
    ) -> None:
        """Adapt the concurrency limit after one dispatch.

        Also wakes a paused request when the server has an idle slot.

        Parameters
        ----------
        admission : Admission
        ending : Ending
        load : fleet.LoadReport, optional
            Load reported in the response.
        """
        work = admission.work
        service_queue = self.get_service_queue(work)
        before = service_queue.limit.max_running()
        is_overloaded = service_queue.limit.record_ending(
            ending, load, is_at_limit=len(service_queue.running) >= before
        )
        if is_overloaded:
            service_queue.limit.decrease(
                self.clock(), service_queue.mean_service_s(work)
            )
        if load is not None and load.busy < load.slots:
            service_queue.wake_paused()
        if service_queue.limit.max_running() != before:
            events.log_event(
                LOG,
                events.LIMIT_CHANGED,
                service=work.service,
                long=work.long,
                limit=service_queue.limit.max_running(),
                cause='overload' if is_overloaded else 'answers',
            )

    def release(self, admission: service_queue_module.Admission) -> None:
        """Release an admission and admit waiting requests.

        Raises
        ------
        AdmissionAlreadyReleased
            If it was released before.
        """
        service_queue = self.get_service_queue(admission.work)
        if admission.number not in service_queue.running:
            raise AdmissionAlreadyReleased(
                f'admission {admission.number} was already released'
            )
        now = self.clock()
        service_queue.finish(admission, now)
        service_queue.admit_waiting(now)

"""Simulates work at a backend server: slots, queue, execution counts."""

import asyncio
import collections
import random
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_standins import faults as fault_settings

# Multiplies the service time during the cold start.
COLD_START_FACTOR = 3.0


class WorkSettings(NamedTuple):
    """Capacity and speed of a stand-in server.

    Attributes
    ----------
    slots : int
        Number of requests executed at once.
    queue_limit : int
        Number of requests that may wait for a slot; further ones are
        shed.
    default_work_ms : float
        Service time in ms of a request that specifies none.
    cold_start_s : float
        Duration of the cold start in seconds. Until it has passed, service
        times are multiplied by ``COLD_START_FACTOR``.
    """

    slots: int
    queue_limit: int
    default_work_ms: float
    cold_start_s: float


class WorkRequest(NamedTuple):
    """Parameters of a request for work.

    Attributes
    ----------
    request_id : str
        Identifies the request for cancellation.
    work_id : str
        Identifies the work; retries and hedges of it have the same ID.
    duration_ms : float or None
        Service time in ms; None for the default of the server.
    deadline_ms : float or None
        Time in ms from the arrival within which execution has to begin; None
        for no limit.
    """

    request_id: str
    work_id: str
    duration_ms: float | None
    deadline_ms: float | None


class Worker:
    """Executes work in a bounded number of slots.

    Parameters
    ----------
    settings : WorkSettings
    clock : callable
        Returns monotonic time in seconds.
    rng : random.Random
    on_execution : callable, optional
        Called with each request when its execution begins.

    Attributes
    ----------
    executions : Counter
        Number of executions by work ID.
    refused : int
        Number of requests refused because they were shed, because the server
        was draining or because their deadline had passed.
    running : dict of str to Task
        Queued and running requests by request ID, for ``cancel``; the caller
        of ``run`` adds and removes them.
    """

    def __init__(
        self,
        *,
        settings: WorkSettings,
        clock,
        rng: random.Random,
        on_execution=lambda request: None,
    ):
        self.settings = settings
        self.on_execution = on_execution
        self.clock = clock
        self.rng = rng
        self.started_s = clock()
        self.slots = asyncio.Semaphore(settings.slots)
        self.busy = 0
        self.queued = 0
        self.draining = False
        self.faults: fault_settings.ServerFaults = {}
        self.executions: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.cancelled = 0
        self.running: dict[str, asyncio.Task] = {}

    def active_faults(self) -> fault_settings.ServerFaults:
        """Return the injected faults that have an effect now."""
        return fault_settings.active_faults(self.faults, self.clock())

    def refusal_reason(self, request: WorkRequest) -> str | None:
        """Return why a request is refused on arrival, or None."""
        if self.draining:
            return 'draining'
        if self.active_faults().get('shed'):
            return 'shed'
        if self.busy + self.queued >= self.settings.slots + (
            self.settings.queue_limit
        ):
            return 'shed'
        if request.deadline_ms is not None and request.deadline_ms <= 0:
            return 'deadline'
        return None

    async def run(self, request: WorkRequest) -> Result:
        """Wait for a slot and execute a request, unless it is refused.

        Returns
        -------
        Result
            ``Ok`` with the number of executions of this work so far, or
            ``Error`` with the reason if the request was not executed.
        """
        reason = self.refusal_reason(request)
        if reason is not None:
            self.refused += 1
            return Error(reason)
        arrived_s = self.clock()
        self.queued += 1
        try:
            await self.slots.acquire()
        finally:
            self.queued -= 1
        self.busy += 1
        try:
            return await self.execute(request, arrived_s)
        finally:
            self.busy -= 1
            self.slots.release()

    async def execute(self, request: WorkRequest, arrived_s: float) -> Result:
        """Execute a request that holds a slot.

        Returns ``Error`` if its deadline passed while it was queued.
        """
        waited_ms = (self.clock() - arrived_s) * 1000
        if request.deadline_ms is not None and (
            waited_ms >= request.deadline_ms
        ):
            self.refused += 1
            return Error('deadline')
        self.executions[request.work_id] += 1
        self.on_execution(request)
        await asyncio.sleep(self.service_time_s(request))
        return Ok(self.executions[request.work_id])

    def service_time_s(self, request: WorkRequest) -> float:
        """Return the service time in seconds, with faults and cold start."""
        duration_ms = request.duration_ms
        if duration_ms is None:
            duration_ms = self.settings.default_work_ms
        active = self.active_faults()
        if self.rng.random() < active.get('slow_share', 1.0):
            duration_ms *= active.get('slow_factor', 1.0)
        if self.clock() - self.started_s < self.settings.cold_start_s:
            duration_ms *= COLD_START_FACTOR
        return duration_ms / 1000

    def cancel(self, request_id: str) -> bool:
        """Cancel a queued or running request.

        An execution that has begun stays counted.

        Returns
        -------
        bool
            Whether the request was found.
        """
        task = self.running.get(request_id)
        if task is None:
            return False
        self.cancelled += 1
        task.cancel()
        return True

    def load(self) -> dict[str, int]:
        """Return the load to report; a fault may override ``busy``."""
        busy = self.active_faults().get('load_busy', self.busy)
        return {
            'busy': busy,
            'slots': self.settings.slots,
            'queue': self.queued,
        }

    def health(self) -> str:
        """Return the health to report; a fault overrides it."""
        override = self.active_faults().get('health')
        if override is not None:
            return override
        if self.draining:
            return 'draining'
        if self.clock() - self.started_s < self.settings.cold_start_s:
            return 'starting'
        return 'ok'

"""Hedging: a second attempt for an idempotent request that is late."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from citronshelf_entry import attempt as attempts
from citronshelf_entry import classify

StartSecond = Callable[[], Awaitable[attempts.Attempt | None]]


class Race:
    """Waits for the first usable response from one or two attempts.

    Parameters
    ----------
    first : Attempt
    read_all : bool
        Wait for the end of large responses too.
    """

    def __init__(self, *, first: attempts.Attempt, read_all: bool):
        self.read_all = read_all
        self.attempts = [first]
        self.winner: attempts.Attempt | None = None
        self.tasks: dict[asyncio.Task, attempts.Attempt] = {}

    async def run(
        self, delay_s: float | None, start_second: StartSecond
    ) -> tuple[attempts.AttemptResult, attempts.Attempt]:
        """Return the result to use and its attempt.

        If there is no response, a failure is returned with the first attempt.

        Parameters
        ----------
        delay_s : float or None
            Time after which a second attempt may start; None for never.
        start_second : callable
            Starts the second attempt and returns it; returns None if hedging
            is not allowed or no server is available.
        """
        first = self.attempts[0]
        try:
            if delay_s is None:
                result = await first.result(read_all=self.read_all)
                self.winner = first
                return result, first
            self.watch(first)
            done, _ = await asyncio.wait(self.tasks, timeout=delay_s)
            if not done:
                second = await start_second()
                if second is not None:
                    self.attempts.append(second)
                    self.watch(second)
            return await self.first_usable()
        finally:
            self.cancel_losers()

    def watch(self, attempt: attempts.Attempt) -> None:
        """Wait for an attempt in its own task."""
        task = asyncio.create_task(attempt.result(read_all=self.read_all))
        self.tasks[task] = attempt

    async def first_usable(self):
        """Return the first response, or a failure if there is none.

        A "not run" failure is returned only if no attempt may have run.
        """
        waiting = set(self.tasks)
        worst = None
        while waiting:
            done, waiting = await asyncio.wait(
                waiting, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                result = task.result()
                if not isinstance(result, classify.Failure):
                    return self.select_winner(task)
                if worst is None or may_have_run(result):
                    worst = result
        return worst, self.attempts[0]

    def select_winner(self, task: asyncio.Task):
        """Return the winning result and its attempt.

        If the second attempt wins while the first is still running, the first
        is recorded as a straggler.
        """
        self.winner = self.tasks[task]
        first = self.attempts[0]
        if self.winner is not first and not first.concluded:
            first.observer.record_straggler(first)
        return task.result(), self.winner

    def cancel_losers(self) -> None:
        """Cancel every attempt whose response is not used."""
        for attempt in self.attempts:
            if attempt is not self.winner:
                attempt.cancel()


def may_have_run(failure: classify.Failure) -> bool:
    """Return whether a failed attempt may have run the work."""
    return failure.execution is not classify.ExecutionStatus.NOT_RUN

"""Admission, server choice, hedging and retries of one request."""

import logging
from typing import Protocol

from tornado import iostream

from citronshelf_common import events as log_events
from citronshelf_common import outcomes
from citronshelf_entry import attempt as attempts
from citronshelf_entry import classify
from citronshelf_entry import clock
from citronshelf_entry import control_link
from citronshelf_entry import events
from citronshelf_entry import evidence
from citronshelf_entry import exchange
from citronshelf_entry import freshness
from citronshelf_entry import hedging
from citronshelf_entry import instance_state
from citronshelf_entry import job as jobs
from citronshelf_entry import metrics as entry_metrics
from citronshelf_entry import observer as observers
from citronshelf_entry import server_checks
from citronshelf_entry import upstream
from citronshelf_traffic import budgets
from citronshelf_traffic import work as traffic_work

LOG = logging.getLogger(__name__)
Ending = traffic_work.Ending
MAX_CHECKED_SERVERS = 8
CALLER_GONE = 'caller-gone'
# Reasons of the server chooser for which work is queued again, because they
# may no longer apply when it leaves the queue.
REQUEUE_REASONS = frozenset({'not-usable', 'tried-all', 'connections'})


class ResponseReceiver(Protocol):
    """Receives a large response while it arrives."""

    async def start(self, head: exchange.ResponseHead, first: bytes) -> None:
        """Send the head and the first bytes."""

    async def write(self, data: bytes) -> None:
        """Send more bytes and wait until they have been written."""

    def finish(self) -> None:
        """Mark the response as complete."""

    def abort(self) -> None:
        """Close the connection to the caller."""


class Dispatcher:
    """Sends requests to backend servers.

    Parameters
    ----------
    state : InstanceState
    client : UpstreamClient
    counter : EvidenceCounter
    link : ControlLink
    checks : ServerChecks
    metrics : EntryMetrics
    """

    def __init__(
        self,
        *,
        state: instance_state.InstanceState,
        client: upstream.UpstreamClient,
        counter: evidence.EvidenceCounter,
        link: control_link.ControlLink,
        checks: server_checks.ServerChecks,
        metrics: entry_metrics.EntryMetrics,
    ):
        self.state = state
        self.client = client
        self.counter = counter
        self.link = link
        self.checks = checks
        self.metrics = metrics
        self.drain_reporter = observers.DrainReporter(link=link)

    async def run(
        self, job: jobs.Job, receiver: ResponseReceiver | None = None
    ) -> outcomes.Outcome | None:
        """Run one request.

        Parameters
        ----------
        job : Job
        receiver : ResponseReceiver, optional
            Receives a large response; without one every response is
            buffered completely.

        Returns
        -------
        Outcome or None
            None if the complete response was written to the receiver.
        """
        limited = self.state.rules.limiter.admit(job.account)
        if limited.is_error():
            return not_run(limited.error.reason)
        self.state.rules.record_fresh(job.work.service)
        admitted = await self.state.rules.admission.admit(job.work)
        if admitted.is_error():
            return not_run(admitted.error.reason)
        return await self.run_until_accepted(job, admitted.ok, receiver)

    async def run_until_accepted(self, job, admitted, receiver):
        """Run admitted work; queue it again when no server accepts it.

        Once the caller has disconnected or the work cannot be queued again,
        the last outcome is returned.
        """
        queue = self.state.rules.admission
        try:
            while True:
                outcome, may_wait = await self.run_admitted(
                    job, admitted, receiver
                )
                if not may_wait or job.abandoned:
                    return outcome
                released, admitted = admitted, None
                again = await queue.requeue(released)
                if again.is_error():
                    return outcome
                admitted = again.ok
        finally:
            if admitted is not None:
                queue.release(admitted)

    async def run_admitted(self, job, admitted, receiver):
        """Dispatch the work until it has an outcome.

        Returns
        -------
        tuple of (Outcome or None, bool)
            The outcome, or None if the response was written to the receiver;
            and whether the work may be queued and dispatched again, which
            holds if it did not run because no server accepted it.
        """
        tried: frozenset[str] = frozenset()
        last: classify.Failure | None = None
        while True:
            placement = await self.choose_server(job, tried)
            if isinstance(placement, str):
                reason = last.reason if last else placement
                return refused(job, reason), placement in REQUEUE_REASONS
            observer = observers.Observer(
                rules=self.state.rules,
                counter=self.counter,
                drain_reporter=self.drain_reporter,
                admitted=admitted,
            )
            result, used = await self.send(
                job, placement, observer, tried, receiver is None
            )
            match result:
                case outcomes.Response():
                    return result, False
                case attempts.PartialResponse():
                    return await self.stream_response(
                        used, result, receiver
                    ), False
            if result.execution is not classify.ExecutionStatus.NOT_RUN:
                if not result.shed:
                    return outcomes.Unknown(reason=result.reason), False
                job.may_have_run = True
            if result.reason == exchange.SEND_WITHDRAWN:
                # No server refused the work; the choice was too old when the
                # connection was ready. It is repeated until the deadline.
                continue
            if not self.may_choose_again(job, observer, tried):
                is_shed = observer.ending is Ending.SHED
                return refused(job, result.reason), is_shed
            last = result
            tried = tried | observer.servers

    def may_choose_again(self, job, observer, tried) -> bool:
        """Return whether work that did not run may be sent to another server.

        Uses the service's retry budget if the retry needs it.
        """
        retries = self.state.rules.retries.get(job.work.service)
        if job.abandoned or retries is None:
            return False
        return budgets.may_choose_again(
            observer.ending,
            job.work,
            tried,
            clock.now_s(),
            retries,
        )

    async def choose_server(self, job: jobs.Job, tried: frozenset[str]):
        """Choose a server, confirmed by a fresh view or a health check.

        Without a fresh view, up to ``MAX_CHECKED_SERVERS`` servers are
        chosen and checked until one passes.

        Returns
        -------
        Placement or str
            The reason if no server can be chosen.
        """
        excluded = tried
        for _ in range(MAX_CHECKED_SERVERS):
            fresh = await self.link.ensure_fresh()
            if job.abandoned:
                return 'caller-gone'
            if job.remaining_s() <= 0:
                return 'deadline'
            if job.work.service not in self.state.rules.hedges:
                # The document changed while the request was queued.
                return 'service-removed'
            chosen = self.state.rules.chooser.choose(job.work, excluded)
            if chosen.is_error() and excluded != tried:
                break
            if chosen.is_error():
                return chosen.error.reason
            if fresh:
                return chosen.ok
            if await self.passes_check(job, chosen.ok):
                return chosen.ok
            excluded = excluded | {chosen.ok.server.server_id}
        return 'no-checked-server'

    async def passes_check(self, job, placement) -> bool:
        """Return whether a server passes a health check by this instance.

        False also if the check took longer than ``SUSPENSION_GAP_S``, if the
        request was abandoned or if its deadline has passed.
        """
        started_s = clock.now_s()
        usable = await self.checks.is_usable(placement.server)
        elapsed_s = clock.now_s() - started_s
        if elapsed_s > freshness.SUSPENSION_GAP_S or job.abandoned:
            return False
        return usable and job.remaining_s() > 0

    async def send(self, job, placement, observer, tried, read_all):
        """Send to one server; hedge with a second one if the first is late.

        A hedge needs hedge budget and another usable server, and is not sent
        while requests wait for admission to the service.

        Parameters
        ----------
        job : Job
        placement : Placement
            Server of the first attempt.
        observer : Observer
        tried : frozenset of str
            Servers that must not get the hedge.
        read_all : bool
            Wait for the end of large responses too.

        Returns
        -------
        tuple of (AttemptResult, Attempt)
        """
        hedges = self.state.rules.hedges[job.work.service]
        delay_s = hedges.delay_s(job.work)
        first = self.start_attempt(job, placement, observer)
        race = hedging.Race(first=first, read_all=read_all)

        async def start_second() -> attempts.Attempt | None:
            running_s = clock.now_s() - first.started_s
            is_busy = self.state.rules.admission.has_waiting_requests(job.work)
            if not hedges.try_spend_hedge(
                job.work, running_s, is_busy=is_busy
            ):
                return None
            other = await self.choose_server(job, tried | {first.server_id})
            if isinstance(other, str) or first.concluded:
                return None
            self.metrics.count('hedges')
            return self.start_attempt(job, other, observer)

        return await race.run(delay_s, start_second)

    def start_attempt(self, job, placement, observer) -> attempts.Attempt:
        """Start an attempt and count it as a dispatch."""
        self.metrics.count('dispatches')
        return attempts.Attempt(
            job=job,
            placement=placement,
            client=self.client,
            observer=observer,
        )

    async def stream_response(
        self, attempt, partial, receiver
    ) -> outcomes.Outcome | None:
        """Write a large response to the receiver while it arrives.

        Returns
        -------
        Outcome or None
            ``Broken`` if the response broke off or the caller disconnected;
            None if the complete response was written.
        """
        size = len(partial.first)
        try:
            await receiver.start(partial.head, partial.first)
            while True:
                part = await attempt.exchange.read()
                if isinstance(part, classify.Failure):
                    attempt.conclude_failure(part)
                    return self.abort_response(attempt, receiver, part.reason)
                size += len(part.data)
                await receiver.write(part.data)
                if part.last:
                    attempt.conclude_response(partial.head, size)
                    receiver.finish()
                    return None
        except iostream.StreamClosedError:
            return outcomes.Broken(reason=CALLER_GONE)
        finally:
            attempt.cancel()

    def abort_response(
        self, attempt, receiver, reason: str
    ) -> outcomes.Broken:
        """Log a broken response and return it as the outcome.

        Closes the connection, so that the caller sees a broken response.
        """
        log_events.log_event(
            LOG,
            events.RESPONSE_BROKEN,
            request_id=attempt.job.work.request_id,
            server=attempt.server_id,
            reason=reason,
        )
        receiver.abort()
        return outcomes.Broken(reason=reason)


def refused(job: jobs.Job, reason: str) -> outcomes.NotRun | outcomes.Unknown:
    """Return the outcome for work that no server accepted."""
    if job.may_have_run:
        return outcomes.Unknown(reason=reason)
    return not_run(reason)


def not_run(reason: str) -> outcomes.NotRun:
    """Return the outcome for work that no server ran."""
    return outcomes.NotRun(reason=reason)

"""Reports the results of dispatches to the rest of the daemon."""

import logging

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_entry import classify
from citronshelf_entry import clock
from citronshelf_entry import control_link
from citronshelf_entry import events
from citronshelf_entry import evidence
from citronshelf_entry import exchange
from citronshelf_entry import traffic_rules
from citronshelf_traffic import choosing
from citronshelf_traffic import service_queue
from citronshelf_traffic import work as traffic_work

LOG = logging.getLogger(__name__)
Ending = traffic_work.Ending
DRAIN_REPORT_INTERVAL_S = 1.0
MAX_DRAIN_REPORTS = 4096


class DrainReporter:
    """Notifies the control daemon of draining servers.

    Each server is reported at most once in ``DRAIN_REPORT_INTERVAL_S``,
    except that at ``MAX_DRAIN_REPORTS`` servers all report times are
    discarded.

    Parameters
    ----------
    link : ControlLink
    """

    def __init__(self, *, link: control_link.ControlLink):
        self.link = link
        self.sent_s: dict[str, float] = {}

    def report(self, server_id: str) -> None:
        """Report a server that announced that it is draining."""
        now_s = clock.now_s()
        last_s = self.sent_s.get(server_id, float('-inf'))
        if now_s - last_s < DRAIN_REPORT_INTERVAL_S:
            return
        if len(self.sent_s) >= MAX_DRAIN_REPORTS:
            self.sent_s.clear()
        self.sent_s[server_id] = now_s
        log_events.log_event(LOG, events.SERVER_DRAINING, server=server_id)
        self.link.send_drain_signal(server_id)


class Observer:
    """Records the results of the dispatches of one request.

    Parameters
    ----------
    rules : TrafficRules
    counter : EvidenceCounter
    drain_reporter : DrainReporter
    admitted : Admission
    """

    def __init__(
        self,
        *,
        rules: traffic_rules.TrafficRules,
        counter: evidence.EvidenceCounter,
        drain_reporter: DrainReporter,
        admitted: service_queue.Admission,
    ):
        self.rules = rules
        self.counter = counter
        self.drain_reporter = drain_reporter
        self.admitted = admitted
        self.servers: frozenset[str] = frozenset()
        self.ending = Ending.NO_SERVER

    def begin(self, placement: choosing.Placement) -> None:
        """Record the start of a dispatch and its server."""
        self.servers = self.servers | {placement.server.server_id}
        self.rules.chooser.begin(placement)

    def on_head(self, attempt, head: exchange.ResponseHead) -> None:
        """Report a draining server as soon as the head has arrived."""
        if exchange.is_draining(head):
            self.drain_reporter.report(attempt.server_id)

    def record_response(
        self, attempt, head: exchange.ResponseHead, size: int
    ) -> None:
        """Record a complete response.

        Only the latency of a response with a status below 400 counts for the
        hedge delay.
        """
        load = exchange.parse_load(head)
        draining = exchange.is_draining(head)
        ending = Ending.DRAINING if draining else Ending.ANSWERED
        self.rules.chooser.end(
            attempt.placement, load, ending=ending, response_bytes=size
        )
        self.rules.admission.record_ending(
            self.admitted, Ending.ANSWERED, load
        )
        self.ending = Ending.ANSWERED
        time_s = attempt.head_s - attempt.started_s
        kind = attempt.job.kind
        server = attempt.placement.server
        self.counter.count_response(server, kind, head.status, time_s)
        hedges = self.rules.hedges.get(attempt.job.work.service)
        if hedges is not None and head.status < 400:
            hedges.record_latency(attempt.job.work, time_s)

    def record_failure(
        self,
        attempt,
        failure: classify.Failure,
        ending: Ending,
        load: fleet.LoadReport | None,
    ) -> None:
        """Record a dispatch that failed, was shed or was cancelled."""
        self.rules.chooser.end(attempt.placement, load, ending=ending)
        self.rules.admission.record_ending(self.admitted, ending, load)
        self.ending = ending
        self.counter.count_failure(
            attempt.server_id, attempt.job.kind, failure.signal
        )

    def record_straggler(self, attempt) -> None:
        """Record a straggler whose hedge responded first."""
        self.counter.count_straggler(attempt.server_id, attempt.job.kind)

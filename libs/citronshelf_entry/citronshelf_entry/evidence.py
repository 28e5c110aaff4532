"""Counts outcomes per server for the control daemon."""

import collections
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_entry import classify
from citronshelf_health import slowness

MAX_COUNTERS = 8192


class WorkKind(NamedTuple):
    """Group of requests whose response times are compared.

    Attributes
    ----------
    pool : str
    request_class : str
    long : bool
        The response time of long work is not used as evidence.
    """

    pool: str
    request_class: str
    long: bool


class EvidenceCounter:
    """Counts outcomes by server and request class until they are reported."""

    def __init__(self):
        self.counts: dict[tuple[str, str], collections.Counter] = {}
        self.classifier = slowness.SlowResponseClassifier()

    def count_response(
        self,
        server: fleet.BackendServer,
        kind: WorkKind,
        status: int,
        time_s: float,
    ) -> None:
        """Count a complete response.

        Statuses 400 to 499 are not counted: they are caused by the caller,
        not by the server.

        Parameters
        ----------
        server : BackendServer
        kind : WorkKind
        status : int
        time_s : float
            From the dispatch to the head of the response.
        """
        if 400 <= status < 500:
            return
        if status >= 500:
            self.count(server.server_id, kind, 'errored')
            return
        slow = not kind.long and self.classifier.record_and_classify(
            kind.request_class, server, time_s
        )
        self.count(server.server_id, kind, 'slow' if slow else 'good')

    def count_failure(
        self, server_id: str, kind: WorkKind, signal: classify.FailureSignal
    ) -> None:
        """Count an exchange that failed, was shed or was cancelled.

        Failures with the signal NONE are not counted, nor is SLOW for long
        work.
        """
        if signal is classify.FailureSignal.NONE:
            return
        if signal is classify.FailureSignal.SLOW and kind.long:
            return
        self.count(server_id, kind, signal.value)

    def count_straggler(self, server_id: str, kind: WorkKind) -> None:
        """Count a server as slow because a hedge elsewhere responded first.

        Long work is not counted.
        """
        self.count_failure(server_id, kind, classify.FailureSignal.SLOW)

    def count(self, server_id: str, kind: WorkKind, outcome: str) -> None:
        """Increment the count of an outcome.

        At ``MAX_COUNTERS`` pairs of server and request class, outcomes of
        further pairs are ignored.
        """
        key = (server_id, kind.request_class)
        counter = self.counts.get(key)
        if counter is None:
            if len(self.counts) >= MAX_COUNTERS:
                return
            counter = self.counts[key] = collections.Counter()
        counter[outcome] += 1

    def pop_counts(self) -> tuple[fleet.OutcomeCounts, ...]:
        """Return the counts since the previous call and reset them."""
        counts, self.counts = self.counts, {}
        return tuple(
            fleet.OutcomeCounts(server_id, request_class, **counter)
            for (server_id, request_class), counter in counts.items()
        )

"""Outcome counts of servers for the control daemon."""

import collections
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_entry import classify
from citronshelf_health import slowness

MAX_COUNTERS = 8192


class WorkKind(NamedTuple):
    """Requests whose answer times are compared.

    Attributes
    ----------
    pool : str
    request_class : str
    long : bool
        The time of long work is no evidence.
    """

    pool: str
    request_class: str
    long: bool


class EvidenceCounter:
    """Counts outcomes by server and class until they are taken."""

    def __init__(self):
        self.counts: dict[tuple[str, str], collections.Counter] = {}
        self.judge = slowness.SlownessJudge()

    def count_response(
        self,
        server: fleet.BackendServer,
        kind: WorkKind,
        status: int,
        time_s: float,
    ) -> None:
        """Count a whole answer.

        Statuses 400 to 499 say something about the caller, not about the
        server.

        Parameters
        ----------
        server : BackendServer
        kind : WorkKind
        status : int
        time_s : float
            From the dispatch to the head of the answer.
        """
        if 400 <= status < 500:
            return
        if status >= 500:
            self.count(server.server_id, kind, 'errored')
            return
        slow = not kind.long and self.judge.observe(
            kind.request_class, server, time_s
        )
        self.count(server.server_id, kind, 'slow' if slow else 'good')

    def count_failure(
        self, server_id: str, kind: WorkKind, signal: classify.HealthSignal
    ) -> None:
        """Count an exchange without a whole answer."""
        if signal is classify.HealthSignal.NONE:
            return
        if signal is classify.HealthSignal.SLOW and kind.long:
            return
        self.count(server_id, kind, signal.value)

    def count_straggler(self, server_id: str, kind: WorkKind) -> None:
        """Count a straggler whose hedge answered first."""
        self.count_failure(server_id, kind, classify.HealthSignal.SLOW)

    def count(self, server_id: str, kind: WorkKind, outcome: str) -> None:
        """Add one to a counter."""
        key = (server_id, kind.request_class)
        counter = self.counts.get(key)
        if counter is None:
            if len(self.counts) >= MAX_COUNTERS:
                return
            counter = self.counts[key] = collections.Counter()
        counter[outcome] += 1

    def pop_counts(self) -> tuple[fleet.OutcomeCounts, ...]:
        """Return the counts since the call before and begin anew."""
        counts, self.counts = self.counts, {}
        return tuple(
            fleet.OutcomeCounts(server_id, request_class, **counter)
            for (server_id, request_class), counter in counts.items()
        )

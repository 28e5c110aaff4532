"""Sequential tests for faulty servers in one pool."""

from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Mapping
import math
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_health import dispersion
from citronshelf_health import evidence
from citronshelf_health import network_paths
from citronshelf_health import policy as policies
from citronshelf_health import reference
from citronshelf_health import sequential

# Scope of the test over all request classes.
ALL_CLASSES = '*'


class Suspicion(NamedTuple):
    """A test whose score has reached its threshold.

    Attributes
    ----------
    kind : FaultKind
    scope : str
        Request class, zone, or `ALL_CLASSES`.
    alternative : int
        Index of the likeliest alternative. This is a coarse measure of
        severity, so that instances with similar evidence agree on it.
    fault_share : float
        The alternative itself: the fraction of otherwise good requests that
        the fault turns bad.
    score, threshold : float
    reference_rate : float
        Rate of bad requests in the rest of the pool at the last update; the
        mean over all classes if the scope is `ALL_CLASSES`.
    """

    kind: evidence.FaultKind
    scope: str
    alternative: int
    fault_share: float
    score: float
    threshold: float
    reference_rate: float


class ServerEvidence:
    """Windows, tests and path evidence of one server."""

    __slots__ = ('windows', 'tests', 'reference_rates', 'paths')

    def __init__(self):
        self.windows: dict[evidence.Signal, evidence.Window] = {}
        self.tests: dict[evidence.Signal, sequential.SequentialTest] = {}
        self.reference_rates: dict[evidence.Signal, float] = {}
        self.paths = network_paths.NetworkPathEvidence()


class PoolDetector:
    """Evidence and tests of all servers of a pool.

    Tests exist only for servers with recent bad outcomes, so the cost of
    evaluating them does not grow with the number of healthy servers.

    Attributes
    ----------
    scored_ids : set of str
        Ids of servers that have at least one test.
    """

    def __init__(self, *, policy: policies.HealthPolicy):
        self.policy = policy
        self.rates = reference.PoolRates(policy=policy)
        self.servers: dict[str, ServerEvidence] = {}
        self.scored_ids: set[str] = set()
        self.dispersions: dict[evidence.Signal, dispersion.Dispersion] = {}

    def add_interval(
        self,
        now: float,
        tallies: Mapping[fleet.BackendServer, evidence.Tally],
        *,
        warming_up: Container[str],
    ) -> None:
        """Add the outcomes of one interval and update the tests.

        Parameters
        ----------
        now : float
        tallies : mapping of BackendServer to Tally
            Only of servers that may receive work.
        warming_up : container of str
            Ids of servers that are warming up, whose slow responses are
            ignored.
        """
        self.rates.interval_counts.clear()
        for server, tally in tallies.items():
            if server.server_id in warming_up:
                drop_slowness(tally)
            self.add_server(now, server, tally)
        for server, tally in tallies.items():
            self.update_tests(now, server, tally)

    def add_server(
        self, now: float, server: fleet.BackendServer, tally: evidence.Tally
    ) -> None:
        """Add the outcomes of one server to its own and the pool's windows."""
        state = self.servers.setdefault(server.server_id, ServerEvidence())
        for signal, counts in tally.signals.items():
            window = state.windows.get(signal)
            if window is None:
                window = state.windows[signal] = evidence.Window(now)
            window.decay(now, self.policy)
            window.add(counts)
            for group in reference_groups(signal, server):
                self.rates.add(now, group, counts)
            if signal.kind == evidence.FaultKind.SLOW:
                self.update_dispersion(now, signal, server.server_id, counts)
        state.paths.add(now, tally, self.policy)

    def update_dispersion(
        self,
        now: float,
        signal: evidence.Signal,
        server_id: str,
        counts: evidence.Counts,
    ) -> None:
        """Add counts of slow and other responses to a dispersion estimate."""
        estimate = self.dispersions.get(signal)
        if estimate is None:
            estimate = dispersion.Dispersion(now)
            self.dispersions[signal] = estimate
        estimate.add(now, server_id, counts)

    def update_tests(
        self, now: float, server: fleet.BackendServer, tally: evidence.Tally
    ) -> None:
        """Update the tests of one server for the current interval."""
        state = self.servers[server.server_id]
        class_increments: dict[evidence.FaultKind, list[list[float]]] = {}
        # Good outcomes alone matter only for kinds that already have a test.
        kinds = {s.kind for s, counts in tally.signals.items() if counts.bad}
        kinds.update(signal.kind for signal in state.tests)
        for signal, counts in tally.signals.items():
            if signal.kind not in kinds:
                continue
            rate = self.reference_rate(now, server, signal, counts)
            if rate is None:
                continue
            increments = sequential.log_likelihood_ratios(
                counts.requests, counts.bad, rate, self.policy.alternatives
            )
            if signal.kind == evidence.FaultKind.SLOW:
                factor = self.dispersions[signal].factor
                increments = [increment / factor for increment in increments]
            state.reference_rates[signal] = rate
            self.add_increments(now, state, signal, increments, counts.bad > 0)
            if signal.kind != evidence.FaultKind.UNREACHABLE:
                class_increments.setdefault(signal.kind, []).append(increments)
        for kind, kind_increments in class_increments.items():
            self.add_total(now, state, kind, kind_increments)
        if state.tests:
            self.scored_ids.add(server.server_id)
        else:
            self.scored_ids.discard(server.server_id)

    def reference_rate(
        self,
        now: float,
        server: fleet.BackendServer,
        signal: evidence.Signal,
        counts: evidence.Counts,
    ) -> float | None:
        """Return the reference rate; None if the evidence is insufficient."""
        own_window = self.servers[server.server_id].windows[signal]
        for group in reference_groups(signal, server):
            rate = self.rates.reference(now, group, own_window, counts)
            if rate is not None:
                return rate
        return None

    def add_total(
        self,
        now: float,
        state: ServerEvidence,
        kind: evidence.FaultKind,
        increments_by_class: list[list[float]],
    ) -> None:
        """Update the test over all classes, if the server has several."""
        signal = evidence.Signal(kind, ALL_CLASSES)
        class_count = sum(1 for known in state.windows if known.kind == kind)
        if class_count < 2:
            return
        increments = [
            sum(column) for column in zip(*increments_by_class, strict=True)
        ]
        rates = [
            state.reference_rates[s]
            for s in state.reference_rates
            if s.kind == kind
        ]
        state.reference_rates[signal] = sum(rates) / len(rates)
        self.add_increments(
            now, state, signal, increments, max(increments) > 0
        )

    def add_increments(
        self,
        now: float,
        state: ServerEvidence,
        signal: evidence.Signal,
        increments: list[float],
        has_bad: bool,
    ) -> None:
        """Update one test, which exists only while it has a positive score."""
        test = state.tests.get(signal)
        if test is None:
            if not has_bad:
                return
            count = len(self.policy.alternatives)
            # Backdated, so that the limit on the rise of the score does not
            # suppress the first bad outcome.
            start = now - sequential.MAX_RISE_INTERVAL_S
            test = sequential.SequentialTest(start, count)
            state.tests[signal] = test
        slow = signal.kind == evidence.FaultKind.SLOW
        test.add(
            now,
            increments,
            self.policy,
            max_score=self.threshold(signal.kind)
            * self.policy.max_score_factor,
            max_rise_per_s=self.policy.max_slow_rise_per_s
            if slow
            else math.inf,
        )
        if test.is_zero():
            del state.tests[signal]

    def threshold(self, kind: evidence.FaultKind) -> float:
        """Return the score at which an admitted server is suspected."""
        match kind:
            case evidence.FaultKind.ERRORS:
                return self.policy.error_threshold
            case evidence.FaultKind.SLOW:
                return self.policy.slow_threshold
            case evidence.FaultKind.UNREACHABLE:
                return self.policy.unreachable_threshold

    def suspicions(
        self, now: float, server_id: str, threshold_factor: float
    ) -> Iterator[Suspicion]:
        """Yield a suspicion for each test whose score reaches its threshold.

        Parameters
        ----------
        now : float
        server_id : str
        threshold_factor : float
            Factor on the thresholds.
        """
        state = self.servers.get(server_id)
        if state is None:
            return
        for signal, test in state.tests.items():
            threshold = self.threshold(signal.kind) * threshold_factor
            score = test.score_at(now, self.policy)
            if score < threshold:
                continue
            alternative = test.likeliest_alternative()
            yield Suspicion(
                signal.kind,
                signal.scope,
                alternative,
                self.policy.alternatives[alternative],
                round(score, 2),
                threshold,
                round(state.reference_rates[signal], 4),
            )

    def forget(self, now: float, server: fleet.BackendServer) -> None:
        """Drop all evidence of a server, also from the rates of the pool."""
        self.scored_ids.discard(server.server_id)
        state = self.servers.pop(server.server_id, None)
        if state is None:
            return
        for signal, window in state.windows.items():
            window.decay(now, self.policy)
            for group in reference_groups(signal, server):
                self.rates.window(now, group).remove(window)

    def reset_tests(self, server_id: str) -> None:
        """Drop the tests of a server, but keep its windows."""
        self.scored_ids.discard(server_id)
        state = self.servers.get(server_id)
        if state is not None:
            state.tests.clear()


def reference_groups(
    signal: evidence.Signal, server: fleet.BackendServer
) -> tuple[reference.Group, ...]:
    """Return the groups with which a signal of a server is compared.

    The first one with enough evidence provides the reference rate.
    """
    pool_group = reference.Group(signal)
    if signal.kind != evidence.FaultKind.SLOW:
        return (pool_group,)
    return (reference.Group(signal, server.location.region), pool_group)


def drop_slowness(tally: evidence.Tally) -> None:
    """Remove the counts that the slowness tests use from a tally."""
    kept = {
        signal: counts
        for signal, counts in tally.signals.items()
        if signal.kind != evidence.FaultKind.SLOW
    }
    tally.signals = kept

"""Sequential tests of the servers of one pool."""

from collections.abc import Container
from collections.abc import Iterator
from collections.abc import Mapping
import math
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_health import dispersion
from citronshelf_health import evidence
from citronshelf_health import paths
from citronshelf_health import policy as policies
from citronshelf_health import reference
from citronshelf_health import sequential

# Scope of the test that adds up the scores of all request classes.
ALL_CLASSES = '*'


class Suspicion(NamedTuple):
    """A test that exceeds its threshold, with the figures it rests on.

    Attributes
    ----------
    kind : Kind
    scope : str
        Request class, zone, or `ALL_CLASSES`.
    level : int
        Index of the likeliest alternative; a coarse measure of severity on
        which instances with nearly the same evidence agree.
    share : float
        The alternative itself.
    score, threshold : float
    reference : float
        Rate of the rest of the pool at the last update.
    """

    kind: evidence.Kind
    scope: str
    level: int
    share: float
    score: float
    threshold: float
    reference: float


class ServerEvidence:
    """Windows and tests of one server."""

    __slots__ = ('windows', 'tests', 'references', 'paths')

    def __init__(self):
        self.windows: dict[evidence.Stream, evidence.Window] = {}
        self.tests: dict[evidence.Stream, sequential.SequentialTest] = {}
        self.references: dict[evidence.Stream, float] = {}
        self.paths = paths.PathEvidence()


class PoolDetector:
    """Evidence and tests of all servers of a pool.

    Tests exist only for servers with recent bad outcomes, so the cost of a
    step follows the evidence and not the size of the list.

    Attributes
    ----------
    scored : set of str
        Ids of servers that have any test.
    """

    def __init__(self, *, policy: policies.HealthPolicy):
        self.policy = policy
        self.rates = reference.PoolRates(policy=policy)
        self.servers: dict[str, ServerEvidence] = {}
        self.scored: set[str] = set()
        self.dispersions: dict[evidence.Stream, dispersion.Dispersion] = {}

    def digest(
        self,
        now: float,
        tallies: Mapping[fleet.BackendServer, evidence.Tally],
        *,
        cold: Container[str],
    ) -> None:
        """Add the outcomes of one interval and update the tests.

        Parameters
        ----------
        now : float
        tallies : mapping of BackendServer to Tally
            Only of servers that may get work.
        cold : container of str
            Ids of servers whose slowness is no evidence yet.
        """
        self.rates.interval.clear()
        for server, tally in tallies.items():
            if server.server_id in cold:
                drop_slowness(tally)
            self.add(now, server, tally)
        for server, tally in tallies.items():
            self.update_tests(now, server, tally)

    def add(
        self, now: float, server: fleet.BackendServer, tally: evidence.Tally
    ) -> None:
        """Add the outcomes of one server to its windows and the pool's."""
        held = self.servers.setdefault(server.server_id, ServerEvidence())
        for stream, counts in tally.streams.items():
            window = held.windows.get(stream)
            if window is None:
                window = held.windows[stream] = evidence.Window(now)
            window.age(now, self.policy)
            window.add(counts)
            for group in groups_of(stream, server):
                self.rates.add(now, group, counts)
            if stream.kind == evidence.Kind.SLOW:
                self.disperse(now, stream, server.server_id, counts)
        held.paths.add(now, tally, self.policy)

    def disperse(
        self,
        now: float,
        stream: evidence.Stream,
        server_id: str,
        counts: evidence.Counts,
    ) -> None:
        """Add the slowness of one server to its class's dispersion."""
        estimate = self.dispersions.get(stream)
        if estimate is None:
            estimate = dispersion.Dispersion(now)
            self.dispersions[stream] = estimate
        estimate.add(now, server_id, counts)

    def update_tests(
        self, now: float, server: fleet.BackendServer, tally: evidence.Tally
    ) -> None:
        """Update the tests of one server for the present interval."""
        held = self.servers[server.server_id]
        totals: dict[evidence.Kind, list[list[float]]] = {}
        # Good outcomes change no test of a kind that has no score.
        kinds = {s.kind for s, counts in tally.streams.items() if counts.bad}
        kinds.update(stream.kind for stream in held.tests)
        for stream, counts in tally.streams.items():
            if stream.kind not in kinds:
                continue
            rate = self.reference_rate(now, server, stream, counts)
            if rate is None:
                continue
            gains = sequential.log_likelihood_gains(
                counts.seen, counts.bad, rate, self.policy.alternatives
            )
            if stream.kind == evidence.Kind.SLOW:
                factor = self.dispersions[stream].factor
                gains = [gain / factor for gain in gains]
            held.references[stream] = rate
            self.add_gains(now, held, stream, gains, counts.bad > 0)
            if stream.kind != evidence.Kind.UNREACHABLE:
                totals.setdefault(stream.kind, []).append(gains)
        for kind, rows in totals.items():
            self.add_total(now, held, kind, rows)
        if held.tests:
            self.scored.add(server.server_id)
        else:
            self.scored.discard(server.server_id)

    def reference_rate(
        self,
        now: float,
        server: fleet.BackendServer,
        stream: evidence.Stream,
        counts: evidence.Counts,
    ) -> float | None:
        """Return the rate that the server is compared to, if there is one."""
        own = self.servers[server.server_id].windows[stream]
        for group in groups_of(stream, server):
            rate = self.rates.reference(now, group, own, counts)
            if rate is not None:
                return rate
        return None

    def add_total(
        self,
        now: float,
        held: ServerEvidence,
        kind: evidence.Kind,
        rows: list[list[float]],
    ) -> None:
        """Update the test over all classes, once there is more than one."""
        stream = evidence.Stream(kind, ALL_CLASSES)
        classes = sum(1 for known in held.windows if known.kind == kind)
        if classes < 2:
            return
        gains = [sum(column) for column in zip(*rows, strict=True)]
        rates = [held.references[s] for s in held.references if s.kind == kind]
        held.references[stream] = sum(rates) / len(rates)
        self.add_gains(now, held, stream, gains, max(gains) > 0)

    def add_gains(
        self,
        now: float,
        held: ServerEvidence,
        stream: evidence.Stream,
        gains: list[float],
        is_bad: bool,
    ) -> None:
        """Update one test; it exists only while it has a score."""
        test = held.tests.get(stream)
        if test is None:
            if not is_bad:
                return
            count = len(self.policy.alternatives)
            # The credit lets the first bad outcome count at once.
            start = now - sequential.RISE_CREDIT_S
            test = sequential.SequentialTest(start, count)
            held.tests[stream] = test
        slow = stream.kind == evidence.Kind.SLOW
        test.add(
            now,
            gains,
            self.policy,
            ceiling=self.threshold(stream.kind) * self.policy.score_limit,
            rise_per_s=self.policy.slow_rise_per_s if slow else math.inf,
        )
        if test.is_idle():
            del held.tests[stream]

    def threshold(self, kind: evidence.Kind) -> float:
        """Return the score at which an admitted server is suspected."""
        match kind:
            case evidence.Kind.ERRORS:
                return self.policy.error_threshold
            case evidence.Kind.SLOW:
                return self.policy.slow_threshold
            case evidence.Kind.UNREACHABLE:
                return self.policy.reach_threshold

    def suspicions(
        self, now: float, server_id: str, factor: float
    ) -> Iterator[Suspicion]:
        """Yield the tests of a server that exceed their thresholds.

        Parameters
        ----------
        now : float
        server_id : str
        factor : float
            Multiplies the thresholds.
        """
        held = self.servers.get(server_id)
        if held is None:
            return
        for stream, test in held.tests.items():
            threshold = self.threshold(stream.kind) * factor
            score = test.score_at(now, self.policy)
            if score < threshold:
                continue
            level = test.likeliest()
            yield Suspicion(
                stream.kind,
                stream.scope,
                level,
                self.policy.alternatives[level],
                round(score, 2),
                threshold,
                round(held.references[stream], 4),
            )

    def forget(self, now: float, server: fleet.BackendServer) -> None:
        """Drop all evidence of a server and take it out of the pool's."""
        self.scored.discard(server.server_id)
        held = self.servers.pop(server.server_id, None)
        if held is None:
            return
        for stream, window in held.windows.items():
            window.age(now, self.policy)
            for group in groups_of(stream, server):
                self.rates.window(now, group).remove(window)

    def forget_tests(self, server_id: str) -> None:
        """Start the tests of a server afresh and keep its windows."""
        self.scored.discard(server_id)
        held = self.servers.get(server_id)
        if held is not None:
            held.tests.clear()


def groups_of(
    stream: evidence.Stream, server: fleet.BackendServer
) -> tuple[reference.Group, ...]:
    """Return the groups that a stream of a server belongs to.

    The first one that has enough evidence gives the reference.
    """
    whole = reference.Group(stream)
    if stream.kind != evidence.Kind.SLOW:
        return (whole,)
    return (reference.Group(stream, server.location.region), whole)


def drop_slowness(tally: evidence.Tally) -> None:
    """Remove the slowness of a cold server from its tally."""
    kept = {
        stream: counts
        for stream, counts in tally.streams.items()
        if stream.kind != evidence.Kind.SLOW
    }
    tally.streams = kept

"""Outcome counts of servers, summed over instances, with decay."""

import enum
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_health import policy as policies


class FaultKind(enum.StrEnum):
    """Kind of fault that a test detects."""

    UNREACHABLE = 'unreachable'
    ERRORS = 'errors'
    SLOW = 'slow'


class Signal(NamedTuple):
    """Outcome counts of one kind and scope, the input of one test.

    Attributes
    ----------
    kind : FaultKind
    scope : str
        Request class; for UNREACHABLE, the zone of the reporting instance.
    """

    kind: FaultKind
    scope: str


class Reporter(NamedTuple):
    """Instance that observed outcomes, or aggregator that summed them."""

    zone: str
    source: str


class Counts(NamedTuple):
    """Number of requests, and of bad ones among them."""

    requests: float
    bad: float

    def plus(self, requests: float, bad: float) -> 'Counts':
        """Return the counts increased by the given numbers."""
        return Counts(self.requests + requests, self.bad + bad)

    def minus(self, other: 'Counts') -> 'Counts':
        """Return the difference, at least 0 in spite of rounding errors."""
        requests = max(0.0, self.requests - other.requests)
        return Counts(requests, min(requests, max(0.0, self.bad - other.bad)))

    def scaled(self, factor: float) -> 'Counts':
        """Return both counts multiplied by a factor."""
        return Counts(self.requests * factor, self.bad * factor)


NO_COUNTS = Counts(0.0, 0.0)


class Window:
    """Exponentially decayed counts with a long and a short half-life."""

    __slots__ = ('updated_at', 'long', 'short')

    def __init__(self, updated_at: float):
        self.updated_at = updated_at
        self.long = NO_COUNTS
        self.short = NO_COUNTS

    def decay(self, now: float, policy: policies.HealthPolicy) -> None:
        """Decay the counts to the given time."""
        elapsed = now - self.updated_at
        if elapsed <= 0:
            return
        self.long = self.long.scaled(
            0.5 ** (elapsed / policy.long_half_life_s)
        )
        self.short = self.short.scaled(
            0.5 ** (elapsed / policy.short_half_life_s)
        )
        self.updated_at = now

    def add(self, counts: Counts) -> None:
        """Add counts observed at the time of the last decay."""
        self.long = self.long.plus(*counts)
        self.short = self.short.plus(*counts)

    def remove(self, part: 'Window') -> None:
        """Subtract a part; both windows must be decayed to the same time."""
        self.long = self.long.minus(part.long)
        self.short = self.short.minus(part.short)


class Tally:
    """Outcomes of one server since the previous step.

    Attributes
    ----------
    signals : dict of Signal to Counts
    zones : dict of str to Counts
        By reporting zone; every request without a complete and correct
        response is bad.
    reporters : dict of Reporter to bool
        True for those that observed a failed or slow request.
    good : int
        Number of complete responses that were not slow. Slow ones count
        too if their class is marked long.
    """

    __slots__ = ('signals', 'zones', 'reporters', 'good')

    def __init__(self):
        self.signals: dict[Signal, Counts] = {}
        self.zones: dict[str, Counts] = {}
        self.reporters: dict[Reporter, bool] = {}
        self.good = 0

    def add(
        self, zone: str, source: str, counts: fleet.OutcomeCounts, long: bool
    ) -> None:
        """Add the outcomes of one request class from one reporter.

        Parameters
        ----------
        zone : str
            Zone of the reporter.
        source : str
            Name of the reporter.
        counts : OutcomeCounts
            Each request is counted in exactly one field.
        long : bool
            Whether the class is marked long, so that its slow responses are
            no evidence.
        """
        failed = counts.errored + counts.truncated
        responded = counts.good + counts.slow + failed
        reached = responded + counts.unreachable
        name = counts.request_class
        self.add_counts(Signal(FaultKind.ERRORS, name), responded, failed)
        self.add_counts(
            Signal(FaultKind.UNREACHABLE, zone), reached, counts.unreachable
        )
        if not long:
            complete = counts.good + counts.slow
            self.add_counts(
                Signal(FaultKind.SLOW, name), complete, counts.slow
            )
        bad = failed + counts.unreachable
        self.zones[zone] = self.zones.get(zone, NO_COUNTS).plus(reached, bad)
        is_bad = bad + counts.slow > 0
        reporter = Reporter(zone, source)
        was_bad = self.reporters.get(reporter, False)
        self.reporters[reporter] = was_bad or is_bad
        self.good += counts.good + (counts.slow if long else 0)

    def add_counts(self, signal: Signal, requests: int, bad: int) -> None:
        """Add to the counts of one signal, if there were any requests."""
        if requests > 0:
            previous = self.signals.get(signal, NO_COUNTS)
            self.signals[signal] = previous.plus(requests, bad)


def is_malformed(counts: fleet.OutcomeCounts) -> bool:
    """Return whether any of the counts is negative."""
    return min(counts[2:]) < 0

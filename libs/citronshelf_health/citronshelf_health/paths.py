"""Tells a fault of a server from a fault of the path to it."""

import enum

from citronshelf_health import evidence
from citronshelf_health import policy as policies

# A zone reaches a server when it had a response in this time.
REACHED_WITHIN_S = 3.0
MAX_CLEAN_RATE = 0.02
# A server that fails a fifth of its requests answers this many in a row once
# in a hundred times.
MIN_CLEAN_REQUESTS = 20.0
# One reporter alone is not believed against this many others of its zone.
MIN_OTHER_REPORTERS = 3
REPORTER_RETENTION_S = 10.0
MAX_REPORTERS = 128


class FaultLocation(enum.Enum):
    """Where a fault is, as seen from one zone."""

    SERVER = 'server'
    OWN_PATH = 'own path'
    OTHER_PATH = 'other path'


class PathEvidence:
    """What each zone and each reporter saw of one server.

    Attributes
    ----------
    windows : dict of str to Window
        By zone; a request without a complete response is bad.
    reached_at : dict of str to float
        By zone, time of the last response of any kind.
    reporters : dict of Reporter to tuple
        Times of its last report and of its last bad one.
    """

    __slots__ = ('windows', 'reached_at', 'reporters')

    def __init__(self):
        self.windows: dict[str, evidence.Window] = {}
        self.reached_at: dict[str, float] = {}
        self.reporters: dict[
            evidence.Reporter, tuple[float, float | None]
        ] = {}

    def add(
        self, now: float, tally: evidence.Tally, policy: policies.HealthPolicy
    ) -> None:
        """Add the outcomes of one interval."""
        for zone, counts in tally.zones.items():
            window = self.windows.setdefault(zone, evidence.Window(now))
            window.decay(now, policy)
            window.add(counts)
        for signal, counts in tally.signals.items():
            is_reach = signal.kind == evidence.FaultKind.UNREACHABLE
            if is_reach and counts.bad < counts.requests:
                self.reached_at[signal.scope] = now
        for reporter, is_bad in tally.reporters.items():
            _, bad_at = self.reporters.get(reporter, (now, None))
            self.reporters[reporter] = (now, now if is_bad else bad_at)
        if len(self.reporters) > MAX_REPORTERS:
            self.drop_old_reporters(now)

    def drop_old_reporters(self, now: float) -> None:
        """Forget reporters that no longer use the server."""
        self.reporters = {
            reporter: times
            for reporter, times in self.reporters.items()
            if now - times[0] <= REPORTER_RETENTION_S
        }

    def has_single_failing_reporter(self, now: float) -> bool:
        """Tell whether one reporter alone sees a fault and others do not.

        Its own network or memory is then the likelier cause. Only others of
        its zone speak against it: a zone may have a single instance, or one
        aggregator that reports for all, and its path may be at fault.
        """
        oldest = now - REPORTER_RETENTION_S
        failing_reporters = [
            reporter
            for reporter, (_, bad_at) in self.reporters.items()
            if bad_at is not None and bad_at >= oldest
        ]
        if len(failing_reporters) != 1:
            return False
        zone = failing_reporters[0].zone
        recent_reporters = [
            reporter
            for reporter, (reported_at, _) in self.reporters.items()
            if reporter.zone == zone and reported_at >= oldest
        ]
        return len(recent_reporters) > MIN_OTHER_REPORTERS

    def locate_unreachability(
        self, now: float, own_zone: str, cut_off_zones: set[str]
    ) -> FaultLocation:
        """Judge a server that some zones cannot reach.

        Parameters
        ----------
        now : float
        own_zone : str
        cut_off : set of str
            Zones whose reachability test exceeds its threshold.
        """
        reaching_zones = {
            zone
            for zone, at in self.reached_at.items()
            if now - at <= REACHED_WITHIN_S and zone not in cut_off_zones
        }
        if not reaching_zones:
            return FaultLocation.SERVER
        if own_zone in cut_off_zones:
            return FaultLocation.OWN_PATH
        return FaultLocation.OTHER_PATH

    def locate_error_fault(
        self, now: float, own_zone: str, policy: policies.HealthPolicy
    ) -> FaultLocation:
        """Judge a server that fails requests.

        A path that loses responses looks like a server that fails them, but
        only from the zone that uses the path. It is believed to be the path
        while a single zone loses requests and the others have enough good
        ones. The windows of the others remember the time before the fault;
        their first failed request settles it.
        """
        failing_zones = set()
        clean_requests = 0.0
        for zone, window in self.windows.items():
            window.decay(now, policy)
            requests, bad = window.short
            if bad > MAX_CLEAN_RATE * requests:
                failing_zones.add(zone)
            else:
                clean_requests += requests
        if len(failing_zones) != 1 or clean_requests < MIN_CLEAN_REQUESTS:
            return FaultLocation.SERVER
        return (
            FaultLocation.OWN_PATH
            if own_zone in failing_zones
            else FaultLocation.OTHER_PATH
        )

"""Distinction between a faulty server and a faulty path to it."""

import enum

from citronshelf_health import evidence
from citronshelf_health import policy as policies

# A zone reaches a server if it received a response within this time.
REACHED_WITHIN_S = 3.0
# A zone has a clean path to a server up to this rate of failed requests.
MAX_CLEAN_RATE = 0.02
# A server that fails 20% of its requests serves this many in a row without a
# failure with a probability of 1%.
MIN_CLEAN_REQUESTS = 20.0
# A single failing reporter is ignored if at least this many others in its zone
# see no fault.
MIN_OTHER_REPORTERS = 3
REPORTER_RETENTION_S = 10.0
MAX_REPORTERS = 128


class FaultLocation(enum.Enum):
    """Location of a fault, as seen from one zone."""

    SERVER = 'server'
    OWN_PATH = 'own path'
    OTHER_PATH = 'other path'


class NetworkPathEvidence:
    """Outcomes of one server by zone and by reporter.

    Attributes
    ----------
    windows : dict of str to Window
        By zone; a request without a complete and correct response is bad.
    reached_at : dict of str to float
        By zone; time of the last response of any kind.
    reporters : dict of Reporter to tuple
        Time of the last report, and of the last one with a failed or slow
        request, or None.
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
        """Remove reporters without a report within `REPORTER_RETENTION_S`."""
        self.reporters = {
            reporter: times
            for reporter, times in self.reporters.items()
            if now - times[0] <= REPORTER_RETENTION_S
        }

    def has_single_failing_reporter(self, now: float) -> bool:
        """Return whether only one of several reporters in a zone sees a fault.

        The network or memory of that reporter is then the likelier cause.
        Only reporters of the same zone count as evidence against it: a zone
        may have a single instance, or one aggregator that reports for all of
        them, and the path from that zone may be faulty.
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
        """Locate the fault if some zones cannot reach a server.

        Parameters
        ----------
        now : float
        own_zone : str
        cut_off_zones : set of str
            Zones whose reachability test has reached its threshold, and
            `own_zone` if the server is avoided already.
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
        """Locate the fault if requests to a server fail.

        A path that loses responses looks like a server that fails requests,
        but only from the zone that uses the path. The path is considered
        faulty while requests fail from a single zone and the other zones
        have enough good ones. The windows of the other zones still include
        the time before the fault, but their first failed request is enough to
        locate the fault at the server.
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

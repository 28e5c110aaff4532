"""Servers that the tests want out of a pool."""

from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_health import detection
from citronshelf_health import evidence
from citronshelf_health import paths
from citronshelf_health import policy as policies
from citronshelf_health import tracking

Standing = fleet.Standing


class Candidate(NamedTuple):
    """A server that a test wants out."""

    tracked: tracking.TrackedServer
    standing: fleet.Standing
    severity: tracking.Severity
    suspicion: detection.Suspicion


def find_candidate(
    now: float,
    tracked: tracking.TrackedServer,
    detector: detection.PoolDetector,
    own_zone: str,
) -> Candidate | None:
    """Return what the tests want of one server, if anything.

    Parameters
    ----------
    now : float
    tracked : TrackedServer
    detector : PoolDetector
        Has evidence of the server.
    own_zone : str

    Returns
    -------
    Candidate or None
        The most severe finding that is no fault of another zone's path.
    """
    policy = detector.policy
    server_id = tracked.server.server_id
    threshold_factor = policy.probation_factor if tracked.is_ramping() else 1.0
    suspicions = list(detector.suspicions(now, server_id, threshold_factor))
    if not suspicions:
        return None
    path_evidence = detector.servers[server_id].paths
    if path_evidence.has_single_failing_reporter(now):
        return None
    cut_off_zones = {
        s.scope for s in suspicions if s.kind == evidence.FaultKind.UNREACHABLE
    }
    if tracked.standing == Standing.AVOIDED:
        cut_off_zones.add(own_zone)
    best = None
    for suspicion in suspicions:
        match locate_fault(
            now, path_evidence, suspicion, own_zone, cut_off_zones, policy
        ):
            case paths.FaultLocation.OTHER_PATH:
                continue
            case paths.FaultLocation.OWN_PATH:
                standing = Standing.AVOIDED
            case paths.FaultLocation.SERVER:
                standing = Standing.EJECTED
        severity = tracking.severity_of(suspicion)
        candidate = Candidate(tracked, standing, severity, suspicion)
        if best is None or candidate_rank(candidate) > candidate_rank(best):
            best = candidate
    return best


def locate_fault(
    now: float,
    path_evidence: paths.PathEvidence,
    suspicion: detection.Suspicion,
    own_zone: str,
    cut_off_zones: set[str],
    policy: policies.HealthPolicy,
) -> paths.FaultLocation:
    """Tell a fault of the server from one of a path to it."""
    match suspicion.kind:
        case evidence.FaultKind.UNREACHABLE:
            return path_evidence.locate_unreachability(
                now, own_zone, cut_off_zones
            )
        case evidence.FaultKind.ERRORS:
            return path_evidence.locate_error_fault(now, own_zone, policy)
        case evidence.FaultKind.SLOW:
            return paths.FaultLocation.SERVER


def candidate_rank(candidate: Candidate) -> tuple[tracking.Severity, bool]:
    """Order the findings about one server."""
    return candidate.severity, candidate.standing == Standing.EJECTED


def ejection_order(candidate: Candidate) -> tuple[tracking.Severity, bytes]:
    """Order the servers to eject, alike on instances that nearly agree."""
    return candidate.severity, candidate.tracked.tie_breaker

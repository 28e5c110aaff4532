"""Selection of the servers to eject from a pool."""

from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_health import detection
from citronshelf_health import evidence
from citronshelf_health import network_paths
from citronshelf_health import policy as policies
from citronshelf_health import tracking

Standing = fleet.Standing


class EjectionCandidate(NamedTuple):
    """A server to eject, with the standing it should get."""

    tracked: tracking.TrackedServer
    standing: fleet.Standing
    severity: tracking.Severity
    suspicion: detection.Suspicion


def find_candidate(
    now: float,
    tracked: tracking.TrackedServer,
    detector: detection.PoolDetector,
    own_zone: str,
) -> EjectionCandidate | None:
    """Return the ejection that the tests call for, if any.

    Parameters
    ----------
    now : float
    tracked : TrackedServer
    detector : PoolDetector
        Must hold evidence about the server.
    own_zone : str

    Returns
    -------
    EjectionCandidate or None
        For the most severe suspicion that is not due to the path from
        another zone; None if there is none, or if only one of several
        reporters in a zone sees a fault.
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
            case network_paths.FaultLocation.OTHER_PATH:
                continue
            case network_paths.FaultLocation.OWN_PATH:
                standing = Standing.AVOIDED
            case network_paths.FaultLocation.SERVER:
                standing = Standing.EJECTED
        severity = tracking.severity_of(suspicion)
        candidate = EjectionCandidate(tracked, standing, severity, suspicion)
        if best is None or candidate_rank(candidate) > candidate_rank(best):
            best = candidate
    return best


def locate_fault(
    now: float,
    path_evidence: network_paths.NetworkPathEvidence,
    suspicion: detection.Suspicion,
    own_zone: str,
    cut_off_zones: set[str],
    policy: policies.HealthPolicy,
) -> network_paths.FaultLocation:
    """Return whether the server or a path to it is faulty."""
    match suspicion.kind:
        case evidence.FaultKind.UNREACHABLE:
            return path_evidence.locate_unreachability(
                now, own_zone, cut_off_zones
            )
        case evidence.FaultKind.ERRORS:
            return path_evidence.locate_error_fault(now, own_zone, policy)
        case evidence.FaultKind.SLOW:
            return network_paths.FaultLocation.SERVER


def candidate_rank(
    candidate: EjectionCandidate,
) -> tuple[tracking.Severity, bool]:
    """Return the sort key for the suspicions of one server."""
    return candidate.severity, candidate.standing == Standing.EJECTED


def ejection_order(
    candidate: EjectionCandidate,
) -> tuple[tracking.Severity, bytes]:
    """Return the sort key for the servers to eject.

    It is coarse, so that instances with similar evidence use the same order.
    """
    return candidate.severity, candidate.tracked.tie_breaker

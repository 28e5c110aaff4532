"""Standing and weight of one backend server, and its readmission."""

import hashlib
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_health import detection
from citronshelf_health import evidence
from citronshelf_health import hold_time
from citronshelf_health import policy as policies

WARM_UP_STEPS = 10
TIE_BREAKER_BYTES = 8
# Instances would disagree on a finer scale: a server that fails half of its
# requests lies between two alternatives.
MAX_SEVERITY_LEVEL = 2
# An unreachable server completes no requests, a failing one some, a slow one
# all.
KIND_RANK = {
    evidence.FaultKind.SLOW: 0,
    evidence.FaultKind.ERRORS: 1,
    evidence.FaultKind.UNREACHABLE: 2,
}
EJECTED_STANDINGS = frozenset((fleet.Standing.EJECTED, fleet.Standing.AVOIDED))


class Severity(NamedTuple):
    """Severity of a fault; greater means worse."""

    level: int
    kind_rank: int


class TrackedServer:
    """State of one listed server.

    Attributes
    ----------
    server : BackendServer
    standing : Standing
    weight : float
    tie_breaker : bytes
        Orders servers of the same severity, equally on all instances.
    severity : Severity
        Severity at the last ejection.
    hold_s, hold_until : float
        Length and end of the last hold time, during which the server stays
        ejected.
    admitted_at : float
        Time of the last change to full weight, or of the start of the last
        warm-up.
    ramp_level : int or None
        Level of the ramp after an ejection; None when it is not ramping up.
    ramp_level_since : float
    good_responses : int
        Good responses on this level.
    good_probes : int
        Consecutive successful health probes since the ejection.
    warm_up_since : float or None
        Start of the warm-up of a new server; None when it is not warming up.
    is_returned_by_floor : bool
        Whether it was returned to full weight early, to keep the capacity
        floor or to make room for the ejection of a worse server.
    is_kept_by_floor : bool
        Whether it is suspected, but not ejected because of the floor.
    """

    def __init__(self, *, server: fleet.BackendServer, now: float):
        self.server = server
        self.standing = fleet.Standing.ADMITTED
        self.weight = 1.0
        digest = hashlib.blake2b(
            server.server_id.encode(), digest_size=TIE_BREAKER_BYTES
        )
        self.tie_breaker = digest.digest()
        self.severity = Severity(0, 0)
        self.hold_s = 0.0
        self.hold_until = now
        self.admitted_at = now
        self.ramp_level: int | None = None
        self.ramp_level_since = now
        self.good_responses = 0
        self.good_probes = 0
        self.warm_up_since: float | None = None
        self.is_returned_by_floor = False
        self.is_kept_by_floor = False

    def is_ejected(self) -> bool:
        """Return whether it is ejected, possibly for this zone only."""
        return self.standing in EJECTED_STANDINGS

    def is_leaving(self) -> bool:
        """Return whether it is leaving; a leaving server is not readmitted."""
        return self.standing == fleet.Standing.LEAVING

    def is_unrestricted(self) -> bool:
        """Return whether it has full weight and no change is due."""
        return (
            self.standing == fleet.Standing.ADMITTED
            and self.ramp_level is None
            and self.warm_up_since is None
        )

    def is_ramping(self) -> bool:
        """Return whether it is ramping up after an ejection."""
        return self.ramp_level is not None

    def start_warm_up(self, now: float, policy: policies.HealthPolicy) -> None:
        """Start the warm-up of a server that is new or in use again."""
        self.standing = fleet.Standing.ADMITTED
        self.weight = policy.initial_weight
        self.ramp_level = None
        self.warm_up_since = now
        self.admitted_at = now

    def warm_up(self, now: float, policy: policies.HealthPolicy) -> bool:
        """Raise the weight during a warm-up; return whether it changed."""
        share = (now - self.warm_up_since) / policy.warm_up_s
        if share >= 1.0:
            self.admit(now)
            return True
        steps = int(share * WARM_UP_STEPS) / WARM_UP_STEPS
        weight = policy.initial_weight + (1.0 - policy.initial_weight) * steps
        weight = round(weight, 3)
        if weight == self.weight:
            return False
        self.weight = weight
        return True

    def admit(self, now: float) -> None:
        """Admit it at full weight."""
        self.standing = fleet.Standing.ADMITTED
        self.weight = 1.0
        self.ramp_level = None
        self.warm_up_since = None
        self.admitted_at = now

    def leave(self) -> None:
        """Mark it as leaving, so that it receives no new work."""
        self.standing = fleet.Standing.LEAVING
        self.weight = 0.0
        self.ramp_level = None
        self.warm_up_since = None
        self.is_kept_by_floor = False

    def eject(
        self,
        now: float,
        standing: fleet.Standing,
        severity: Severity,
        policy: policies.HealthPolicy,
    ) -> None:
        """Eject it for the next hold time, possibly for this zone only.

        A server that is ejected already keeps the length of its hold time,
        which starts again.
        """
        if not self.is_ejected():
            self.hold_s = self.next_hold_s(now, policy)
        self.hold_until = now + self.hold_s
        self.standing = standing
        self.severity = severity
        self.weight = 0.0
        self.ramp_level = None
        self.warm_up_since = None
        self.good_probes = 0
        self.is_returned_by_floor = False
        self.is_kept_by_floor = False

    def next_hold_s(self, now: float, policy: policies.HealthPolicy) -> float:
        """Return the hold time of an ejection that starts now, in s."""
        previous_s = self.hold_s
        if self.is_returned_by_floor:
            # It had no time to recover, so this is not a relapse; halving
            # cancels the doubling.
            previous_s /= 2.0
        healthy_s = 0.0 if self.is_ramping() else now - self.admitted_at
        return hold_time.next_hold_s(previous_s, healthy_s, policy)

    def start_ramp(
        self,
        now: float,
        standing: fleet.Standing,
        policy: policies.HealthPolicy,
    ) -> None:
        """Start the ramp after the hold time."""
        self.standing = standing
        self.ramp_level = 0
        self.ramp_level_since = now
        self.good_responses = 0
        self.weight = policy.ramp_weights[0]

    def advance_ramp(self, now: float, policy: policies.HealthPolicy) -> bool:
        """Move to the next level of the ramp if all conditions are met.

        The level needs enough good responses and its minimum duration, and
        the server must not be suspected. Returns whether the level changed.
        """
        if self.is_kept_by_floor:
            return False
        needed = policy.required_good_responses * 2**self.ramp_level
        if (
            self.good_responses < needed
            or now - self.ramp_level_since < policy.min_ramp_level_s
        ):
            return False
        self.ramp_level += 1
        self.ramp_level_since = now
        self.good_responses = 0
        if self.ramp_level == len(policy.ramp_weights):
            self.admit(now)
        else:
            self.weight = policy.ramp_weights[self.ramp_level]
        return True


def severity_of(suspicion: detection.Suspicion) -> Severity:
    """Return the severity of a suspicion, on a coarse scale."""
    level = min(suspicion.alternative, MAX_SEVERITY_LEVEL)
    return Severity(level, KIND_RANK[suspicion.kind])

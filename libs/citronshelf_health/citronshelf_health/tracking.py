"""Standing, weight and return of one backend server."""

import hashlib
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_health import detection
from citronshelf_health import evidence
from citronshelf_health import hold_time
from citronshelf_health import policy as policies

WARM_UP_STEPS = 10
TIE_BREAKER_BYTES = 8
# A finer order makes instances disagree: a server that fails half of its
# requests is between two alternatives.
MAX_SEVERITY_LEVEL = 2
# An unreachable server answers nothing, a failing one some, a slow one all.
KIND_RANK = {
    evidence.FaultKind.SLOW: 0,
    evidence.FaultKind.ERRORS: 1,
    evidence.FaultKind.UNREACHABLE: 2,
}
EJECTED_STANDINGS = frozenset((fleet.Standing.EJECTED, fleet.Standing.AVOIDED))


class Severity(NamedTuple):
    """How bad a server is; a later one in the order is worse."""

    level: int
    kind_rank: int


class TrackedServer:
    """One listed server.

    Attributes
    ----------
    server : BackendServer
    standing : Standing
    weight : float
    tie : bytes
        Orders servers of the same severity, alike on all instances.
    severity : Severity
        Of the last ejection.
    hold_s, hold_until : float
        Length and end of the last hold time.
    admitted_at : float
        When it last took its full load.
    level : int or None
        Level of the slow start after an ejection; None outside of one.
    level_since : float
    good : int
        Good responses on this level.
    probes : int
        Good health probes in a row since the ejection.
    cold_since : float or None
        When it came onto the list; None once it is warm.
    is_returned_by_floor : bool
        The floor ended its last hold time.
    is_kept : bool
        It is suspected and the floor keeps it.
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
        self.cold_since: float | None = None
        self.is_returned_by_floor = False
        self.is_kept = False

    def is_ejected(self) -> bool:
        """Tell whether it was taken out by a test."""
        return self.standing in EJECTED_STANDINGS

    def is_leaving(self) -> bool:
        """Tell whether it leaves; it is never returned then."""
        return self.standing == fleet.Standing.LEAVING

    def is_unrestricted(self) -> bool:
        """Tell whether it takes its full load and nothing is pending."""
        return (
            self.standing == fleet.Standing.ADMITTED
            and self.ramp_level is None
            and self.cold_since is None
        )

    def is_ramping(self) -> bool:
        """Tell whether it is in the slow start after an ejection."""
        return self.ramp_level is not None

    def start_warm_up(self, now: float, policy: policies.HealthPolicy) -> None:
        """Begin the slow start of a new server."""
        self.standing = fleet.Standing.ADMITTED
        self.weight = policy.initial_weight
        self.ramp_level = None
        self.cold_since = now
        self.admitted_at = now

    def warm_up(self, now: float, policy: policies.HealthPolicy) -> bool:
        """Raise the weight of a cold server; tell whether it changed."""
        share = (now - self.cold_since) / policy.warm_up_s
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
        """Give it its full load."""
        self.standing = fleet.Standing.ADMITTED
        self.weight = 1.0
        self.ramp_level = None
        self.cold_since = None
        self.admitted_at = now

    def leave(self) -> None:
        """Give it no new work, for good."""
        self.standing = fleet.Standing.LEAVING
        self.weight = 0.0
        self.ramp_level = None
        self.cold_since = None
        self.is_kept = False

    def eject(
        self,
        now: float,
        standing: fleet.Standing,
        severity: Severity,
        policy: policies.HealthPolicy,
    ) -> None:
        """Eject it, or avoid it in this zone, for the next hold time."""
        if not self.is_ejected():
            self.hold_s = self.next_hold_s(now, policy)
        self.hold_until = now + self.hold_s
        self.standing = standing
        self.severity = severity
        self.weight = 0.0
        self.ramp_level = None
        self.cold_since = None
        self.good_probes = 0
        self.is_returned_by_floor = False
        self.is_kept = False

    def next_hold_s(self, now: float, policy: policies.HealthPolicy) -> float:
        """Return the hold time of an ejection that begins now."""
        previous_s = self.hold_s
        if self.is_returned_by_floor:
            # It had no chance to recover, so this is no relapse.
            previous_s /= 2.0
        healthy_s = 0.0 if self.is_ramping() else now - self.admitted_at
        return hold_time.next_hold_s(previous_s, healthy_s, policy)

    def start_ramp(
        self,
        now: float,
        standing: fleet.Standing,
        policy: policies.HealthPolicy,
    ) -> None:
        """Begin the slow start after the hold time."""
        self.standing = standing
        self.ramp_level = 0
        self.ramp_level_since = now
        self.good_responses = 0
        self.weight = policy.ramp_weights[0]

    def advance_ramp(self, now: float, policy: policies.HealthPolicy) -> bool:
        """Go to the next level of the slow start if it is earned."""
        if self.is_kept:
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
    """Return the coarse severity of a suspicion."""
    level = min(suspicion.alternative, MAX_SEVERITY_LEVEL)
    return Severity(level, KIND_RANK[suspicion.kind])

"""Ejection and readmission of the servers of one pool."""

from collections.abc import Collection
from collections.abc import Mapping

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_health import candidates
from citronshelf_health import decisions
from citronshelf_health import detection
from citronshelf_health import events
from citronshelf_health import evidence
from citronshelf_health import floor
from citronshelf_health import members
from citronshelf_health import policy as policies
from citronshelf_health import tracking

Reason = decisions.Reason
Standing = fleet.Standing


class PoolBoard:
    """Servers of one pool, with their evidence and capacity floor.

    After `set_pool`, `set_servers` and `step`, the capacity is at or above the
    floor, or no server is ejected.
    """

    def __init__(
        self, *, name: str, own_zone: str, policy: policies.HealthPolicy
    ):
        self.name = name
        self.own_zone = own_zone
        self.policy = policy
        self.is_probed = False
        self.members = members.PoolMembers(policy=policy)
        self.detector = detection.PoolDetector(policy=policy)
        self.kept_by_floor_ids: set[str] = set()
        self.changes: list[decisions.StandingChange] = []

    def set_pool(
        self, now: float, pool: model.Pool | None, *, is_probed: bool
    ) -> None:
        """Apply the pool settings; None if the document has no such pool."""
        self.members.pool = floor.UNKNOWN_POOL if pool is None else pool
        self.is_probed = is_probed
        self.restore_floor(now)

    def set_servers(
        self,
        now: float,
        servers: Mapping[str, fleet.BackendServer],
        leaving: Collection[str],
    ) -> None:
        """Apply a new list of the servers of this pool."""
        is_first_list = not self.members.tracked
        for server_id in list(self.members.tracked):
            listed = servers.get(server_id)
            if listed != self.members.tracked[server_id].server:
                dropped = self.members.remove(now, server_id)
                self.detector.forget(now, dropped.server)
        for server_id, server in servers.items():
            if server_id not in self.members.tracked:
                self.add(now, server, is_first_list, server_id in leaving)
            self.set_leaving(now, server_id, server_id in leaving)
        self.members.forget_departed(now)
        self.restore_floor(now)

    def add(
        self,
        now: float,
        server: fleet.BackendServer,
        is_first_list: bool,
        is_leaving: bool,
    ) -> None:
        """Add a newly listed server, which may already be leaving."""
        tracked, before = self.members.insert(
            now, server, is_first_list=is_first_list
        )
        if is_leaving:
            tracked.leave()
        event = events.SERVER_LISTED
        self.record_change(tracked, before, Reason.LISTED, event, {})

    def set_leaving(
        self, now: float, server_id: str, is_leaving: bool
    ) -> None:
        """Apply whether a server is leaving; if no longer, it warms up."""
        tracked = self.members.tracked[server_id]
        if tracked.is_leaving() == is_leaving:
            return
        before = tracked.standing
        self.detector.forget(now, tracked.server)
        if is_leaving:
            tracked.leave()
            event, reason = events.SERVER_LEAVING, Reason.LEAVING
        else:
            tracked.start_warm_up(now, self.policy)
            event, reason = events.SERVER_LISTED, Reason.LISTED
        self.record_change(tracked, before, reason, event, {})

    def accepts_evidence(self, server_id: str, zone: str) -> bool:
        """Return whether outcomes of a server from a zone are counted.

        Outcomes of an ejected server belong to requests sent before its
        ejection. An avoided server is still used by the other zones.
        """
        tracked = self.members.tracked.get(server_id)
        if tracked is None or tracked.is_leaving():
            return False
        if tracked.standing == Standing.AVOIDED:
            return zone != self.own_zone
        return tracked.standing != Standing.EJECTED

    def record_probe(self, server_id: str, is_good: bool) -> None:
        """Record the result of a health probe, if the server is ejected."""
        tracked = self.members.tracked.get(server_id)
        if tracked is not None and tracked.is_ejected():
            tracked.good_probes = tracked.good_probes + 1 if is_good else 0

    def step(
        self, now: float, tallies: Mapping[str, evidence.Tally]
    ) -> list[decisions.StandingChange]:
        """Apply new evidence and the elapsed time.

        Returns all changes since the previous step.
        """
        if tallies:
            self.add_interval(now, tallies)
        for server_id in sorted(self.members.restricted):
            self.advance_server(now, self.members.tracked[server_id])
        self.eject_suspects(now)
        self.restore_floor(now)
        changes = self.changes
        self.changes = []
        return changes

    def add_interval(
        self, now: float, tallies: Mapping[str, evidence.Tally]
    ) -> None:
        """Add the outcomes of all but leaving servers to tests and ramps."""
        listed = {}
        for server_id, tally in tallies.items():
            tracked = self.members.tracked.get(server_id)
            if tracked is None or tracked.is_leaving():
                continue
            listed[tracked.server] = tally
            tracked.good_responses += tally.good
        self.detector.add_interval(
            now, listed, warming_up=self.members.warming_up_ids()
        )

    def advance_server(
        self, now: float, tracked: tracking.TrackedServer
    ) -> None:
        """Advance the hold time, ramp or warm-up of a server."""
        if tracked.is_ejected():
            self.end_hold_time(now, tracked)
        elif tracked.is_ramping():
            before = tracked.standing
            good = tracked.good_responses
            if tracked.advance_ramp(now, self.policy):
                self.record_weight_rise(
                    tracked, before, Reason.GOOD_RESPONSES, good
                )
        elif tracked.warm_up_since is not None:
            before = tracked.standing
            if tracked.warm_up(now, self.policy):
                self.record_weight_rise(tracked, before, Reason.WARM, 0)

    def end_hold_time(
        self, now: float, tracked: tracking.TrackedServer
    ) -> None:
        """Start the ramp of an ejected server after its hold time.

        A successful health probe does not prove that work succeeds, so probes
        are used only in a pool that has no idempotent work for testing the
        server. There, ``required_good_probes`` consecutive probes must succeed
        before the ramp starts.
        """
        if now < tracked.hold_until:
            return
        before = tracked.standing
        details = {'hold_s': tracked.hold_s, 'probes': tracked.good_probes}
        if not self.is_probed:
            standing, reason = Standing.PROBATION, Reason.HOLD_ENDED
        elif tracked.good_probes >= self.policy.required_good_probes:
            standing, reason = Standing.ADMITTED, Reason.PROBES_GOOD
        else:
            return
        self.detector.forget(now, tracked.server)
        tracked.start_ramp(now, standing, self.policy)
        event = events.SERVER_ON_PROBATION
        self.record_change(tracked, before, reason, event, details)

    def record_weight_rise(
        self,
        tracked: tracking.TrackedServer,
        before: fleet.Standing,
        reason: Reason,
        good: int,
    ) -> None:
        """Record a rise of the weight; full weight has its own log event."""
        event = events.WEIGHT_RAISED
        if tracked.is_unrestricted():
            event = events.SERVER_ADMITTED
        self.record_change(tracked, before, reason, event, {'good': good})

    def eject_suspects(self, now: float) -> None:
        """Eject suspected servers, most severe first, if the floor permits."""
        suspects = []
        cleared = self.kept_by_floor_ids
        self.kept_by_floor_ids = set()
        for server_id in self.detector.scored_ids:
            tracked = self.members.tracked[server_id]
            candidate = candidates.find_candidate(
                now, tracked, self.detector, self.own_zone
            )
            if candidate is not None:
                suspects.append(candidate)
                cleared.discard(server_id)
        suspects.sort(key=candidates.ejection_order, reverse=True)
        for candidate in suspects:
            self.eject(now, candidate)
        for server_id in sorted(cleared):
            tracked = self.members.tracked.get(server_id)
            if tracked is not None and tracked.is_kept_by_floor:
                self.clear_suspicion(tracked)

    def eject(
        self, now: float, candidate: candidates.EjectionCandidate
    ) -> None:
        """Eject or avoid one server if the floor permits.

        If the floor requires it, servers that are warming up or have less
        severe faults get full weight at the same time.
        """
        tracked = candidate.tracked
        if tracked.standing == candidate.standing:
            return
        if tracked.standing == Standing.AVOIDED:
            # AVOIDED is weaker than EJECTED, so only EJECTED replaces it.
            if candidate.standing != Standing.EJECTED:
                return
        replaced = self.members.replacements(tracked, candidate.severity)
        if replaced is None:
            self.record_kept_by_floor(candidate)
            return
        details = self.details(candidate)
        for other in replaced:
            self.return_at_once(now, other, Reason.WORSE_SERVER)
        before = tracked.standing
        tracked.eject(now, candidate.standing, candidate.severity, self.policy)
        if candidate.standing == Standing.EJECTED:
            self.detector.forget(now, tracked.server)
            event = events.SERVER_EJECTED
        else:
            self.detector.reset_tests(tracked.server.server_id)
            event = events.SERVER_AVOIDED
        reason = Reason(candidate.suspicion.kind.value)
        details['hold_s'] = tracked.hold_s
        self.record_change(tracked, before, reason, event, details)

    def record_kept_by_floor(
        self, candidate: candidates.EjectionCandidate
    ) -> None:
        """Log once that a suspected server is kept because of the floor."""
        tracked = candidate.tracked
        self.kept_by_floor_ids.add(tracked.server.server_id)
        if tracked.is_kept_by_floor:
            return
        tracked.is_kept_by_floor = True
        reason = Reason(candidate.suspicion.kind.value)
        change = self.new_change(
            tracked, tracked.standing, reason, self.details(candidate)
        )
        decisions.log_change(events.KEPT_BY_FLOOR, change)

    def clear_suspicion(self, tracked: tracking.TrackedServer) -> None:
        """Log that a kept server is no longer suspected."""
        tracked.is_kept_by_floor = False
        change = self.new_change(
            tracked, tracked.standing, Reason.GOOD_RESPONSES, {}
        )
        decisions.log_change(events.SUSPICION_CLEARED, change)

    def restore_floor(self, now: float) -> None:
        """Return servers to full weight while capacity is below the floor.

        Does nothing if only warm-ups reduce the capacity.
        """
        if not self.members.restricted:
            return
        floor_slots = self.members.floor()
        order = self.members.servers_in_return_order()
        if all(other.warm_up_since is not None for other in order):
            # No server is ejected or ramping, so no ejection has reduced the
            # capacity.
            return
        for other in order:
            if not floor.is_below(self.members.capacity(), floor_slots):
                return
            self.return_at_once(now, other, Reason.FLOOR)

    def return_at_once(
        self, now: float, tracked: tracking.TrackedServer, reason: Reason
    ) -> None:
        """Admit a server at full weight without a ramp or warm-up."""
        before = tracked.standing
        if tracked.warm_up_since is None:
            self.detector.forget(now, tracked.server)
            tracked.is_returned_by_floor = True
        tracked.admit(now)
        event = events.RETURNED_BY_FLOOR
        self.record_change(
            tracked, before, reason, event, {'floor': self.members.floor()}
        )

    def details(
        self, candidate: candidates.EjectionCandidate
    ) -> dict[str, decisions.DetailValue]:
        """Return the values behind a decision about a suspected server."""
        suspicion = candidate.suspicion
        return {
            'scope': suspicion.scope,
            'score': suspicion.score,
            'threshold': suspicion.threshold,
            'share': suspicion.fault_share,
            'reference': suspicion.reference_rate,
            'capacity': round(self.members.capacity(), 3),
            'floor': self.members.floor(),
        }

    def record_change(
        self,
        tracked: tracking.TrackedServer,
        before: fleet.Standing,
        reason: Reason,
        event: common_events.Event,
        details: Mapping[str, decisions.DetailValue],
    ) -> None:
        """Log a change that has been made, and store it for `step`."""
        self.members.update_restricted(tracked)
        change = self.new_change(tracked, before, reason, details)
        self.changes.append(change)
        decisions.log_change(event, change)

    def new_change(
        self,
        tracked: tracking.TrackedServer,
        before: fleet.Standing,
        reason: Reason,
        details: Mapping[str, decisions.DetailValue],
    ) -> decisions.StandingChange:
        """Return the description of a change, with the current weight."""
        return decisions.StandingChange(
            server_id=tracked.server.server_id,
            pool=self.name,
            before=before,
            after=tracked.standing,
            weight=tracked.weight,
            reason=reason,
            details=dict(details),
        )

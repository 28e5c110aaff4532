"""Mutation tests of the checks in `health_fleet`."""

import health_fleet
import pytest

from citronshelf_health import detection
from citronshelf_health import hold_time
from citronshelf_health import members
from citronshelf_health import network_paths
from citronshelf_health import reference
from citronshelf_health import tracking


def never_doubles(previous_s, healthy_s, policy):
    return policy.initial_hold_s


def prior_only(self, now, group, own, own_interval):
    return self.prior(group.signal.kind)


def always_server(self, now, own_zone, cut_off_zones):
    return network_paths.FaultLocation.SERVER


def never_suspects(self, now, server_id, factor):
    return iter(())


def never_replaces(self, tracked, severity):
    remaining_slots = (
        self.capacity() - self.pool.slots_per_server * tracked.weight
    )
    return None if remaining_slots < self.floor() else []


def admit_at_once(self, now, standing, policy):
    self.admit(now)


MUTATIONS = {
    'hold-time-never-doubles': (
        (hold_time, 'next_hold_s', never_doubles),
        health_fleet.check_flapping,
    ),
    'errors-compared-with-a-constant': (
        (reference.PoolRates, 'reference', prior_only),
        health_fleet.check_everyone_failing,
    ),
    'slowness-compared-with-a-constant': (
        (reference.PoolRates, 'reference', prior_only),
        health_fleet.check_everyone_slow,
    ),
    'path-fault-taken-for-a-server-fault': (
        (
            network_paths.NetworkPathEvidence,
            'locate_unreachability',
            always_server,
        ),
        health_fleet.check_unreachable_from_own_zone,
    ),
    'tests-never-exceed-their-threshold': (
        (detection.PoolDetector, 'suspicions', never_suspects),
        health_fleet.check_half_failing,
    ),
    'first-suspected-stays-out': (
        (members.PoolMembers, 'replacements', never_replaces),
        health_fleet.check_agreement,
    ),
    'worse-server-must-wait': (
        (members.PoolMembers, 'replacements', never_replaces),
        health_fleet.check_worse_replaces,
    ),
    'no-slow-start-after-the-hold-time': (
        (tracking.TrackedServer, 'start_ramp', admit_at_once),
        health_fleet.check_slow_return,
    ),
}


class TestMutations:
    """The checks fail under each mutation."""

    @pytest.mark.parametrize('name', MUTATIONS)
    def test_is_caught(self, name, monkeypatch):
        (owner, attribute, replacement), check = MUTATIONS[name]
        monkeypatch.setattr(owner, attribute, replacement)
        with pytest.raises(AssertionError):
            check()

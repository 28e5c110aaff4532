"""Stateful tests of configuration and leaving marks in a simulated fleet."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

import fake_fleet

from citronshelf_peering import incarnations
from citronshelf_peering import leaving
from citronshelf_peering import messages
from citronshelf_peering import peering
from citronshelf_peering import shared_value

IN_FORCE_BOUND_S = 7.0
LEAVING_BOUND_S = 5.0
# Time after which both ends have detected a cut, which drops all messages in
# one direction between two instances.
CUT_DETECTION_S = 6.0
NAMES = [row[0] for row in fake_fleet.INSTANCES]
names = st.sampled_from(NAMES)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Changes the platform, links and instances while messages are lost.

    It publishes documents, cuts links, and suspends and restarts instances.
    Each advance of time ends with checks that no revision goes back, and that
    revisions and leaving marks reach all running instances within their
    bounds.
    """

    peering_class = peering.Peering

    @stateful.initialize(seed=st.integers(0, 2**16))
    def begin(self, seed):
        self.fleet = fake_fleet.FakeFleet(seed, self.peering_class)
        self.disturbed_at = self.fleet.now
        self.drain_signals = {}
        self.floors = {}
        self.latest = {}
        self.published_at = self.fleet.now
        self.advance(4.0)

    def teardown(self):
        if hasattr(self, 'fleet'):
            self.fleet.close()

    def disturb(self):
        self.disturbed_at = self.fleet.now

    @stateful.rule(number=st.integers(2, 5))
    def publish(self, number):
        """Publish one of a few contents, so that some are repeated."""
        self.fleet.platform.publish('document', b'good %d' % number)
        self.published_at = self.fleet.now

    @stateful.rule()
    def publish_bad(self):
        self.fleet.platform.publish('document', b'bad')
        self.published_at = self.fleet.now

    @stateful.rule(away=st.booleans(), age=st.integers(0, 2))
    def change_platform(self, away, age):
        self.fleet.platform.is_unavailable = away
        self.fleet.platform.age = age
        # Readers retry after at most 8 s when the platform was unavailable.
        self.published_at = self.fleet.now + 8.0

    @stateful.rule(sender=names, receiver=names)
    def cut(self, sender, receiver):
        """Cut one direction; at most three are cut at a time."""
        if len(self.fleet.net.cuts) < 3:
            self.fleet.net.cuts.add((sender, receiver))
            self.disturb()

    @stateful.rule()
    def heal(self):
        self.fleet.net.cuts.clear()
        self.disturb()

    @stateful.rule(name=names)
    def restart(self, name):
        others = [
            instance.peering.document.revision()
            for instance in self.fleet.running_instances()
            if instance.name != name
            and instance.peering.confirmation.confirmed
        ]
        settled = not self.fleet.net.cuts and len(others) == len(NAMES) - 1
        self.fleet.stop(name)
        self.fleet.start(name)
        self.floors[name] = min(others) if settled else 0
        self.disturb()

    @stateful.rule(name=names, seconds=st.sampled_from([0.5, 3.0, 9.0]))
    def freeze(self, name, seconds):
        self.fleet.suspend(name)
        self.disturb()
        self.advance(seconds)
        self.fleet.resume(name)
        self.disturb()

    @stateful.rule(name=names, server=st.sampled_from(['s1', 's2', 's3']))
    def drain(self, name, server):
        instance = self.fleet.instances[name]
        if (
            server not in self.drain_signals
            and instance.peering.confirmation.confirmed
        ):
            instance.peering.mark_leaving(server)
            self.drain_signals[server] = self.fleet.now

    @stateful.rule(name=names, receiver=names)
    def replay(self, name, receiver):
        """Deliver a heartbeat of an earlier incarnation late."""
        own = self.fleet.instances[name].own
        earlier = own.incarnation._replace(
            started_ms=own.incarnation.started_ms - 1, nonce='f' * 16
        )
        heartbeat = messages.Heartbeat(
            earlier, 2**40, '', 0, messages.ROLE_NONE, (), (), -1, ()
        )
        self.check_incarnations()
        self.fleet.instances[receiver].links.deliver(
            b'127.0.0.1:7000/' + b'f' * 16, messages.CODEC.encode(heartbeat)
        )
        self.check_incarnations()

    def check_incarnations(self):
        """Check that a known incarnation is not replaced by an earlier one."""
        for instance in self.fleet.instances.values():
            for known in instance.peering.neighbour_table.neighbours.values():
                if known.incarnation is None:
                    continue
                key = (instance.own.incarnation, known.instance)
                started_ms = known.incarnation.started_ms
                assert started_ms >= self.latest.get(key, 0)
                self.latest[key] = started_ms

    @stateful.rule(seconds=st.sampled_from([0.3, 1.0, 4.0, 14.0]))
    def advance(self, seconds):
        self.fleet.advance(seconds)
        self.check_never_back()
        self.check_in_force_everywhere()
        self.check_platform_followed()
        self.check_leaving_everywhere()

    def check_never_back(self):
        versions = self.fleet.platform.history['document']
        for instance in self.fleet.instances.values():
            assert instance.revisions == sorted(instance.revisions)
            held = instance.peering.document.held
            if held is not None:
                assert held.body == versions[held.revision - 1].body
                assert held.body.startswith(b'good')
            floor = self.floors.get(instance.name, 0)
            assert all(r >= floor for r in instance.revisions if r)

    def is_due(self, since, bound_s):
        settled_at = max(since, self.disturbed_at + CUT_DETECTION_S)
        return self.fleet.now >= settled_at + bound_s

    def check_in_force_everywhere(self):
        for revision, since in self.fleet.first_in_force.items():
            if self.is_due(since, IN_FORCE_BOUND_S):
                for instance in self.fleet.running_instances():
                    assert instance.peering.document.revision() >= revision

    def check_platform_followed(self):
        """Check that running instances have the platform's newest revision."""
        platform = self.fleet.platform
        if platform.is_unavailable or platform.age:
            return
        if self.is_due(self.published_at, IN_FORCE_BOUND_S):
            newest = platform.current('document').revision
            for instance in self.fleet.running_instances():
                assert instance.peering.document.highest_available() >= newest

    def check_leaving_everywhere(self):
        for server, since in list(self.drain_signals.items()):
            age = self.fleet.now - since
            if age > leaving.RENEWAL_INTERVAL_S * 2:
                del self.drain_signals[server]
            elif self.is_due(since, LEAVING_BOUND_S):
                for instance in self.fleet.running_instances():
                    assert server in instance.peering.marks.current()


FUZZING = settings(
    derandomize=True,
    deadline=None,
    max_examples=10,
    stateful_step_count=16,
)
FleetMachine.TestCase.settings = FUZZING
TestFleet = FleetMachine.TestCase


class ContentValue(shared_value.SharedValue):
    """Mutation: content is compared instead of revisions."""

    def offer(self, publication):
        if not self.is_open:
            return self.collect(publication)
        if self.held and self.held.digest == publication.digest:
            return shared_value.OfferResult.KNOWN
        return self.check_and_apply(publication)


class SameContentIsKnown(shared_value.SharedValue):
    """Mutation: the same bytes published again are not a new revision."""

    def check_and_apply(self, publication):
        if self.held and self.held.digest == publication.digest:
            return shared_value.OfferResult.KNOWN
        return super().check_and_apply(publication)


class NoRefusedHeads(shared_value.SharedValue):
    """Mutation: a refused revision is not announced."""

    def heads(self):
        return tuple(head for head in super().heads() if head.accepted)


class OwnMarksOnly(leaving.LeavingMarks):
    """Mutation: marks of peers are not forwarded."""

    def marks_to_send(self):
        own = self.own.nonce
        return tuple(m for m in super().marks_to_send() if m.origin == own)


class AcceptsEarlier(incarnations.IncarnationRegister):
    """Mutation: messages of earlier incarnations are accepted."""

    def admit(self, incarnation):
        return incarnations.well_formed(incarnation)


def mutant_with_value(value_class):
    class Mutant(peering.Peering):
        def make_value(self, name, check):
            return value_class(
                name=name, check=check, changed=self.value_changed
            )

    return Mutant


class MarksMutant(peering.Peering):
    """Mutation: ``OwnMarksOnly``."""

    def __init__(self, **parts):
        super().__init__(**parts)
        own = self.identity.incarnation
        self.marks = OwnMarksOnly(own=own, clock=self.timers.clock)


class EarlierMutant(peering.Peering):
    """Mutation: ``AcceptsEarlier``."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self.neighbour_table.register = AcceptsEarlier()


class NoRefetchMutant(peering.Peering):
    """Mutation: a copy that was lost is not fetched again."""

    def __init__(self, **parts):
        super().__init__(**parts)
        requested = set()

        def may_fetch(request, instance):
            fresh = request not in requested
            requested.add(request)
            return fresh

        self.message_handler.may_fetch = may_fetch


class NoViewConfirmation(peering.Peering):
    """Mutation: the platform's revision is in force before peers respond."""

    def __init__(self, **parts):
        super().__init__(**parts)
        self.document.open()


def serve_earlier_revision(machine):
    """Publish a revision, then let the platform serve the one before it."""
    machine.publish(number=2)
    machine.advance(14.0)
    machine.change_platform(away=False, age=1)
    machine.advance(14.0)
    machine.advance(14.0)
    machine.advance(14.0)


def republish_same_content(machine):
    """Publish the content in force again, which is a new revision."""
    machine.publish(number=2)
    machine.advance(14.0)
    machine.publish(number=2)
    machine.advance(14.0)
    machine.advance(14.0)


def publish_refused(machine):
    """Publish a document that fails its check."""
    machine.advance(14.0)
    machine.publish_bad()
    machine.advance(4.0)
    machine.advance(14.0)


def drain_at_unlinked_instance(machine):
    """Observe a drain signal at an instance not linked to all others."""
    machine.advance(14.0)
    machine.drain(name='a3', server='s1')
    machine.advance(4.0)
    machine.advance(4.0)


def publish_often(machine):
    """Publish many revisions while the network loses messages."""
    machine.advance(14.0)
    for number in range(12):
        machine.publish(number=number)
        machine.advance(14.0)


def replay_earlier(machine):
    """Restart an instance, then deliver a message of its last incarnation."""
    machine.restart(name='b1')
    machine.advance(4.0)
    machine.replay(name='b1', receiver='a1')


def restart_while_older(machine):
    """Restart an instance while the platform serves an older revision."""
    machine.publish(number=2)
    machine.advance(14.0)
    machine.change_platform(away=False, age=1)
    machine.restart(name='a3')
    for _ in range(20):
        machine.advance(0.3)


SCENARIOS = {
    'compares-content': (
        mutant_with_value(ContentValue),
        serve_earlier_revision,
    ),
    'same-content-is-known': (
        mutant_with_value(SameContentIsKnown),
        republish_same_content,
    ),
    'no-refused-heads': (mutant_with_value(NoRefusedHeads), publish_refused),
    'own-marks-only': (MarksMutant, drain_at_unlinked_instance),
    'accepts-earlier': (EarlierMutant, replay_earlier),
    'fetches-once': (NoRefetchMutant, publish_often),
    'no-start-rule': (NoViewConfirmation, restart_while_older),
}


def run_scenario(peering_class, scenario):
    """Run a fixed scenario with the rules and checks of ``FleetMachine``."""
    machine = FleetMachine()
    machine.peering_class = peering_class
    machine.begin(seed=7)
    try:
        scenario(machine)
    finally:
        machine.teardown()


class TestMutations:
    """Each scenario fails with its mutation and passes without it."""

    @pytest.mark.parametrize('name', SCENARIOS)
    def test_is_detected(self, name):
        mutant, scenario = SCENARIOS[name]
        with pytest.raises(AssertionError):
            run_scenario(mutant, scenario)

    @pytest.mark.parametrize('name', SCENARIOS)
    def test_passes_without_mutation(self, name):
        run_scenario(peering.Peering, SCENARIOS[name][1])

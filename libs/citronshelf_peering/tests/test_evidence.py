"""Stateful tests of pooled evidence against directly computed sums."""

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_peering import evidence
from citronshelf_peering import evidence_rows

SERVERS = frozenset({'s1', 's2'})
MEMBERS = ('m1', 'm2', 'p1', 'p2')
PARENTS = ('p1', 'p2')
OBSERVER = 'o1'
# Every row has been repeated in a full message after this number of rounds.
SETTLING_ROUNDS = 2 * evidence.FULL_INTERVAL_MESSAGES


class EvidenceMachine(stateful.RuleBasedStateMachine):
    """Two members and two possible parents of a zone, and an observer.

    Messages in flight are delivered in any order, several times or never.
    The sums at the observer, in another zone, are compared with the number
    of good outcomes recorded for each server; counts that a restarted
    process had not sent yet may be missing.
    """

    pool_class = evidence.EvidencePool

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.process_count = 0
        self.in_flight = []
        self.pools = {}
        self.recorded = dict.fromkeys(SERVERS, 0)
        self.lost = dict.fromkeys(SERVERS, 0)
        self.seen = dict.fromkeys(SERVERS, 0)
        self.unsettled = {}
        self.parent = 'p1'
        for name in (*MEMBERS, OBSERVER):
            self.start_process(name)

    def start_process(self, name):
        self.process_count += 1
        own = identity.Incarnation(
            name, self.process_count, f'{self.process_count:016x}'
        )
        pool = self.pool_class(
            own=own,
            zone='z1',
            clock=lambda: self.now,
            on_increments=self.increments_handler(name),
        )
        pool.known_servers = SERVERS
        self.pools[name] = pool

    def increments_handler(self, name):
        def record_increments(zone, source, counts):
            for row in counts:
                if name == OBSERVER:
                    self.seen[row.server_id] += row.good

        return record_increments

    @stateful.rule(
        name=st.sampled_from(MEMBERS),
        server=st.sampled_from(sorted(SERVERS)),
        good=st.integers(1, 5),
    )
    def record(self, name, server, good):
        row = fleet.OutcomeCounts(server, 'read', good)
        self.pools[name].record((row,))
        self.recorded[server] += good
        held = self.unsettled.setdefault(server, 0)
        self.unsettled[server] = held + good

    @stateful.rule(name=st.sampled_from(MEMBERS))
    def send(self, name):
        pool = self.pools[name]
        self.now += 0.1
        if name == self.parent:
            self.send_sums(pool, pool.flush_to_sums())
            return
        if pool.has_sums():
            self.send_sums(pool, pool.repeat_sums())
        parent = self.pools[self.parent].own.nonce
        stream, parts = pool.flush_to_parent(parent)
        for part in parts:
            self.in_flight.append(
                (self.parent, (pool.own, parent, stream, part))
            )

    def send_sums(self, pool, sums):
        first, age_ms, parts = sums
        for number, part in enumerate(parts, start=first):
            message = (pool.own, 'z1', number, age_ms, part)
            self.in_flight.append((OBSERVER, message))

    @stateful.rule(index=st.integers(0, 1000), keep=st.booleans())
    def deliver(self, index, keep):
        """Deliver a message; with ``keep`` it may be delivered again."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        target, message = self.in_flight[index]
        if not keep:
            del self.in_flight[index]
        self.merge_message(target, message)

    def merge_message(self, target, message):
        rows = evidence_rows.unpack_rows(message[-1]).ok
        pool = self.pools[target]
        if target == OBSERVER:
            pool.merge_sums(*message[:-1], rows)
        else:
            pool.merge_counts(*message[:-1], rows)
        self.check_never_more()

    @stateful.rule(index=st.integers(0, 1000))
    def lose(self, index):
        if self.in_flight:
            del self.in_flight[index % len(self.in_flight)]

    @stateful.rule(parent=st.sampled_from(PARENTS))
    def change_parent(self, parent):
        self.parent = parent

    @stateful.rule(name=st.sampled_from(MEMBERS))
    def restart(self, name):
        """Restart; counts that the observer lacks may be lost."""
        for server, held in self.unsettled.items():
            self.lost[server] += held
        self.unsettled = {}
        self.start_process(name)

    @stateful.rule()
    def settle(self):
        """Deliver all counts without loss; check that the observer has them.

        Every parent is used in turn.
        """
        final = self.parent
        for parent in (*PARENTS, final):
            self.parent = parent
            for _ in range(SETTLING_ROUNDS):
                self.round()
        for server in SERVERS:
            least = self.recorded[server] - self.lost[server]
            assert self.seen[server] >= least
        self.lost = {
            server: self.recorded[server] - self.seen[server]
            for server in SERVERS
        }
        self.unsettled = {}

    def round(self):
        for name in MEMBERS:
            self.send(name)
        waiting, self.in_flight = self.in_flight, []
        for target, message in waiting:
            self.merge_message(target, message)

    def check_never_more(self):
        for server in SERVERS:
            assert self.seen[server] <= self.recorded[server]


FUZZING = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=30
)
EvidenceMachine.TestCase.settings = FUZZING
TestEvidence = EvidenceMachine.TestCase


class AddsAgain(evidence.DeltaDecoder):
    """Mutation: a message that is delivered twice counts twice."""

    def decode(self, rows, *, baseline=False):
        self.seen = {}
        return super().decode(rows)


class KeepsEarlierIncarnation(evidence.EvidencePool):
    """Mutation: a new incarnation continues the stream of the earlier one."""

    def merge_counts(self, sender, parent, stream, rows):
        known = self.sources.get(sender.instance)
        if known is not None:
            known.incarnation = sender
        super().merge_counts(sender, parent, stream, rows)


class OneStream(evidence.EvidencePool):
    """Mutation: all parents receive the same stream of counts."""

    def flush_to_parent(self, parent):
        if self.streams and parent not in self.streams:
            self.streams[parent] = next(iter(self.streams.values()))
        return super().flush_to_parent(parent)


class SendsRowsOnce(evidence.EvidencePool):
    """Mutation: a row is sent only once after each change."""

    def flush_to_parent(self, parent):
        number, parts = super().flush_to_parent(parent)
        table = self.streams[parent][1]
        table.changed_in = dict.fromkeys(table.changed_in, -100)
        table.message_number = 1
        return number, parts


class AddsAgainPool(evidence.EvidencePool):
    """Mutation: ``AddsAgain``."""

    def new_source(self, sender, stream):
        source = super().new_source(sender, stream)
        source.decoder = AddsAgain()
        return source


MUTATIONS = (AddsAgainPool, KeepsEarlierIncarnation, OneStream, SendsRowsOnce)


class TestMutations:
    """``EvidenceMachine`` detects each mutation."""

    @pytest.mark.parametrize('mutant', MUTATIONS, ids=lambda m: m.__name__)
    def test_is_detected(self, mutant):
        class Mutated(EvidenceMachine):
            pool_class = mutant

        mutant_settings = settings(
            FUZZING,
            phases=['generate'],
            print_blob=False,
            max_examples=300,
            stateful_step_count=40,
        )
        with pytest.raises(AssertionError):
            stateful.run_state_machine_as_test(
                Mutated, settings=mutant_settings
            )


class TestCountedIncrements:
    """Only increments after the baseline are counted, for listed servers.

    Sums that began before the process started set the baseline. Counts of an
    unlisted server are included once it is listed.
    """

    def test_old_sums_only_set_the_baseline(self):
        increments = []
        own = identity.Incarnation('o1', 2, f'{2:016x}')
        origin = identity.Incarnation('p1', 1, f'{1:016x}')
        pool = evidence.EvidencePool(
            own=own,
            zone='z2',
            clock=lambda: 10.0,
            on_increments=lambda zone, source, counts: increments.extend(
                counts
            ),
        )
        pool.known_servers = SERVERS
        old = fleet.OutcomeCounts('s1', 'read', 5000, 70)
        assert pool.merge_sums(origin, 'z1', 9, 3_600_000, [old])
        new = old._replace(good=5003)
        assert pool.merge_sums(origin, 'z1', 10, 3_600_000, [new])
        assert not pool.merge_sums(origin, 'z1', 10, 3_600_000, [new])
        assert increments == [fleet.OutcomeCounts('s1', 'read', 3)]

    def test_rows_of_unlisted_servers_count_later(self):
        pool = evidence.EvidencePool(
            own=identity.Incarnation('p1', 1, f'{1:016x}'),
            zone='z1',
            clock=lambda: 10.0,
            on_increments=lambda zone, source, counts: None,
        )
        child = identity.Incarnation('m1', 1, f'{2:016x}')
        row = fleet.OutcomeCounts('s1', 'read', 4)
        pool.merge_counts(child, pool.own.nonce, 1, [row])
        assert pool.pending == []
        pool.known_servers = SERVERS
        pool.merge_counts(child, pool.own.nonce, 1, [row])
        assert pool.pending == [row]

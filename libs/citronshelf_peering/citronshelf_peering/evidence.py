"""Aggregates outcome counts of all instances, summed by zone.

Counts travel up a tree: each instance sends its counts to its parent, which
adds them to its own and sends them to the parent of the zone, whose sums are
distributed to all instances. On every edge the counts are cumulative within
a stream that belongs to exactly one pair of incarnations, and the receiver
keeps the largest count of each row. Loss, duplication and reordering of
messages are therefore harmless, and nothing is counted twice after a change
of parent.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import operator

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_peering import evidence_rows

Key = tuple[str, str]
Counts = tuple[int, ...]
OnIncrements = Callable[[str, str, tuple[fleet.OutcomeCounts, ...]], None]

# A row is sent in this many rounds after its last change. Every
# ``FULL_INTERVAL_MESSAGES``-th round sends all rows, so a count whose messages
# were lost is delayed until the next full round that arrives.
REPEAT_MESSAGES = 3
FULL_INTERVAL_MESSAGES = 15
MAX_KEYS = 16_384
ZERO_COUNTS = (0, 0, 0, 0, 0)
MAX_STREAMS = 4
MAX_SOURCES = 4096
MAX_ORIGINS = 256
MAX_REMEMBERED_SEQUENCES = 64
# Counts that accumulated during a longer gap are not evidence of the present.
MAX_GAP_S = 30.0


def row_key(row: fleet.OutcomeCounts) -> Key:
    """Return the server and request class that identify a row."""
    return row[:2]


class CountTable:
    """Cumulative counts by server and request class.

    Rows of new servers and classes are ignored above ``MAX_KEYS`` rows.
    """

    def __init__(self):
        self.counts: dict[Key, Counts] = {}
        self.changed_in: dict[Key, int] = {}
        self.message_number = 1

    def add(self, increments: Iterable[fleet.OutcomeCounts]) -> None:
        """Add increments and mark their rows for the next messages."""
        for row in increments:
            key = row_key(row)
            if key not in self.counts and len(self.counts) >= MAX_KEYS:
                continue
            old = self.counts.get(key, ZERO_COUNTS)
            self.counts[key] = tuple(map(operator.add, old, row[2:]))
            self.changed_in[key] = self.message_number

    def next_rows(self) -> list[bytes]:
        """Return the rows to send now, in packed parts.

        A row is included in the ``REPEAT_MESSAGES`` calls that follow its
        last change; every ``FULL_INTERVAL_MESSAGES``-th call includes all
        rows. A part has at most ``evidence_rows.MAX_ROWS`` rows.
        """
        full = self.message_number % FULL_INTERVAL_MESSAGES == 0
        horizon = self.message_number - REPEAT_MESSAGES
        rows = [
            fleet.OutcomeCounts(*key, *counts)
            for key, counts in self.counts.items()
            if full or self.changed_in[key] > horizon
        ]
        self.message_number += 1
        return [
            evidence_rows.pack_rows(rows[i : i + evidence_rows.MAX_ROWS])
            for i in range(0, len(rows), evidence_rows.MAX_ROWS)
        ]


class DeltaDecoder:
    """Converts the cumulative rows of one stream into increments."""

    def __init__(self):
        self.seen: dict[Key, Counts] = {}

    def decode(
        self, rows, *, baseline=False
    ) -> tuple[fleet.OutcomeCounts, ...]:
        """Return the increments of these rows over all earlier ones.

        Parameters
        ----------
        rows : iterable of OutcomeCounts
        baseline : bool
            Rows that are new to the stream only set the baseline and yield
            no increment.
        """
        increments = []
        for row in rows:
            key = row_key(row)
            new = row[2:]
            old = self.seen.get(key)
            if old == new:
                continue
            if old is None:
                if len(self.seen) >= MAX_KEYS:
                    continue
                old = new if baseline else ZERO_COUNTS
            highest = tuple(map(max, old, new))
            self.seen[key] = highest
            if highest != old:
                added = map(operator.sub, highest, old)
                increments.append(fleet.OutcomeCounts(*key, *added))
        return tuple(increments)


@dataclasses.dataclass(kw_only=True)
class Source:
    """Stream of a peer that sends its counts to this instance."""

    incarnation: identity.Incarnation
    stream: int
    decoder: DeltaDecoder


@dataclasses.dataclass(kw_only=True)
class Origin:
    """Stream of the sums of one zone parent.

    Attributes
    ----------
    first_seen, last_seen : float
        Monotonic seconds of the first and last message.
    sequences : collections.OrderedDict
        Sequence numbers of recent messages, to detect duplicates.
    baseline : bool
        Whether the sums began before this process started.
    decoder : DeltaDecoder
    """

    first_seen: float
    last_seen: float
    sequences: collections.OrderedDict
    baseline: bool
    decoder: DeltaDecoder


class EvidencePool:
    """Collects and merges counts as one node of the tree.

    ``EvidenceSender`` sends what the methods ``flush_to_parent``,
    ``flush_to_sums`` and ``repeat_sums`` return.

    Parameters
    ----------
    own : Incarnation
    zone : str
    clock : callable
    on_increments : callable
        Called with zone, source instance and increments; updates the health
        board.
    """

    def __init__(
        self,
        *,
        own: identity.Incarnation,
        zone,
        clock,
        on_increments: OnIncrements,
    ):
        self.own = own
        self.zone = zone
        self.clock = clock
        self.on_increments = on_increments
        self.started = clock()
        self.known_servers: frozenset[str] = frozenset()
        self.pending: list[fleet.OutcomeCounts] = []
        self.streams: dict[str, tuple[int, CountTable]] = {}
        self.stream_number = 0
        self.sums = CountTable()
        self.sums_started = clock()
        self.sequence = 0
        self.sources: dict[str, Source] = {}
        self.origins: dict[identity.Incarnation, Origin] = {}

    def record(self, counts: Iterable[fleet.OutcomeCounts]) -> None:
        """Record outcomes reported by the local entry daemon.

        Outcomes of servers that are not in the fleet list are dropped.
        """
        self.pending.extend(self.listed_rows(counts))

    def listed_rows(self, rows) -> list[fleet.OutcomeCounts]:
        """Return the rows whose servers are in the current fleet list.

        Rows of other servers are dropped before they are decoded, so that
        their counts are included once the fleet list contains the server.
        """
        return [row for row in rows if row.server_id in self.known_servers]

    def flush_to_parent(self, parent: str) -> tuple[int, list[bytes]]:
        """Move pending counts to the stream for a parent.

        Parameters
        ----------
        parent : str
            Nonce of the parent's incarnation.

        Returns
        -------
        tuple
            Stream number and packed rows for messages.
        """
        if parent not in self.streams:
            self.stream_number += 1
            self.streams[parent] = (self.stream_number, CountTable())
            if len(self.streams) > MAX_STREAMS:
                del self.streams[next(iter(self.streams))]
        number, table = self.streams[parent]
        table.add(self.pending)
        self.pending = []
        return number, table.next_rows()

    def flush_to_sums(self) -> tuple[int, int, list[bytes]]:
        """Move pending counts to the sums that this zone parent distributes.

        The counts are also passed to ``on_increments``.

        Returns
        -------
        tuple
            Sequence number of the first message, age of the sums in ms and
            packed rows for messages.
        """
        if self.pending:
            self.sums.add(self.pending)
            self.on_increments(
                self.zone, self.own.instance, tuple(self.pending)
            )
            self.pending = []
        return self.repeat_sums()

    def repeat_sums(self) -> tuple[int, int, list[bytes]]:
        """Return the sums to send, without adding pending counts to them.

        The result is as for ``flush_to_sums``.
        """
        parts = self.sums.next_rows()
        first = self.sequence + 1
        self.sequence += len(parts)
        age_ms = int((self.clock() - self.sums_started) * 1000)
        return first, age_ms, parts

    def has_sums(self) -> bool:
        """Return whether this incarnation ever added counts to its sums."""
        return bool(self.sums.counts)

    def merge_counts(self, sender, parent: str, stream: int, rows) -> None:
        """Merge the counts of a peer whose parent is this instance.

        Counts addressed to another incarnation and counts of an older stream
        are ignored.
        """
        if parent != self.own.nonce or sender == self.own:
            return
        source = self.sources.get(sender.instance)
        if source is None or source.incarnation != sender:
            source = self.new_source(sender, stream)
        if stream < source.stream:
            return
        if stream > source.stream:
            source.stream = stream
            source.decoder = DeltaDecoder()
        self.pending.extend(source.decoder.decode(self.listed_rows(rows)))

    def new_source(self, sender, stream: int) -> Source:
        """Register a new peer or a new incarnation of a peer."""
        source = Source(
            incarnation=sender, stream=stream, decoder=DeltaDecoder()
        )
        self.sources[sender.instance] = source
        if len(self.sources) > MAX_SOURCES:
            del self.sources[next(iter(self.sources))]
        return source

    def merge_sums(self, origin, zone, sequence, age_ms, rows) -> bool:
        """Merge the sums of a zone and pass increments to ``on_increments``.

        Increments are dropped if no message of the origin was received for
        more than ``MAX_GAP_S``.

        Returns
        -------
        bool
            Whether to forward the message; False for duplicates and for sums
            of this process.
        """
        if origin == self.own:
            return False
        now = self.clock()
        state = self.origins.get(origin)
        if state is None:
            state = self.new_origin(origin, now, age_ms)
        after_gap = now - state.last_seen > MAX_GAP_S
        if sequence in state.sequences:
            # The message was already received on another path.
            return False
        state.sequences[sequence] = None
        if len(state.sequences) > MAX_REMEMBERED_SEQUENCES:
            state.sequences.popitem(last=False)
        state.last_seen = now
        settled = now - state.first_seen > MAX_GAP_S
        baseline = state.baseline and not settled
        added = state.decoder.decode(self.listed_rows(rows), baseline=baseline)
        if added and not after_gap:
            self.on_increments(zone, origin.instance, added)
        return True

    def new_origin(self, origin, now: float, age_ms: int) -> Origin:
        """Register an incarnation that distributes sums.

        Sums that began before this process started contain old outcomes.
        Their rows that first arrive within ``MAX_GAP_S`` of the origin's first
        message therefore only set the baseline.
        """
        history = age_ms / 1000 > now - self.started
        state = Origin(
            first_seen=now,
            last_seen=now,
            sequences=collections.OrderedDict(),
            baseline=history,
            decoder=DeltaDecoder(),
        )
        self.origins[origin] = state
        if len(self.origins) > MAX_ORIGINS:
            oldest = min(self.origins, key=lambda o: self.origins[o].last_seen)
            del self.origins[oldest]
        return state

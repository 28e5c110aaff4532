"""Pooled evidence: cumulative counts, summed by zone.

Counts go up a tree: an instance's own counts to its parent, the parent's sums
to the parent of the zone, whose sums spread to everyone. On every edge they
are cumulative within a stream that belongs to exactly one pair of
incarnations, and a receiver keeps the largest count of each row. Loss,
duplication and reordering are harmless, and nothing is counted twice after
a change of parents.
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
Sink = Callable[[str, str, tuple[fleet.OutcomeCounts, ...]], None]

# A row is repeated in this many messages after its last change, and every
# row in each full message, so that a lost message delays counts at most by
# the period of full messages.
REPEAT_MESSAGES = 3
FULL_INTERVAL_MESSAGES = 15
MAX_KEYS = 16_384
ZERO_COUNTS = (0, 0, 0, 0, 0)
MAX_STREAMS = 4
MAX_SOURCES = 4096
MAX_ORIGINS = 256
MAX_REMEMBERED_SEQUENCES = 64
# Counts of a longer silence are too old to be evidence of the present.
MAX_GAP_S = 30.0


def row_key(row: fleet.OutcomeCounts) -> Key:
    """Return what identifies a row."""
    return row[:2]


class CountTable:
    """Cumulative counts by server and class."""

    def __init__(self):
        self.counts: dict[Key, Counts] = {}
        self.changed_in: dict[Key, int] = {}
        self.message_number = 1

    def add(self, increments: Iterable[fleet.OutcomeCounts]) -> None:
        """Add increments."""
        for row in increments:
            key = row_key(row)
            if key not in self.counts and len(self.counts) >= MAX_KEYS:
                continue
            old = self.counts.get(key, ZERO_COUNTS)
            self.counts[key] = tuple(map(operator.add, old, row[2:]))
            self.changed_in[key] = self.message_number

    def next_rows(self) -> list[bytes]:
        """Return the packed rows of the next message, in parts."""
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
    """Turns cumulative rows of one stream into increments."""

    def __init__(self):
        self.seen: dict[Key, Counts] = {}

    def decode(
        self, rows, *, baseline=False
    ) -> tuple[fleet.OutcomeCounts, ...]:
        """Return what rows add to all rows before.

        Parameters
        ----------
        rows : iterable of OutcomeCounts
        baseline : bool
            Rows seen for the first time are only remembered.
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
    """Intake of a peer that sends its counts to this instance."""

    incarnation: identity.Incarnation
    stream: int
    decoder: DeltaDecoder


@dataclasses.dataclass(kw_only=True)
class Origin:
    """Intake of the sums of a zone."""

    first_seen: float
    last_seen: float
    sequences: collections.OrderedDict
    baseline: bool
    decoder: DeltaDecoder


class EvidencePool:
    """Evidence of this instance in the tree.

    Parameters
    ----------
    own : Incarnation
    zone : str
    clock : callable
    sink : callable
        Takes zone, source and increments for the health board.
    """

    def __init__(self, *, own: identity.Incarnation, zone, clock, sink: Sink):
        self.own = own
        self.zone = zone
        self.clock = clock
        self.sink = sink
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
        """Take outcomes of the own entry daemon."""
        self.pending.extend(self.listed_rows(counts))

    def listed_rows(self, rows) -> list[fleet.OutcomeCounts]:
        """Return the rows of listed servers.

        Rows of a server that the list does not have yet are not marked as
        seen, so that they count once the list has it.
        """
        return [row for row in rows if row.server_id in self.known_servers]

    def flush_to_parent(self, parent: str) -> tuple[int, list[bytes]]:
        """Move pending counts to a parent's stream.

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
        """Move pending counts to the sums of this instance as zone parent.

        Returns
        -------
        tuple
            Sequence number of the first message, age in ms and packed rows
            for messages.
        """
        if self.pending:
            self.sums.add(self.pending)
            self.sink(self.zone, self.own.instance, tuple(self.pending))
            self.pending = []
        return self.repeat_sums()

    def repeat_sums(self) -> tuple[int, int, list[bytes]]:
        """Return the sums for messages without moving pending counts."""
        parts = self.sums.next_rows()
        first = self.sequence + 1
        self.sequence += len(parts)
        age_ms = int((self.clock() - self.sums_started) * 1000)
        return first, age_ms, parts

    def has_sums(self) -> bool:
        """Tell whether this instance was a zone parent in this life."""
        return bool(self.sums.counts)

    def merge_counts(self, sender, parent: str, stream: int, rows) -> None:
        """Take the counts of a peer that has this instance as parent."""
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
        """Begin with a new peer or with a new life of a peer."""
        source = Source(
            incarnation=sender, stream=stream, decoder=DeltaDecoder()
        )
        self.sources[sender.instance] = source
        if len(self.sources) > MAX_SOURCES:
            del self.sources[next(iter(self.sources))]
        return source

    def merge_sums(self, origin, zone, sequence, age_ms, rows) -> bool:
        """Take the sums of a zone; tell whether to pass them on."""
        if origin == self.own:
            return False
        now = self.clock()
        state = self.origins.get(origin)
        if state is None:
            state = self.new_origin(origin, now, age_ms)
        stale = now - state.last_seen > MAX_GAP_S
        if sequence in state.sequences:
            # The same message by another way.
            return False
        state.sequences[sequence] = None
        if len(state.sequences) > MAX_REMEMBERED_SEQUENCES:
            state.sequences.popitem(last=False)
        state.last_seen = now
        settled = now - state.first_seen > MAX_GAP_S
        baseline = state.baseline and not settled
        added = state.decoder.decode(self.listed_rows(rows), baseline=baseline)
        if added and not stale:
            self.sink(zone, origin.instance, added)
        return True

    def new_origin(self, origin, now: float, age_ms: int) -> Origin:
        """Begin with the sums of an incarnation.

        Sums that began before this process are history: their first rows
        only set the baseline.
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

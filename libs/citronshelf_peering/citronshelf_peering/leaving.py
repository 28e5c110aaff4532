"""Marks backend servers as leaving after a drain signal."""

import logging

from citronshelf_common import events as common_events
from citronshelf_common import identity
from citronshelf_peering import events
from citronshelf_peering import messages

LOG = logging.getLogger(__name__)

# Longer than a few lost probes of a server that is still draining, but short
# enough for a server that restarted with the same identity to return.
MARK_LIFETIME_S = 30.0
RENEWAL_INTERVAL_S = 10.0
MAX_MARKED_SERVERS = 4096


class LeavingMarks:
    """Leaving marks by server; each expires a fixed time after its signal.

    A mark is identified by the incarnation that observed the signal and a
    counter of that incarnation, so forwarding a mark does not extend its
    lifetime.

    Parameters
    ----------
    own : Incarnation
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, own: identity.Incarnation, clock):
        self.own = own
        self.clock = clock
        self.number = 0
        self.marks: dict[str, tuple[str, int, float]] = {}

    def record_signal(self, server_id: str) -> bool:
        """Record a drain signal that this instance observed.

        Returns
        -------
        bool
            Whether the mark is new or renewed and has to be sent to peers.
        """
        now = self.clock()
        known = self.marks.get(server_id)
        if known is not None and now - known[2] < RENEWAL_INTERVAL_S:
            return False
        self.number += 1
        self.set_mark(server_id, self.own.nonce, self.number, now)
        return True

    def merge(self, marks: tuple[messages.LeavingMark, ...]) -> bool:
        """Merge the marks of a peer; return whether any mark changed.

        A mark is ignored if it has expired, is already known, or is less than
        half of ``RENEWAL_INTERVAL_S`` newer than the known one. Marks of
        further servers are ignored above ``MAX_MARKED_SERVERS``.
        """
        changed = False
        now = self.clock()
        for mark in marks:
            seen_at = now - mark.age_ms / 1000
            if seen_at <= now - MARK_LIFETIME_S or not mark.server_id:
                continue
            known = self.marks.get(mark.server_id)
            if known is not None:
                if known[0] == mark.origin and known[1] >= mark.number:
                    continue
                if seen_at < known[2] + RENEWAL_INTERVAL_S / 2:
                    continue
            if known is None and len(self.marks) >= MAX_MARKED_SERVERS:
                continue
            self.set_mark(mark.server_id, mark.origin, mark.number, seen_at)
            changed = True
        return changed

    def set_mark(self, server_id, origin, number, seen_at) -> None:
        """Store a mark; log it when the server was not marked before."""
        if server_id not in self.marks:
            common_events.log_event(
                LOG, events.SERVER_LEAVING, server=server_id, origin=origin
            )
        self.marks[server_id] = (origin, number, seen_at)

    def current(self) -> frozenset[str]:
        """Remove expired marks and return the servers that stay marked."""
        horizon = self.clock() - MARK_LIFETIME_S
        for server_id, mark in list(self.marks.items()):
            if mark[2] <= horizon:
                del self.marks[server_id]
        return frozenset(self.marks)

    def marks_to_send(self) -> tuple[messages.LeavingMark, ...]:
        """Return the most recent marks, at most ``messages.MAX_MARKS``."""
        self.current()
        now = self.clock()
        youngest = sorted(
            self.marks.items(), key=lambda item: (-item[1][2], item[0])
        )
        return tuple(
            messages.LeavingMark(
                server_id, origin, number, max(0, int((now - seen_at) * 1000))
            )
            for server_id, (origin, number, seen_at) in youngest[
                : messages.MAX_MARKS
            ]
        )

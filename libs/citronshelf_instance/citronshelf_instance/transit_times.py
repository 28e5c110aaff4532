"""How long messages of other instances were on their way."""

from typing import NamedTuple

from citronshelf_instance import peer_messages

# A clock that was stopped while its machine was suspended differs by another
# time afterwards, so older messages are compared with no more after this time.
WINDOW_S = 10.0
MAX_INSTANCES = 1024


class Offsets(NamedTuple):
    """Least differences between arrival and sending, by the two clocks.

    Attributes
    ----------
    began_s : float
        When the window began.
    least_s : float
        Of the messages in this window.
    before_s : float
        Of those in the window before.
    """

    began_s: float
    least_s: float
    before_s: float


class TransitTimes:
    """Tells by how much messages were slower than the fastest ones.

    The clocks of two instances differ by an unknown time, which stays nearly
    the same. The fastest recent message from an instance shows it up to the
    shortest time on the way. What a message took beyond that was spent on a
    busy link or in a queue.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, *, clock):
        self.clock = clock
        # By the keys of members, the one heard last at the end.
        self.offsets: dict[int, Offsets] = {}

    def age_s(
        self,
        sender: peer_messages.Member,
        sent_s: float | None,
        age_s: float | None,
    ) -> float | None:
        """Return the age of what a message tells, at its arrival.

        Parameters
        ----------
        sender : Member
        sent_s : float or None
            When it was sent, by the sender's monotonic clock; None if unknown.
        age_s : float or None
            The age when it was sent; None if unknown.
        """
        if sent_s is None:
            return age_s
        delay_s = self.delay_s(peer_messages.member_key(sender), sent_s)
        return None if age_s is None else age_s + delay_s

    def delay_s(self, sender: int, sent_s: float) -> float:
        """Record a message; return by how much it was delayed."""
        now = self.clock()
        offset_s = now - sent_s
        known = self.offsets.pop(sender, None)
        if known is None or now - known.began_s >= 2 * WINDOW_S:
            known = Offsets(now, offset_s, offset_s)
        elif now - known.began_s >= WINDOW_S:
            known = Offsets(now, offset_s, known.least_s)
        else:
            known = known._replace(least_s=min(known.least_s, offset_s))
        self.offsets[sender] = known
        if len(self.offsets) > MAX_INSTANCES:
            del self.offsets[next(iter(self.offsets))]
        return offset_s - min(known.least_s, known.before_s)

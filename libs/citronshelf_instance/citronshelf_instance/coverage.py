"""Keeps the sound servers of a service in use."""

import collections
import random

# The users' rule (FLOOR): over two seconds in which many requests fail, 0.7 of
# a service's sound servers get some. The wanted share is above that; both
# figures come from the simulation measures/floor_share.py (docs/proofs.md).
WANTED_SHARE = 0.82
# A server is in use if the newest outcome that was heard belongs to a request
# of this time. Good ones are told up to a second later; their requests are
# then within the two seconds.
IN_USE_WINDOW_S = 1.0
# Over which the dispatches of the region are counted; they are told in lots.
COUNT_WINDOW_S = 2.0
# Requests that all instances of the region send in the mean within
# ``IN_USE_S`` to a server that needs one; none comes in 5 of 100 cases.
TEST_REQUESTS = 3.0


class RecentDispatches:
    """Dispatches to one service that ended within ``COUNT_S``.

    Attributes
    ----------
    ended_s : deque of float
        Monotonic times, of this and the other instances of the region.
    """

    def __init__(self):
        self.finished_s: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Count one."""
        self.finished_s.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Forget those that are older."""
        while self.finished_s and self.finished_s[0] < now - COUNT_WINDOW_S:
            self.finished_s.popleft()

    def count(self, now: float) -> int:
        """Return how many there are."""
        self.expire(now)
        return len(self.finished_s)


def choose_server_to_test(
    servers, recent: RecentDispatches, now: float, rng: random.Random
):
    """Return a server that needs a request to stay in use, or None.

    The servers that are in use must make up the wanted share of the number of
    sound servers that the evidence lets expect. Silent servers are tested
    until they do, those that are most likely sound first.

    Parameters
    ----------
    servers : list of ServerState
        Servers of the own region that may get the request.
    ended : Dispatches
        Of their service.
    now : float
        Monotonic seconds.
    rng : random.Random
    """
    healthy = {s: 1 - s.evidence.failing for s in servers}
    unobserved = sorted(
        (s for s in servers if s.last_used_s < now - IN_USE_WINDOW_S),
        key=healthy.get,
        reverse=True,
    )
    needed = WANTED_SHARE * sum(healthy.values())
    covered = sum(healthy.values()) - sum(healthy[s] for s in unobserved)
    to_test = []
    for server in unobserved:
        if covered >= needed:
            break
        to_test.append(server)
        covered += healthy[server]
    expected_dispatches = recent.count(now) * IN_USE_WINDOW_S / COUNT_WINDOW_S
    if rng.random() * max(1.0, expected_dispatches) >= TEST_REQUESTS * len(
        to_test
    ):
        return None
    return rng.choice(to_test)

"""Choice of requests that keep healthy servers in use."""

import collections
import random

# The users require that in any two seconds in which many requests fail, 0.7 of
# a service's healthy servers get requests. The target share is higher; see the
# simulation in measures/floor_share.py (docs/proofs.md).
TARGET_IN_USE_SHARE = 0.82
# A server is in use if there is an observation of a request sent to it within
# this time. Peers announce good outcomes up to a second late, so their
# requests are still within the two seconds that the users require.
IN_USE_WINDOW_S = 1.0
# Window for counting the dispatches of the region. Peers report theirs in
# batches.
COUNT_WINDOW_S = 2.0
# Expected number of requests that the instances of the region together send to
# a server that needs one within ``IN_USE_WINDOW_S``. With this mean, none is
# sent in 5% of cases.
EXPECTED_REQUESTS = 3.0


class RecentDispatches:
    """Dispatches to one service, counted over ``COUNT_WINDOW_S``.

    Attributes
    ----------
    finished_s : deque of float
        Monotonic times at which this instance recorded the outcomes of its
        own dispatches and of those that peers of the region reported.
    """

    def __init__(self):
        self.finished_s: collections.deque[float] = collections.deque()

    def record(self, now: float) -> None:
        """Count a dispatch whose outcome is recorded now."""
        self.finished_s.append(now)
        self.expire(now)

    def expire(self, now: float) -> None:
        """Drop dispatches that were recorded before the window."""
        while self.finished_s and self.finished_s[0] < now - COUNT_WINDOW_S:
            self.finished_s.popleft()

    def count(self, now: float) -> int:
        """Return the number of dispatches in the window."""
        self.expire(now)
        return len(self.finished_s)


def choose_server_to_test(
    servers, recent: RecentDispatches, now: float, rng: random.Random
):
    """Return a server that needs a request to stay in use, or None.

    The expected number of healthy servers among those in use must reach
    ``TARGET_IN_USE_SHARE`` of the expected number of healthy servers. Until it
    does, the most likely healthy servers without a recent observation need a
    request. One of them is returned with such a probability that the instances
    of the region together send ``EXPECTED_REQUESTS`` to each of them within
    ``IN_USE_WINDOW_S``. These are requests of callers; there are no separate
    probes.

    Parameters
    ----------
    servers : list of RegisteredServer
        Servers of the own region that may get the request, with estimates
        that are advanced to ``now``.
    recent : RecentDispatches
        Dispatches to their service.
    now : float
        Monotonic seconds.
    rng : random.Random
    """
    healthy = {s: 1 - s.estimate.failure_probability for s in servers}
    unobserved = sorted(
        (s for s in servers if s.last_used_s < now - IN_USE_WINDOW_S),
        key=healthy.get,
        reverse=True,
    )
    needed = TARGET_IN_USE_SHARE * sum(healthy.values())
    covered = sum(healthy.values()) - sum(healthy[s] for s in unobserved)
    to_test = []
    for server in unobserved:
        if covered >= needed:
            break
        to_test.append(server)
        covered += healthy[server]
    expected_dispatches = recent.count(now) * IN_USE_WINDOW_S / COUNT_WINDOW_S
    if rng.random() * max(1.0, expected_dispatches) >= EXPECTED_REQUESTS * len(
        to_test
    ):
        return None
    return rng.choice(to_test)

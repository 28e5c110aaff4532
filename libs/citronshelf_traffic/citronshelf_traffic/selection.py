"""Policies that select one of several candidate servers."""

from typing import NamedTuple


class Candidate(NamedTuple):
    """One server that a request may be sent to.

    Attributes
    ----------
    state : ServerLoadState
    hop_ms : float
        Latency that its location adds to the request.
    load : float
        Estimated number of requests on the server.
    cost_ms : float
        Sum of ``hop_ms`` and the expected wait.
    """

    state: object
    hop_ms: float
    load: float
    cost_ms: float


class TwoChoices:
    """Lowest cost of two random candidates for each network latency.

    Choosing the lowest cost of all candidates may send concurrent requests
    from all instances to the same server.
    """

    name = 'two-choices'

    def pick(self, candidates: list, rng) -> Candidate:
        """Return the cheapest of the sampled candidates.

        Parameters
        ----------
        candidates : non-empty list of Candidate
        rng : random.Random
        """
        by_hop = {}
        for candidate in candidates:
            by_hop.setdefault(candidate.hop_ms, []).append(candidate)
        sampled = []
        for group in by_hop.values():
            sampled += rng.sample(group, min(2, len(group)))
        return min(sampled, key=lambda candidate: candidate.cost_ms)


class RoundRobin:
    """Baseline: servers in rotation, regardless of load and location."""

    name = 'round-robin'

    def __init__(self):
        self.counter = 0

    def pick(self, candidates: list, rng) -> Candidate:
        """Return the next candidate in rank order."""
        self.counter += 1
        ordered = sorted(candidates, key=lambda c: c.state.rank)
        return ordered[self.counter % len(ordered)]


class LeastOutstanding:
    """Baseline: fewest outstanding requests of this instance.

    Ignores the load that servers report.
    """

    name = 'least-outstanding'

    def pick(self, candidates: list, rng) -> Candidate:
        """Return a random one of the candidates with the fewest requests."""
        least = min(candidate.state.outstanding for candidate in candidates)
        tied = [c for c in candidates if c.state.outstanding == least]
        return rng.choice(tied)


class LowestCost:
    """Lowest cost of all candidates; ties are broken at random."""

    name = 'lowest-cost'

    def pick(self, candidates: list, rng) -> Candidate:
        """Return the candidate with the lowest cost."""
        return min(candidates, key=lambda c: (c.cost_ms, rng.random()))


class HomeSlots:
    """Alternative: each instance owns one slot and uses others if it is busy.

    Parameters
    ----------
    home : str
        Identifier of the server on which this instance owns a slot.
    other : object
        Policy used while that slot is busy or its server is not a candidate.
    """

    name = 'home-slots'

    def __init__(self, *, home: str, other):
        self.home = home
        self.other = other

    def pick(self, candidates: list, rng) -> Candidate:
        """Return the home server if this instance has no request on it.

        Otherwise the other policy selects a candidate.
        """
        for candidate in candidates:
            state = candidate.state
            if state.server_id == self.home and state.outstanding == 0:
                return candidate
        return self.other.pick(candidates, rng)

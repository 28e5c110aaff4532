"""Ways to select one of several candidate servers."""

from typing import NamedTuple


class Candidate(NamedTuple):
    """One server that a request may be sent to.

    Attributes
    ----------
    state : ServerState
    hop_ms : float
        Time that its place adds to the request.
    load : float
        Estimated requests at the server now.
    cost_ms : float
        ``hop_ms`` and the expected wait.
    """

    state: object
    hop_ms: float
    load: float
    cost_ms: float


class TwoChoices:
    """Lowest cost of two random candidates of each distance.

    The lowest cost of all candidates would send simultaneous requests of all
    instances to the same server.
    """

    name = 'two-choices'

    def pick(self, candidates: list, rng) -> Candidate:
        """Return one of several candidates.

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
    """Baseline: each server in turn, without regard to load or place."""

    name = 'round-robin'

    def __init__(self):
        self.counter = 0

    def pick(self, candidates: list, rng) -> Candidate:
        """Return the next candidate."""
        self.counter += 1
        ordered = sorted(candidates, key=lambda c: c.state.rank)
        return ordered[self.counter % len(ordered)]


class LeastOutstanding:
    """Baseline: least own outstanding work, without in-band load."""

    name = 'least-outstanding'

    def pick(self, candidates: list, rng) -> Candidate:
        """Return a random one of those with the least own work."""
        least = min(candidate.state.outstanding for candidate in candidates)
        tied = [c for c in candidates if c.state.outstanding == least]
        return rng.choice(tied)


class LowestCost:
    """Lowest cost of all candidates, at random among equal ones."""

    name = 'lowest-cost'

    def pick(self, candidates: list, rng) -> Candidate:
        """Return the candidate with the lowest cost."""
        return min(candidates, key=lambda c: (c.cost_ms, rng.random()))


class HomeSlots:
    """Alternative: slots divided among instances, idle ones lent.

    Parameters
    ----------
    home : str
        Server one of whose slots belongs to this instance.
    other : object
        Policy while the own slot is taken.
    """

    name = 'home-slots'

    def __init__(self, *, home: str, other):
        self.home = home
        self.other = other

    def pick(self, candidates: list, rng) -> Candidate:
        """Return the home server unless the own slot is taken."""
        for candidate in candidates:
            state = candidate.state
            if state.server_id == self.home and state.outstanding == 0:
                return candidate
        return self.other.pick(candidates, rng)

"""What the outcomes of requests say about each backend server."""

import enum
import math
from typing import NamedTuple

# Rates of a two-state Markov model of a server, per second: how often a sound
# server begins to fail, and how often a failing one recovers. Measured on the
# users' sites: episodes last ten seconds in the mean, 22 seconds apart.
FAILURE_RATE_PER_S = 0.045
RECOVERY_RATE_PER_S = 0.1
# Share of the requests that fail in each state, on the same sites.
FAILING_FAILURE_SHARE = 0.85
HEALTHY_FAILURE_SHARE = 0.015
# Share of the requests that run far longer than usual in each state.
FAILING_STALL_SHARE = 0.5
HEALTHY_STALL_SHARE = 0.04
PRIOR_FAILURE_PROBABILITY = FAILURE_RATE_PER_S / (
    FAILURE_RATE_PER_S + RECOVERY_RATE_PER_S
)
# Below this probability servers count as equally sound: what lies below only
# tells which of them had more requests.
MIN_FAILURE_PROBABILITY = 0.1

# Weight of the newest request in the mean slowness, and how fast a server
# that gets no requests returns to normal.
SLOWNESS_WEIGHT = 0.3
SLOWNESS_DECAY_S = 4.0
MAX_SLOWNESS = 20.0


class Sign(enum.IntEnum):
    """How one dispatch ended, as evidence about its server."""

    GOOD = 0
    FAILED = 1
    STALLED = 2
    SHED = 3


class Observation(NamedTuple):
    """One sign about one server.

    Attributes
    ----------
    server_id : str
    sign : Sign
    slowness : float
        Time of the request relative to what its route usually takes; 0 when
        it says nothing.
    elapsed_s : float
        From the sending of the request to its end.
    """

    server_id: str
    sign: Sign
    slowness: float
    elapsed_s: float = 0.0


# Likelihood of each sign for a failing and for a sound server.
LIKELIHOODS = {
    Sign.GOOD: (1 - FAILING_FAILURE_SHARE, 1 - HEALTHY_FAILURE_SHARE),
    Sign.FAILED: (FAILING_FAILURE_SHARE, HEALTHY_FAILURE_SHARE),
    Sign.STALLED: (FAILING_STALL_SHARE, HEALTHY_STALL_SHARE),
}


class Shift(NamedTuple):
    """How far one sign moved the belief in a server.

    Attributes
    ----------
    failing : float
        Change of the probability, without its sign.
    slowness : float
    """

    failing: float
    slowness: float


class ServerEvidence:
    """Probability that one server is failing, and how slow it is.

    A forward filter of the two-state model: time moves the probability to its
    stationary value, each outcome updates it by Bayes' rule.

    Attributes
    ----------
    failing : float
        Probability at ``updated_s``.
    updated_s : float
    slowness : float
        Mean of observed over usual time, 1.0 for a normal server.
    """

    def __init__(self, *, now: float):
        self.failing = PRIOR_FAILURE_PROBABILITY
        self.updated_s = now
        self.slowness = 1.0

    def advance(self, now: float) -> None:
        """Account for the time since the last update."""
        elapsed = max(0.0, now - self.updated_s)
        self.updated_s = max(now, self.updated_s)
        kept = math.exp(-(FAILURE_RATE_PER_S + RECOVERY_RATE_PER_S) * elapsed)
        self.failing = (
            PRIOR_FAILURE_PROBABILITY
            + (self.failing - PRIOR_FAILURE_PROBABILITY) * kept
        )
        slow_kept = math.exp(-elapsed / SLOWNESS_DECAY_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * slow_kept

    def record(self, observation: Observation, now: float) -> Shift:
        """Update the belief with one outcome."""
        self.advance(now)
        before = self.failing, self.slowness
        likelihood = LIKELIHOODS.get(observation.sign)
        if likelihood is not None:
            failing = self.failing * likelihood[0]
            healthy = (1 - self.failing) * likelihood[1]
            self.failing = failing / (failing + healthy)
        if observation.slowness > 0:
            observed = min(observation.slowness, MAX_SLOWNESS)
            self.slowness += SLOWNESS_WEIGHT * (observed - self.slowness)
        return Shift(
            abs(self.failing - before[0]), abs(self.slowness - before[1])
        )

    def failure_share(self, now: float) -> float:
        """Return the expected share of requests that fail."""
        self.advance(now)
        failing = max(self.failing, MIN_FAILURE_PROBABILITY)
        return (
            failing * FAILING_FAILURE_SHARE
            + (1 - failing) * HEALTHY_FAILURE_SHARE
        )

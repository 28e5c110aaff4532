"""Estimates of each backend server's health from request outcomes."""

import enum
import math
from typing import Annotated
from typing import NamedTuple

import msgspec

# Transition rates of a two-state Markov model of a server: how often a healthy
# server starts to fail and how often a failing one recovers. On the users'
# sites, failures last 10 s on average, with 22 s between them.
FAILURE_RATE_PER_S = 0.045
RECOVERY_RATE_PER_S = 0.1
# Share of requests that fail in each state, on the same sites.
FAILING_FAILURE_SHARE = 0.85
HEALTHY_FAILURE_SHARE = 0.015
# Share of requests that take far longer than usual in each state.
FAILING_STALL_SHARE = 0.5
HEALTHY_STALL_SHARE = 0.04
PRIOR_FAILURE_PROBABILITY = FAILURE_RATE_PER_S / (
    FAILURE_RATE_PER_S + RECOVERY_RATE_PER_S
)
# Below this failure probability, servers count as equally healthy: smaller
# values differ only because some servers had more requests.
MIN_FAILURE_PROBABILITY = 0.1

# Weight of the newest request in the moving average of slowness, and time
# constant with which a server without requests returns to normal.
SLOWNESS_WEIGHT = 0.3
SLOWNESS_DECAY_S = 4.0
MAX_SLOWNESS = 20.0


class HealthSignal(enum.IntEnum):
    """Kind of an observation of one dispatch.

    ``SHED`` means that the server refused the request without running it.
    ``STALLED`` is observed while the response is overdue; the same dispatch
    may be observed again when it ends.
    """

    GOOD = 0
    FAILED = 1
    STALLED = 2
    SHED = 3


class Observation(NamedTuple):
    """One observation of a dispatch to one server.

    Attributes
    ----------
    server_id : str
    signal : HealthSignal
    slowness : float
        Time of the request relative to the usual time of its route; 0 if
        the time is not evidence.
    elapsed_s : float
        Seconds from the dispatch of the request to this observation; in a
        message, to the time at which it was sent.
    """

    server_id: str
    signal: HealthSignal
    slowness: float
    elapsed_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class PendingObservation(NamedTuple):
    """An observation that is not sent to peers yet.

    Attributes
    ----------
    observation : Observation
    observed_s : float
        Monotonic time at which it was made or received.
    origin : str
        Name of the instance that sent it; empty if it is of this instance.
    """

    observation: Observation
    observed_s: float
    origin: str = ''

    def to_send(self, now: float) -> Observation:
        """Return the observation with the time that it has waited."""
        waited_s = now - self.observed_s
        return self.observation._replace(
            elapsed_s=self.observation.elapsed_s + waited_s
        )


# Likelihood of each signal at a failing and at a healthy server.
LIKELIHOODS = {
    HealthSignal.GOOD: (1 - FAILING_FAILURE_SHARE, 1 - HEALTHY_FAILURE_SHARE),
    HealthSignal.FAILED: (FAILING_FAILURE_SHARE, HEALTHY_FAILURE_SHARE),
    HealthSignal.STALLED: (FAILING_STALL_SHARE, HEALTHY_STALL_SHARE),
}


class Shift(NamedTuple):
    """How much one observation changed the estimates for a server.

    Attributes
    ----------
    failure_probability : float
        Absolute change of the failure probability.
    slowness : float
        Absolute change of the slowness.
    """

    failure_probability: float
    slowness: float


class HealthEstimate:
    """Failure probability and slowness of one server.

    A forward filter of the two-state model: over time the probability returns
    to its stationary value, and each signal except ``SHED`` updates it by
    Bayes' rule.

    Attributes
    ----------
    failure_probability : float
        Failure probability at ``updated_s``.
    updated_s : float
        Monotonic time of the last update.
    slowness : float
        Moving average of observed over usual time; 1.0 is normal.
    """

    def __init__(self, *, now: float):
        self.failure_probability = PRIOR_FAILURE_PROBABILITY
        self.updated_s = now
        self.slowness = 1.0

    def advance(self, now: float) -> None:
        """Decay the estimates towards their usual values up to ``now``.

        A time before the last update changes nothing.
        """
        elapsed = max(0.0, now - self.updated_s)
        self.updated_s = max(now, self.updated_s)
        kept = math.exp(-(FAILURE_RATE_PER_S + RECOVERY_RATE_PER_S) * elapsed)
        self.failure_probability = (
            PRIOR_FAILURE_PROBABILITY
            + (self.failure_probability - PRIOR_FAILURE_PROBABILITY) * kept
        )
        slow_kept = math.exp(-elapsed / SLOWNESS_DECAY_S)
        self.slowness = 1.0 + (self.slowness - 1.0) * slow_kept

    def record(self, observation: Observation, now: float) -> Shift:
        """Update the estimates with one observation.

        Returns the change due to the observation alone, without the decay
        since the last update.
        """
        self.advance(now)
        before = self.failure_probability, self.slowness
        likelihood = LIKELIHOODS.get(observation.signal)
        if likelihood is not None:
            failing = self.failure_probability * likelihood[0]
            healthy = (1 - self.failure_probability) * likelihood[1]
            self.failure_probability = failing / (failing + healthy)
        if observation.slowness > 0:
            observed = min(observation.slowness, MAX_SLOWNESS)
            self.slowness += SLOWNESS_WEIGHT * (observed - self.slowness)
        return Shift(
            abs(self.failure_probability - before[0]),
            abs(self.slowness - before[1]),
        )

    def failure_share(self, now: float) -> float:
        """Return the expected share of requests that fail at the server.

        It has a lower bound, since failure probabilities below
        ``MIN_FAILURE_PROBABILITY`` count as that value.
        """
        self.advance(now)
        failing = max(self.failure_probability, MIN_FAILURE_PROBABILITY)
        return (
            failing * FAILING_FAILURE_SHARE
            + (1 - failing) * HEALTHY_FAILURE_SHARE
        )

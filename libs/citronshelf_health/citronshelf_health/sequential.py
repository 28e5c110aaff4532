"""Sequential test of one server against the rest of its pool."""

import math

from citronshelf_health import policy as policies

# The limit on the rise of a score counts at most this much elapsed time.
MAX_RISE_INTERVAL_S = 0.5
MAX_REFERENCE_RATE = 0.98


def log_likelihood_ratios(
    requests: float,
    bad: float,
    reference_rate: float,
    alternatives: tuple[float, ...],
) -> list[float]:
    """Return the increment of the score of each alternative.

    Parameters
    ----------
    requests, bad : float
        Number of requests, and of bad ones among them.
    reference_rate : float
        Rate of bad requests in the rest of the pool.
    alternatives : tuple of float
        Under the alternative s the server's rate of bad requests is
        ``reference_rate + s * (1 - reference_rate)``: the fault turns a
        fraction s of the requests bad that would have been good.

    Returns
    -------
    list of float
        The log-likelihood ratio of each alternative to the reference.
    """
    base_rate = min(reference_rate, MAX_REFERENCE_RATE)
    good = requests - bad
    increments = []
    for share in alternatives:
        faulty_rate = base_rate + share * (1.0 - base_rate)
        increment = good * math.log1p(-share)
        if bad > 0:
            increment += bad * math.log(faulty_rate / base_rate)
        increments.append(increment)
    return increments


class SequentialTest:
    """CUSUM test of several alternative hypotheses in parallel.

    Attributes
    ----------
    updated_at : float
        Time of the last update, in s.
    scores : list of float
        One for each alternative, never negative.
    """

    __slots__ = ('updated_at', 'scores')

    def __init__(self, updated_at: float, alternative_count: int):
        self.updated_at = updated_at
        self.scores = [0.0] * alternative_count

    def add(
        self,
        now: float,
        increments: list[float],
        policy: policies.HealthPolicy,
        *,
        max_score: float,
        max_rise_per_s: float = math.inf,
    ) -> None:
        """Decay the scores and add the increments.

        Parameters
        ----------
        now : float
        increments : list of float
            Log-likelihood ratios, one for each alternative.
        policy : HealthPolicy
        max_score : float
            Upper bound of the scores.
        max_rise_per_s : float
            Largest rise of a score per second.
        """
        elapsed = max(0.0, now - self.updated_at)
        decay = 0.5 ** (elapsed / policy.score_half_life_s)
        max_rise = max_rise_per_s * min(elapsed, MAX_RISE_INTERVAL_S)
        self.updated_at = now
        for index, increment in enumerate(increments):
            score = self.scores[index] * decay + min(increment, max_rise)
            self.scores[index] = max(0.0, score)
        # Lowering all scores equally keeps their order.
        excess = max(self.scores) - max_score
        if excess > 0:
            self.scores = [max(0.0, score - excess) for score in self.scores]

    def score_at(self, now: float, policy: policies.HealthPolicy) -> float:
        """Return the highest score, decayed to the given time."""
        elapsed = max(0.0, now - self.updated_at)
        return max(self.scores) * 0.5 ** (elapsed / policy.score_half_life_s)

    def likeliest_alternative(self) -> int:
        """Return the index of the alternative with the highest score."""
        return self.scores.index(max(self.scores))

    def is_zero(self) -> bool:
        """Return whether the scores of all alternatives are zero."""
        return not any(self.scores)

"""Detection parameters that the document cannot set."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthPolicy:
    """Parameters of the tests, of the hold time and of readmission.

    Attributes
    ----------
    alternatives : tuple of float
        Fractions of otherwise good requests that a faulty server turns bad,
        on top of the bad rate of its pool; each is the alternative
        hypothesis of one sequential test. Ascending.
    error_threshold, slow_threshold, unreachable_threshold : float
        Log-likelihood ratio at which a server is suspected. A threshold h
        causes at most about one false alarm in exp(h) requests.
    probation_factor : float
        Factor on the thresholds while a server ramps up after an ejection;
        below 1, because such a server is more likely to be faulty.
    max_score_factor : float
        Scores are capped at this multiple of the threshold, so that a
        server that the floor keeps in service is cleared soon after it
        recovers.
    score_half_life_s : float
        Half-life of the scores without new evidence.
    max_slow_rise_per_s : float
        Largest rise of a slowness score per second. Slow responses come in
        bursts (one long request delays those queued behind it), but the
        test assumes that they are independent; a single burst must not
        exceed the threshold.
    long_half_life_s, short_half_life_s : float
        Half-lives of the two windows used for reference rates.
    error_prior, slow_prior, unreachable_prior : float
        Rates of bad requests assumed for a healthy pool until there is
        evidence. They are also lower bounds of the reference rates.
    prior_requests : float
        Weight of the prior, in requests.
    min_reference_requests : float
        Decayed request count below which the rest of the pool cannot serve
        as a reference, so that a server is not tested.
    initial_hold_s, max_hold_s : float
        Shortest and longest time that a server stays ejected.
    hold_half_life_s : float
        Half-life of the last hold time while the server is admitted.
    ramp_weights : tuple of float
        Weights of the levels of the ramp after an ejection, ascending.
    required_good_responses : int
        Good responses needed to leave the first level of the ramp; each
        further level needs twice as many as the one before.
    min_ramp_level_s : float
        Shortest time on each level.
    required_good_probes : int
        Consecutive successful health probes before the ramp starts for a
        server of a pool without idempotent work.
    warm_up_s, initial_weight : float
        The weight of a new server rises from `initial_weight` to 1 within
        `warm_up_s`. Its slow responses are ignored during that time.
    departed_retention_s : float
        Time for which servers that are no longer listed by the platform, and
        their hold times, are remembered.
    """

    alternatives: tuple[float, ...] = (0.05, 0.2, 0.6, 0.85)
    error_threshold: float = 12.0
    slow_threshold: float = 22.0
    unreachable_threshold: float = 12.0
    probation_factor: float = 0.5
    max_score_factor: float = 1.5
    score_half_life_s: float = 60.0
    max_slow_rise_per_s: float = 10.0
    long_half_life_s: float = 30.0
    short_half_life_s: float = 2.0
    error_prior: float = 0.005
    slow_prior: float = 0.05
    unreachable_prior: float = 0.005
    prior_requests: float = 40.0
    min_reference_requests: float = 5.0
    initial_hold_s: float = 5.0
    max_hold_s: float = 300.0
    hold_half_life_s: float = 300.0
    ramp_weights: tuple[float, ...] = (0.05, 0.1, 0.2, 0.4, 0.7)
    required_good_responses: int = 3
    min_ramp_level_s: float = 1.0
    required_good_probes: int = 3
    warm_up_s: float = 20.0
    initial_weight: float = 0.1
    departed_retention_s: float = 600.0

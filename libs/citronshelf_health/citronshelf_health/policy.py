"""Figures of the detection that no document key governs."""

import dataclasses


@dataclasses.dataclass(frozen=True, kw_only=True)
class HealthPolicy:
    """Constants of the tests, the hold time and the return.

    Attributes
    ----------
    alternatives : tuple of float
        Shares of requests that a faulty server spoils in addition to the
        rate of its pool; one sequential test runs for each. Ascending.
    error_threshold, slow_threshold, reach_threshold : float
        Log-likelihood ratio at which a server is suspected. A threshold h
        gives one false alarm in about exp(h) requests or fewer.
    probation_factor : float
        Thresholds are multiplied by it while a server is on probation,
        because a server that was ejected is more likely to be faulty.
    score_limit : float
        Scores stop rising at this multiple of the threshold, so that a
        server that the floor keeps is cleared soon after it recovers.
    score_half_life_s : float
        Scores lose half their value in this time without evidence.
    slow_rise_per_s : float
        Largest rise of a slowness score per second. Slow answers come in
        bursts (one long request delays those queued behind it), while the
        test assumes independent ones; a burst alone must not suffice.
    long_half_life_s, short_half_life_s : float
        Memory of the two windows from which reference rates are taken.
    error_prior, slow_prior, reach_prior : float
        Rates of a healthy pool, assumed until there is evidence. They are
        also the lowest reference rates.
    prior_requests : float
        Requests that the prior is worth.
    least_rest : float
        Decayed count of requests below which the rest of the pool is no
        reference and nothing is concluded.
    hold_s, longest_hold_s : float
        First and longest time that an ejected server stays out.
    hold_half_life_s : float
        The remembered hold time halves in this time of good service.
    ramp : tuple of float
        Weights of a server on probation, ascending.
    ramp_good : int
        Good responses before the first rise of the weight; each further
        level needs twice as many.
    ramp_level_s : float
        Shortest time on each level.
    probes_needed : int
        Good health probes in a row before a server of a pool without
        idempotent work is tried again.
    cold_s, cold_weight : float
        A new server's weight rises from `cold_weight` to 1 in `cold_s`.
        Slowness is not held against it in that time.
    departed_memory_s : float
        Hold times of servers that left the list are kept this long.
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

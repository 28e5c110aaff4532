"""Time that an ejected server stays out."""

from citronshelf_health import policy as policies


def next_hold_s(
    previous_s: float, healthy_s: float, policy: policies.HealthPolicy
) -> float:
    """Return the hold time of a new ejection.

    Parameters
    ----------
    previous_s : float
        Hold time of the last ejection; 0 when there was none.
    healthy_s : float
        Time that the server was admitted since then.
    policy : HealthPolicy

    Returns
    -------
    float
        Twice what is left of the previous time after slow decay, within the
        bounds of the policy. A flapping server therefore returns more slowly
        each time, and a single false ejection is forgotten.
    """
    decayed_s = previous_s * 0.5 ** (healthy_s / policy.hold_half_life_s)
    return min(policy.max_hold_s, max(policy.initial_hold_s, 2.0 * decayed_s))

"""Hold time of ejected servers."""

from citronshelf_health import policy as policies


def next_hold_s(
    previous_s: float, healthy_s: float, policy: policies.HealthPolicy
) -> float:
    """Return the hold time of a new ejection, in s.

    Parameters
    ----------
    previous_s : float
        Hold time of the previous ejection; 0 if there was none.
    healthy_s : float
        Time for which the server has been admitted since that ejection.
    policy : HealthPolicy

    Returns
    -------
    float
        Twice the previous hold time after exponential decay, within the
        bounds of the policy. A flapping server is therefore held longer each
        time, while the effect of a single false ejection decays.
    """
    decayed_s = previous_s * 0.5 ** (healthy_s / policy.hold_half_life_s)
    return min(policy.max_hold_s, max(policy.initial_hold_s, 2.0 * decayed_s))

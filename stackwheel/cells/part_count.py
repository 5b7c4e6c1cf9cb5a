"""Computes the number of parts of a service for which hashing is unlikely to overfill any part."""

from __future__ import annotations

import math

from stackwheel.cells.plan import MAX_PARTS

OVERFLOW_RISK = 0.001
"""Maximum probability that any part of a divided service exceeds the server limit of a cell."""


def parts_needed(servers: int, limit: int) -> int:
    """Return the smallest number of parts for which the probability of an oversized part is within `OVERFLOW_RISK`.

    The size of each part is distributed as Binomial(servers, p = 1/parts). By the Chernoff bound, the probability of
    at least a = (limit + 1)/servers of the servers is at most exp(-servers * D(a||p)), where D is the relative
    entropy. The union bound over all parts multiplies it by `parts`.

    Returns:
        The number of parts, or MAX_PARTS + 1 if MAX_PARTS are not enough.
    """
    if servers <= limit:
        return 1
    for parts in range(-(-servers // limit), MAX_PARTS + 1):
        if parts * _chernoff_bound(servers, limit + 1, 1 / parts) <= OVERFLOW_RISK:
            return parts
    return MAX_PARTS + 1


def _chernoff_bound(trials: int, successes: int, probability: float) -> float:
    """Return an upper bound on the probability of at least `successes` in `trials` independent trials.

    Args:
        trials: number of trials.
        successes: number of successful trials.
        probability: probability of success of one trial.
    """
    share = successes / trials
    if share <= probability:
        return 1.0
    entropy = share * math.log(share / probability)
    if share < 1.0:
        entropy += (1.0 - share) * math.log((1.0 - share) / (1.0 - probability))
    return math.exp(-trials * entropy)

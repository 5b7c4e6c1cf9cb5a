"""How many parts a service needs so that hashing is unlikely to put too many servers into any of them."""

from __future__ import annotations

import math

from stackwheel.cells.plan import MAX_PARTS

OVERFLOW_RISK = 0.001  # a service and region; at 300 that are cut, every third plan has a part to grow on the next one


def parts_needed(servers: int, limit: int) -> int:
    """The least number of parts, none of which is over the limit but with a chance of OVERFLOW_RISK.

    Source: Chernoff's bound. A part of `parts` holds Binomial(servers, p = 1/parts) servers, and the chance of
    a = (limit + 1)/servers or more is at most exp(-servers * D(a||p)), D being the relative entropy; times `parts`.

    Returns:
        The number of parts, MAX_PARTS + 1 where even MAX_PARTS are too few.
    """
    if servers <= limit:
        return 1
    for parts in range(-(-servers // limit), MAX_PARTS + 1):
        if parts * _tail_bound(servers, limit + 1, 1 / parts) <= OVERFLOW_RISK:
            return parts
    return MAX_PARTS + 1


def _tail_bound(draws: int, successes: int, chance: float) -> float:
    """A bound on the chance that at least `successes` of `draws` draws, each with `chance`, succeed."""
    share = successes / draws
    if share <= chance:
        return 1.0
    entropy = share * math.log(share / chance)
    if share < 1.0:
        entropy += (1.0 - share) * math.log((1.0 - share) / (1.0 - chance))
    return math.exp(-draws * entropy)

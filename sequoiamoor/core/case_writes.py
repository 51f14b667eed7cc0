"""Times at which routers write the cases of prompt parts to the store.

The end of a replica opens cases for the parts of all requests that it had begun to
answer, at all routers that sent them. Most are cleared within seconds, and routers tell
each other of every case at once, so the store need not have each of them.
"""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from ..types import RouterId
from .part_cases import PartCase, PartKey
from .rendezvous import rank_positions

WATCHED_SECONDS = 2.0
"""Time after which a router writes its case of a part that is not in quarantine."""

UNSTORED_SECONDS = 5.0
"""Time after which a router writes a case that it heard of and that the store still
lacks: the router that opened it may have ended."""


def find_own_delay(
    case: PartCase, stored: PartCase | None, *, is_large_fleet: bool
) -> float:
    """Returns the seconds after which a router writes a case that it changed.

    Args:
        case: The case.
        stored: The case as it is in the store; None if it is not there.
        is_large_fleet: Whether routers rely on few that follow the store.
    """
    is_urgent = case.is_quarantined or (stored is not None and stored.is_quarantined)
    return WATCHED_SECONDS if is_large_fleet and not is_urgent else 0.0


def draw_takeover_delay(
    key: PartKey, own: RouterId, others: Collection[RouterId], rng: Random
) -> float:
    """Returns the seconds after which a router writes a case that it heard of.

    The routers follow each other in an order of the part, so that few write the same
    row while it is not known to all that it is stored.

    Args:
        key: Part of the case.
        own: This router.
        others: The other routers if they are many, else none.
        rng: Source of random delays.
    """
    text = f"{key.service}/{key.part_id}"
    place = rank_positions(text, (*sorted(others), own))[own]
    return UNSTORED_SECONDS * (place + rng.uniform(1.0, 2.0))


def must_write(case: PartCase | None, stored: PartCase | None) -> bool:
    """Returns whether the store has to learn of a case.

    Args:
        case: The case; None if it is not kept any more.
        stored: The case as it is in the store; None if it is not there.
    """
    if case is None:
        return False
    return not case.is_cleared if stored is None else stored.state != case.state

"""Typed actions that controllers return and the daemon carries out."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..errors import RefusalError
from ..types import ReplicaId, RouterId


@dataclass(frozen=True, slots=True)
class Start:
    """Start an attempt of a waiting request at a replica."""

    call_id: str
    replica_id: ReplicaId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a waiting request."""

    call_id: str
    error: RefusalError


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to a peer; an urgent one does not wait for the interval."""

    router_id: RouterId
    is_urgent: bool = False


@dataclass(frozen=True, slots=True)
class GrantRow:
    """Slots of one replica granted to one router.

    Attributes:
        replica_id: Replica that the slots belong to.
        epoch: Epoch of the arbiter.
        granted: Slots granted in this epoch so far; it only grows.
        recalled: Slots asked back in this epoch so far; it only grows.
    """

    replica_id: ReplicaId
    epoch: int
    granted: int
    recalled: int


@dataclass(frozen=True, slots=True)
class SendGrants:
    """Send grant rows to a router."""

    router_id: RouterId
    rows: tuple[GrantRow, ...]


Action: TypeAlias = Start | Refuse | SendReport | SendGrants

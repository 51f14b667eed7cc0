"""Typed actions that controllers return and the daemon executes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias

from ..errors import RefusalError
from ..types import ReplicaId, RouterId
from .messages import Message


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
    """Send a report before the interval ends.

    Attributes:
        router_id: Peer to send the report to; None for all peers.
    """

    router_id: RouterId | None = None


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message.

    Attributes:
        router_id: Peer to send the message to; None for all peers.
        message: The message.
    """

    router_id: RouterId | None
    message: Message


Action: TypeAlias = Start | Refuse | SendReport | Send

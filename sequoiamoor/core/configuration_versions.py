"""Selection of the configuration that is in force on this router."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from ..declaration import Declaration, parse_declaration
from ..errors import SettingsError
from ..types import CallRequest, RouterId
from ..usable_entries import parse_usable_entries
from .blackboard import Blackboard, ConfigurationState


class OfferResult(enum.StrEnum):
    """Result of offering a configuration to a router."""

    ADOPTED = "adopted"
    ADOPTED_IN_PART = "adopted in part"
    NOT_NEWER = "not newer"
    REFUSED = "refused"


@dataclass(slots=True)
class ConfigurationVersions:
    """Adopts newer configurations and selects the peer to request one from.

    Attributes:
        state: Configuration in force.
        retry_after: Seconds after which the next peer is asked.
        refused: Versions above the one in force whose documents are invalid.
        refused_reason: Error of the last document that was refused as a whole or in
            part.
    """

    state: ConfigurationState
    retry_after: float = 1.0
    refused: set[int] = field(default_factory=set)
    refused_reason: str = ""
    _peer_versions: dict[RouterId, int] = field(default_factory=dict)
    _requested_at: float = float("-inf")
    _asked_peers: set[RouterId] = field(default_factory=set)

    def is_wanted(self, version: int) -> bool:
        """Returns whether the document of a version could be adopted.

        A version below a refused one can be, if it is above the one in force: a
        router that restarts while the newest document is invalid adopts the last
        valid one.
        """
        return version > self.state.version and version not in self.refused

    def offer(self, version: int, value: Any) -> OfferResult:
        """Adopts a value of the table key ``configuration`` if it is newer and valid.

        Of a document that the operators' store has accepted, what is valid is adopted.

        The version of an invalid document is remembered, so that it is reported only
        once. Neither the configuration in force nor later versions are affected.
        """
        if not self.is_wanted(version):
            return OfferResult.NOT_NEWER
        declaration: Declaration | None
        result = OfferResult.ADOPTED
        document = value.get("document") if isinstance(value, dict) else None
        try:
            declaration = parse_declaration(document)
        except SettingsError as err:
            self.refused_reason = f"{type(err).__name__}: {err}"
            result = OfferResult.ADOPTED_IN_PART
            declaration = parse_usable_entries(document)
        if declaration is None:
            self.refused.add(version)
            return OfferResult.REFUSED
        self.state.version = version
        self.state.declaration = declaration
        self.state.document = value
        self.refused = {known for known in self.refused if known > version}
        self._asked_peers.clear()
        self._requested_at = float("-inf")
        return result

    def record_peer_version(self, router_id: RouterId, version: int) -> None:
        """Records the version in force at a peer."""
        self._peer_versions[router_id] = version

    def forget_peer(self, router_id: RouterId) -> None:
        """Forgets the version of a peer that is dead."""
        self._peer_versions.pop(router_id, None)
        self._asked_peers.discard(router_id)

    def choose_source(self, now: float) -> RouterId | None:
        """Returns the peer to request a configuration from now, or None.

        Only one request is in progress at a time. A peer that did not answer within
        ``retry_after`` is asked again only after all others.
        """
        if now - self._requested_at < self.retry_after:
            return None
        newer = {
            router_id: version
            for router_id, version in self._peer_versions.items()
            if self.is_wanted(version)
        }
        if not newer:
            return None
        unasked = newer.keys() - self._asked_peers
        if not unasked:
            self._asked_peers.clear()
            unasked = set(newer)
        source = max(unasked, key=lambda peer: (newer[peer], peer))
        self._asked_peers.add(source)
        self._requested_at = now
        return source


def apply_targets(board: Blackboard) -> None:
    """Updates the deadlines of waiting requests to the class targets in force.

    A request whose class is no longer declared keeps its deadline.
    """
    declaration = board.configuration.declaration
    if declaration is None:
        return
    classes = declaration.classes

    def find_target(request: CallRequest) -> float:
        if request.class_name in classes:
            return classes[request.class_name].target_seconds
        return request.deadline - request.arrival

    board.queues.update_deadlines(find_target)

"""Which configuration is in force on this router."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Any

from ..declaration import parse_declaration
from ..errors import SettingsError
from ..types import CallRequest, RouterId
from .blackboard import Blackboard, ConfigurationState


class Verdict(enum.StrEnum):
    """What became of an offered configuration."""

    ADOPTED = "adopted"
    NOT_NEWER = "not newer"
    REFUSED = "refused"


@dataclass(slots=True)
class Versions:
    """Adopts newer configurations and decides from which peer to request one.

    Attributes:
        retry_after: Seconds after which a request is made to the next peer.
        refused: Versions above the one in force whose documents were invalid.
        refused_reason: What was wrong with the last one.
    """

    state: ConfigurationState
    retry_after: float = 1.0
    refused: set[int] = field(default_factory=set)
    refused_reason: str = ""
    _seen: dict[RouterId, int] = field(default_factory=dict)
    _requested_at: float = float("-inf")
    _asked: set[RouterId] = field(default_factory=set)

    def is_wanted(self, version: int) -> bool:
        """Returns whether the document of a version is of interest.

        A version below a refused one is, if it is above the one in force: a router
        that restarts while the newest document is invalid takes the last valid one.
        """
        return version > self.state.version and version not in self.refused

    def offer(self, version: int, value: Any) -> Verdict:
        """Takes a value of the table key ``configuration``.

        An invalid document is remembered by its version, so that it is reported
        once, and leaves the configuration in force and later versions alone.
        """
        if not self.is_wanted(version):
            return Verdict.NOT_NEWER
        try:
            declaration = parse_declaration(value["document"])
        except (SettingsError, KeyError, TypeError, IndexError) as err:
            self.refused.add(version)
            self.refused_reason = f"{type(err).__name__}: {err}"
            return Verdict.REFUSED
        self.state.version = version
        self.state.declaration = declaration
        self.state.document = value
        self.refused = {one for one in self.refused if one > version}
        self._asked.clear()
        self._requested_at = float("-inf")
        return Verdict.ADOPTED

    def note_peer(self, router_id: RouterId, version: int) -> None:
        """Notes the version in force at a peer."""
        self._seen[router_id] = version

    def forget_peer(self, router_id: RouterId) -> None:
        """Drops what is known of a peer that is dead."""
        self._seen.pop(router_id, None)
        self._asked.discard(router_id)

    def choose_source(self, now: float) -> RouterId | None:
        """Returns the peer to request a configuration from now, if any.

        Only one request is under way at a time; a peer that did not answer within
        ``retry_after`` is asked again only after all others.
        """
        if now - self._requested_at < self.retry_after:
            return None
        newer = {
            router_id: version
            for router_id, version in self._seen.items()
            if self.is_wanted(version)
        }
        if not newer:
            return None
        fresh = newer.keys() - self._asked
        if not fresh:
            self._asked.clear()
            fresh = set(newer)
        source = max(fresh, key=lambda one: (newer[one], one))
        self._asked.add(source)
        self._requested_at = now
        return source


def apply_targets(board: Blackboard) -> None:
    """Applies the class targets in force to the requests that wait.

    A request of a class that is no longer declared keeps its deadline.
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

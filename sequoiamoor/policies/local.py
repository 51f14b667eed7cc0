"""Base class of policies whose routers exchange no state."""

from __future__ import annotations

from collections.abc import Collection

from ..core.actions import Action
from ..core.blackboard import Blackboard
from ..core.messages import CounterRow, Grants, Report, SlotRow, Snapshot
from ..types import CallRequest, RouterId, RouterIdentity


class LocalPolicy:
    """Sends no counters or slots to peers and ignores those that peers send."""

    def build_counters(self, board: Blackboard, now: float) -> tuple[CounterRow, ...]:
        """Returns nothing: each router decides alone."""
        return ()

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        """Returns nothing: no slots are granted."""
        return ()

    def build_snapshot(self, board: Blackboard) -> Snapshot:
        """Returns an empty snapshot."""
        return Snapshot(())

    def apply_report(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> list[Action]:
        """Does nothing: each router decides alone."""
        return []

    def apply_grants(
        self, board: Blackboard, sender: RouterIdentity, grants: Grants, now: float
    ) -> list[Action]:
        """Does nothing: no slots are granted."""
        return []

    def forget_except(self, board: Blackboard, routers: Collection[RouterId]) -> None:
        """Does nothing: no state of peers is kept."""

    def find_wait_limit(self, request: CallRequest) -> float | None:
        """Returns None: the class or route of the request decides."""
        return None

    def record_first_event(
        self, board: Blackboard, request: CallRequest, now: float
    ) -> None:
        """Does nothing: placement does not depend on first events."""

    def merge_snapshot(self, board: Blackboard, snapshot: Snapshot) -> None:
        """Does nothing: each router decides alone."""

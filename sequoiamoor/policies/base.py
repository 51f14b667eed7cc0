"""The interface of dispatch policies and their registry."""

from __future__ import annotations

from collections.abc import Callable, Collection
from random import Random
from typing import Protocol

from ..core.actions import Action, Start
from ..core.blackboard import Blackboard
from ..core.messages import CounterRow, Grants, Report, SlotRow, Snapshot
from ..core.service_metrics import ServiceMetrics
from ..errors import SettingsError
from ..types import CallRequest, ReplicaId, RouterId, RouterIdentity, ServiceName


class Policy(Protocol):
    """Decides which waiting request starts next, and where."""

    def choose_start(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> Start | None:
        """Returns the next request to start and its replica, or None."""

    def finish(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        """Records that an attempt ended and its slot is free."""

    def find_wait_limit(self, request: CallRequest) -> float | None:
        """Returns how many seconds a request may wait and still meet its target.

        None means that the class or route of the request decides.
        """

    def record_first_event(
        self, board: Blackboard, request: CallRequest, now: float
    ) -> None:
        """Records that the first event of a stream arrived."""

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Runs the periodic work of the policy and returns the resulting actions."""

    def measure(self, board: Blackboard, now: float) -> list[ServiceMetrics]:
        """Returns the fairness gap and utilisation of each service."""

    def build_counters(self, board: Blackboard, now: float) -> tuple[CounterRow, ...]:
        """Returns this router's counters for a report."""

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        """Returns the slots that this router holds at each replica."""

    def build_snapshot(self, board: Blackboard) -> Snapshot:
        """Returns all counters that this router knows."""

    def apply_report(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> list[Action]:
        """Applies a report from a peer."""

    def apply_grants(
        self, board: Blackboard, sender: RouterIdentity, grants: Grants, now: float
    ) -> list[Action]:
        """Applies grants of slots that an arbiter sent to this router."""

    def forget_except(self, board: Blackboard, routers: Collection[RouterId]) -> None:
        """Drops the state of all routers except those that the membership keeps."""

    def merge_snapshot(self, board: Blackboard, snapshot: Snapshot) -> None:
        """Merges the counters that a peer knows into the ledger."""


def create_policy(name: str, *, rng: Random) -> Policy:
    """Returns the policy with the given name.

    Raises:
        SettingsError: If there is no such policy.
    """
    from .arbitrated import ArbitratedPolicy
    from .least_load import LeastLoadPolicy
    from .local_fair import LocalFairPolicy
    from .round_robin import RoundRobinPolicy
    from .shared_load import SharedLoadPolicy

    factories: dict[str, Callable[..., Policy]] = {
        "arbitrated": ArbitratedPolicy,
        "local-fair": LocalFairPolicy,
        "least-load": LeastLoadPolicy,
        "round-robin": RoundRobinPolicy,
        "shared-load": SharedLoadPolicy,
    }
    if name not in factories:
        raise SettingsError(
            f"policy {name!r} is unknown; use one of {', '.join(sorted(factories))}"
        )
    return factories[name](rng=rng)

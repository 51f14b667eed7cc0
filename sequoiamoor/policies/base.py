"""The interface of dispatch policies and their registry."""

from __future__ import annotations

from random import Random
from typing import Protocol

from ..core.actions import Action, Start
from ..core.blackboard import Blackboard
from ..errors import SettingsError
from ..types import CallRequest, ReplicaId, ServiceName


class Policy(Protocol):
    """Decides which waiting request starts next, and where."""

    def choose_start(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> Start | None:
        """Returns the next start for the service, or None if nothing may start."""

    def finish(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        """Takes note that an attempt ended and its slot is free."""

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Does the periodic work of the policy."""


def create_policy(name: str, *, rng: Random) -> Policy:
    """Returns the policy with the given name.

    Raises:
        SettingsError: If there is no such policy.
    """
    from .least_load import LeastLoadPolicy
    from .round_robin import RoundRobinPolicy

    factories = {
        "arbitrated": LeastLoadPolicy,
        "local-fair": LeastLoadPolicy,
        "least-load": LeastLoadPolicy,
        "round-robin": RoundRobinPolicy,
    }
    if name not in factories:
        raise SettingsError(
            f"policy {name!r} is unknown; use one of {', '.join(sorted(factories))}"
        )
    return factories[name](rng=rng)

"""Round-robin policy: earliest deadline first, no window, no exchange with peers."""

from __future__ import annotations

from random import Random

from ..core.actions import Action, Start
from ..core.blackboard import Blackboard
from ..core.charges import ElapsedCharges
from ..core.service_metrics import ServiceMetrics, build_service_metrics
from ..core.upstreams import Replica
from ..types import CallRequest, ReplicaId, ServiceName
from .local import LocalPolicy


class RoundRobinPolicy(LocalPolicy):
    """Starts each request at once at the next replica in turn.

    The request with the earliest deadline goes first. The window of a replica does
    not limit its requests.
    """

    def __init__(self, *, rng: Random) -> None:
        self._rng = rng
        self._turns: dict[ServiceName, int] = {}
        self._charges = ElapsedCharges()

    def choose_start(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> Start | None:
        """Returns the next start, or None without waiting work or a replica."""
        waiting = [
            request
            for name in board.queues.organisations(service)
            if (request := board.queues.peek(service, name)) is not None
        ]
        for request in sorted(waiting, key=lambda candidate: candidate.deadline):
            replicas = [
                replica
                for replica in board.upstreams.available(service, now)
                if request.may_use(replica.replica_id, now)
            ]
            if replicas:
                chosen = self._choose_replica(service, replicas)
                self._charges.start(board, request, now)
                return Start(request.call_id, chosen.replica_id)
        return None

    def _choose_replica(self, service: ServiceName, replicas: list[Replica]) -> Replica:
        turn = self._turns.get(service, self._rng.randrange(1 << 16))
        self._turns[service] = turn + 1
        return replicas[turn % len(replicas)]

    def finish(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        """Charges the time that a plain service took; there are no slots to free."""
        self._charges.finish(board, request, now)
        return []

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Charges the requests that run at plain services."""
        self._charges.charge_all(board, now)
        return []

    def measure(self, board: Blackboard, now: float) -> list[ServiceMetrics]:
        """Returns the fairness gap and utilisation of each service.

        They cover the waiting requests and ledger totals of this router only.
        """
        figures = []
        for service in sorted(board.upstreams.services()):
            names = board.queues.organisations(service)
            loads = [
                replica.load for replica in board.upstreams.list_by_service(service)
            ]
            known = [load for load in loads if load is not None]
            figures.append(
                build_service_metrics(
                    service,
                    backlogged_totals=[
                        board.ledger.total(service, name) for name in names
                    ],
                    capacity=sum(load.token_rate for load in known),
                    running=sum(load.running for load in known),
                    waiting=sum(board.queues.count(service, name) for name in names),
                    slots=sum(load.slots for load in known),
                )
            )
        return figures

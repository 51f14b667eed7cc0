"""Pages for operators: health, readiness, metrics, status."""

from __future__ import annotations

import json
import time

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..core.blackboard import Blackboard
from ..metrics import Metrics
from ..net.http import ServerConnection


class Pages:
    """Answers the requests of operators and of the platform's load balancer."""

    def __init__(self, board: Blackboard, metrics: Metrics) -> None:
        self._board = board
        self._metrics = metrics
        self._pages = {
            "/healthz": self._send_health,
            "/readyz": self._send_readiness,
            "/metrics": self._send_metrics,
            "/status": self._send_status,
        }

    def __contains__(self, path: object) -> bool:
        return path in self._pages

    async def send(self, connection: ServerConnection, path: str) -> None:
        """Sends the page with the given path."""
        await self._pages[path](connection)

    async def _send_health(self, connection: ServerConnection) -> None:
        await connection.send_response(200, {"content-type": "text/plain"}, b"ok\n")

    async def _send_readiness(self, connection: ServerConnection) -> None:
        if self._board.is_leaving:
            status, text = 503, b"leaving\n"
        elif self._board.configuration.declaration is None:
            status, text = 503, b"no configuration\n"
        else:
            status, text = 200, b"ready\n"
        await connection.send_response(status, {"content-type": "text/plain"}, text)

    async def _send_metrics(self, connection: ServerConnection) -> None:
        self._metrics.waiting.set(len(self._board.queues))
        self._metrics.running.set(len(self._board.running))
        self._metrics.configuration_version.set(self._board.configuration.version)
        body = generate_latest(self._metrics.registry)
        await connection.send_response(200, {"content-type": CONTENT_TYPE_LATEST}, body)

    async def _send_status(self, connection: ServerConnection) -> None:
        board = self._board
        document = {
            "router_id": board.identity.router_id,
            "zone": board.identity.zone,
            "configuration_version": board.configuration.version,
            "upstreams": [
                {
                    "replica": replica.replica_id,
                    "service": replica.service,
                    "zone": replica.zone,
                    "in_use": replica.in_use,
                    "available": replica.is_available(time.monotonic()),
                }
                for replica in board.upstreams.replicas.values()
            ],
        }
        body = json.dumps(document).encode()
        await connection.send_response(200, {"content-type": "application/json"}, body)

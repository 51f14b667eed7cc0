"""Pages for operators: health, readiness, metrics, status."""

from __future__ import annotations

import json
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from ..core.blackboard import Blackboard
from ..core.connection_memory import ConnectionKind
from ..core.held_bytes import HeldKind
from ..metrics import Metrics
from ..net.http_server import ServerConnection
from ..policies import Policy
from .explain_page import EXPLAIN_PATH, build_page
from .records import Records


class Pages:
    """Serves the pages that operators and the platform's load balancer request."""

    def __init__(
        self,
        board: Blackboard,
        metrics: Metrics,
        *,
        records: Records | None = None,
        policy: Policy | None = None,
        count_descriptors: Callable[[], dict[str, int]] = dict,
        is_accepting: Callable[[], bool] = lambda: True,
    ) -> None:
        self._board = board
        self._policy = policy
        self._metrics = metrics
        self._records = records
        self._count_descriptors = count_descriptors
        self._is_accepting = is_accepting
        self._pages = {
            "/healthz": self._send_health,
            "/readyz": self._send_readiness,
            "/metrics": self._send_metrics,
            "/status": self._send_status,
        }

    def __contains__(self, path: object) -> bool:
        return path == EXPLAIN_PATH or path in self._pages

    async def send(
        self, connection: ServerConnection, path: str, query: str = ""
    ) -> None:
        """Sends the page with the given path."""
        if path == EXPLAIN_PATH:
            page = build_page(self._board, self._policy, query, time.monotonic())
            fields = {"content-type": "application/json"}
            await connection.send_response(
                page.status, fields, json.dumps(page.document).encode()
            )
            return
        await self._pages[path](connection)

    async def _send_health(self, connection: ServerConnection) -> None:
        await connection.send_response(200, {"content-type": "text/plain"}, b"ok\n")

    async def _send_readiness(self, connection: ServerConnection) -> None:
        if self._board.is_leaving:
            status, text = 503, b"leaving\n"
        elif self._board.configuration.declaration is None:
            status, text = 503, b"no configuration\n"
        elif not self._is_accepting():
            status, text = 503, b"not accepting\n"
        else:
            status, text = 200, b"ready\n"
        await connection.send_response(status, {"content-type": "text/plain"}, text)

    async def _send_metrics(self, connection: ServerConnection) -> None:
        self._metrics.waiting.set(len(self._board.queues))
        self._metrics.running.set(len(self._board.running))
        self._metrics.configuration_version.set(self._board.configuration.version)
        self._set_upstreams_out(time.monotonic())
        cases = self._board.quarantine.cases.values()
        self._metrics.quarantined_parts.set(sum(case.is_quarantined for case in cases))
        if self._policy is not None:
            for figures in self._policy.measure(self._board, time.monotonic()):
                service = figures.service
                self._metrics.fairness_gap_units.labels(service).set(figures.gap_units)
                self._metrics.fairness_gap_seconds.labels(service).set(
                    figures.gap_seconds
                )
                self._metrics.utilisation.labels(service).set(figures.utilisation)
        for use, count in self._count_descriptors().items():
            self._metrics.descriptors.labels(use).set(count)
        self._set_held_bytes()
        for kind, number in asdict(self._board.choices.counts).items():
            self._metrics.choices.labels(kind).set(number)
        body = generate_latest(self._metrics.registry)
        await connection.send_response(200, {"content-type": CONTENT_TYPE_LATEST}, body)

    def _set_held_bytes(self) -> None:
        account = self._board.held_bytes
        for kind in HeldKind:
            self._metrics.held_bytes.labels(kind).set(account.by_kind[kind])
            self._metrics.held_bytes_refused.labels(kind).set(account.refused[kind])
        memory = self._board.connection_memory
        for part in ConnectionKind:
            self._metrics.held_bytes.labels(part).set(memory.by_kind[part])
            self._metrics.held_bytes_refused.labels(part).set(memory.refused[part])
        self._metrics.held_bytes.labels("connection-limit").set(memory.limit)
        self._metrics.held_bytes.labels("connection-peak").set(memory.peak)
        self._metrics.held_bytes.labels("limit").set(account.limit)
        self._metrics.held_bytes.labels("peak").set(account.peak)

    def _set_upstreams_out(self, now: float) -> None:
        replicas = self._board.upstreams.replicas.values()
        leaving = sum(replica.is_leaving for replica in replicas)
        turned_away = sum(
            not replica.is_leaving
            and not replica.is_evacuated
            and not replica.may_receive(now)
            for replica in replicas
        )
        self._metrics.upstreams_out.labels("leaving").set(leaving)
        evacuated = sum(
            replica.is_evacuated and not replica.is_leaving for replica in replicas
        )
        self._metrics.upstreams_out.labels("turned-away").set(turned_away)
        self._metrics.upstreams_out.labels("evacuated").set(evacuated)

    async def _send_status(self, connection: ServerConnection) -> None:
        document = build_status(
            self._board,
            is_table_available=self._records is None or self._records.is_available,
            unwritten_records=0
            if self._records is None
            else self._records.unfinished_writes,
            now=time.monotonic(),
        )
        body = json.dumps(document).encode()
        await connection.send_response(200, {"content-type": "application/json"}, body)


def build_status(
    board: Blackboard, *, is_table_available: bool, unwritten_records: int, now: float
) -> dict[str, Any]:
    """Returns the status page as a JSON document.

    Its members are single values, the object ``store`` and lists of rows.

    Args:
        board: State of the router.
        is_table_available: Whether the last claim of a record got an answer in time.
        unwritten_records: Number of records still to be written in the background.
        now: Monotonic time in seconds.
    """
    return {
        "router_id": board.identity.router_id,
        "zone": board.identity.zone,
        "leaving": board.is_leaving,
        "configuration_version": board.configuration.version,
        "store": {
            "available": is_table_available,
            "unwritten_records": unwritten_records,
        },
        "members": _list_members(board),
        "tree": _list_neighbours(board),
        "upstreams": _list_upstreams(board, now),
        "organisations": _list_organisations(board),
        "prompt_parts": _list_cases(board, now),
    }


def _list_members(board: Blackboard) -> list[dict[str, Any]]:
    own = board.identity
    rows = [
        {
            "router_id": identity.router_id,
            "incarnation": identity.incarnation,
            "zone": identity.zone,
            "state": "leaving" if identity == own and board.is_leaving else "live",
        }
        for identity in (own, *board.members.values())
    ]
    return sorted(rows, key=lambda row: str(row["router_id"]))


def _list_neighbours(board: Blackboard) -> list[dict[str, Any]]:
    place = board.place
    if place is None:
        return []
    return [
        {
            "router_id": neighbour.router_id,
            "zone": neighbour.zone,
            "role": "parent" if neighbour == place.parent else "child",
        }
        for neighbour in place.neighbours()
    ]


def _list_upstreams(board: Blackboard, now: float) -> list[dict[str, Any]]:
    return [
        {
            "replica": replica.replica_id,
            "service": replica.service,
            "zone": replica.zone,
            "available": replica.is_available(now),
            "leaving": replica.is_leaving,
            "turned_away_s": replica.stated.find_hold(now),
            "in_use": replica.in_use,
            "slots": replica.load.slots if replica.load else None,
            "running": replica.load.running if replica.load else None,
            "failures": replica.failures,
        }
        for replica in sorted(
            board.upstreams.replicas.values(),
            key=lambda upstream: (upstream.service, upstream.replica_id),
        )
    ]


def _list_cases(board: Blackboard, now: float) -> list[dict[str, Any]]:
    """Returns the suspected prompt parts, those in quarantine first."""
    cases = [case for case in board.quarantine.cases.values() if not case.is_cleared]
    return [
        {
            "service": case.key.service,
            "part": case.key.part_id,
            "quarantined": case.is_quarantined,
            "since_ms": case.since_ms or None,
            "organisations": ",".join(
                sorted({crash.organisation for crash in case.crashes})
            ),
            "ended": ",".join(sorted({crash.process for crash in case.crashes})),
            "probes": case.probes,
            "next_probe_s": max(case.probe_at - now, 0.0)
            if case.is_quarantined
            else None,
        }
        for case in sorted(cases, key=lambda case: (not case.is_quarantined, case.key))
    ]


def _list_organisations(board: Blackboard) -> list[dict[str, Any]]:
    declaration = board.configuration.declaration
    if declaration is None:
        return []
    running = Counter(
        (call.service, call.organisation) for call in board.running.values()
    )
    rows = [
        {
            "organisation": organisation,
            "service": service,
            "waiting": board.queues.count(service, organisation),
            "running": running[service, organisation],
            "served": round(board.ledger.served(service, organisation), 1),
            "total": round(board.ledger.total(service, organisation), 1),
        }
        for organisation in sorted(declaration.organisations)
        for service in sorted(declaration.services)
    ]
    return [row for row in rows if row["waiting"] or row["running"] or row["served"]]

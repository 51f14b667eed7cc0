"""A small stand-in of the platform's store, written from its published protocol."""

from __future__ import annotations

import base64
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

import curio

from sequoiamoor.net.http import Request
from sequoiamoor.net.http_server import ServerConnection
from sequoiamoor.types import Address


@dataclass
class StandInStore:
    """Rows with one counter of versions, conditional writes and a feed.

    Attributes:
        status: Answers every call with this status if it is set.
        is_silent: Whether calls get no answer.
        silent_tables: Tables whose calls get no answer.
        refused_tables: Tables whose calls are refused.
        hanging: Calls that came and get no answer.
        loses_answers: Whether calls are done and their connections closed.
        oldest: Version below which the history is gone.
        calls: Paths of the calls that came.
        created_at: Monotonic time at which its clock began.
    """

    rows: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    changes: list[dict[str, Any]] = field(default_factory=list)
    version: int = 100
    status: int | None = None
    is_silent: bool = False
    silent_tables: set[str] = field(default_factory=set)
    refused_tables: set[str] = field(default_factory=set)
    hanging: int = 0
    loses_answers: bool = False
    oldest: int = 0
    page_rows: int = 500
    calls: list[str] = field(default_factory=list)
    address: Address | None = None
    created_at: float = field(default_factory=time.monotonic)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Writes a row as the operators or a replica do."""
        self.version += 1
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "schemaVersion": self.version,
        }
        self.rows[table, key] = row
        self.changes.append(row)

    def drop(self, table: str, key: str) -> None:
        """Removes a row."""
        self.version += 1
        self.rows.pop((table, key), None)
        self.changes.append(
            {"table": table, "key": key, "deleted": True, "schemaVersion": self.version}
        )

    async def listen(self) -> Address:
        """Listens and returns the address."""
        sock = curio.network.tcp_server_socket("127.0.0.1", 0)
        self.address = Address(*sock.getsockname()[:2])
        await curio.spawn(curio.network.run_server, sock, self._serve, daemon=True)
        return self.address

    async def _serve(self, sock: Any, peer: Any) -> None:
        connection = ServerConnection(sock, header_limit=65_536, body_limit=1 << 20)
        try:
            while request := await connection.receive_request(
                idle_timeout=60.0, receive_timeout=60.0
            ):
                self.calls.append(request.path)
                table = parse_qs(request.query).get("table", [""])[0]
                if self.is_silent or table in self.silent_tables:
                    self.hanging += 1
                    await curio.sleep(60.0)
                status, document = self.status or 200, {}
                if table in self.refused_tables:
                    status = 503
                if status == 200:
                    status, document = await self._answer(request)
                if self.loses_answers:
                    return
                body = json.dumps(document).encode()
                await connection.send_response(status, {}, body)
                connection.start_next_cycle()
        except OSError:
            return
        finally:
            await connection.close()

    async def _answer(self, request: Request) -> tuple[int, dict[str, Any]]:
        query = {name: one[0] for name, one in parse_qs(request.query).items()}
        if request.path == "/api/rows-get":
            return self._read(query)
        if request.path == "/api/rows-feed":
            return await self._follow(query)
        return self._write(json.loads(request.body))

    def _stamp(self, **found: Any) -> dict[str, Any]:
        time_ms = 5_000 + (time.monotonic() - self.created_at) * 1000
        return {"schemaVersion": self.version, "currentTimeMs": time_ms, **found}

    def _read(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        keys = sorted(
            key
            for table, key in self.rows
            if table == query["table"] and key >= query.get("source", "")
        )
        page = [self.rows[query["table"], key] for key in keys[: self.page_rows]]
        return 200, self._stamp(rows=page, hasMore=len(keys) > len(page))

    async def _follow(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["after"])
        if after < self.oldest:
            return 410, {}
        end = time.monotonic() + int(query["waitTimeoutMs"]) / 1000
        while True:
            found = self._list_changes(query["table"], after)
            if found or time.monotonic() >= end:
                return 200, self._stamp(rows=found)
            await curio.sleep(0.005)

    def _list_changes(self, table: str, after: int) -> list[dict[str, Any]]:
        newer = itertools.takewhile(
            lambda one: one["schemaVersion"] > after, reversed(self.changes)
        )
        return [one for one in newer if one["table"] == table][::-1]

    def _write(self, document: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for one in document["expectedRevision"]:
            row = self.rows.get((one["table"], one["key"]))
            if (row["schemaVersion"] if row else 0) != one["schemaVersion"]:
                return 412, self._stamp(rows=[row] if row else [])
        for one in document["write"]:
            self.put(one["table"], one["key"], base64.b64decode(one["value"]))
        for one in document["removals"]:
            self.drop(one["table"], one["key"])
        return 200, self._stamp()

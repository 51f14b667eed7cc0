"""Encoding of the messages between routers; ``wire.py`` gives the format."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgpack

from ..core.messages import (
    Configuration,
    ConfigurationRequest,
    CounterRow,
    GrantRow,
    Grants,
    Hello,
    LoadRow,
    Loads,
    Message,
    OriginCounters,
    Report,
    SlotRow,
    Snapshot,
    Sum,
    UpstreamList,
    UpstreamRow,
    UpstreamState,
)
from ..errors import ProtocolError
from .wire import (
    CONFIGURATION,
    CONFIGURATION_REQUEST,
    GRANTS,
    HELLO,
    LOADS,
    MESSAGE_LIMIT_BYTES,
    NAME_LIMIT_CHARACTERS,
    NAMES,
    NAMES_LIMIT,
    PROTOCOL,
    REPORT,
    SNAPSHOT,
    SNAPSHOT_PART_ROWS,
    SUM,
    UPSTREAM_LIST,
    UPSTREAM_STATE,
    CounterKey,
    SumState,
)


def _trim(row: list[Any], keep: int) -> list[Any]:
    while len(row) > keep and not row[-1]:
        row.pop()
    return row


class Encoder:
    """The sending side of one connection."""

    def __init__(self) -> None:
        self._packer = msgpack.Packer()
        self._names: dict[str, int] = {}
        self._new_names: list[str] = []
        self._counters: dict[CounterKey, tuple[int, int]] = {}
        self._slots: dict[str, SlotRow] = {}
        self._loads: dict[str, LoadRow] = {}
        self._sums: dict[tuple[str, int], SumState] = {}

    def encode(self, message: Message) -> list[bytes]:
        """Returns the encoded message, after any messages that it depends on.

        Raises:
            ProtocolError: If the message is too large, or the connection has used
                up its names; the connection must be closed and opened again.
        """
        parts = []
        for body in self._bodies(message):
            if self._new_names:
                names, self._new_names = self._new_names, []
                parts.append(self._packer.pack([NAMES, names]))
            parts.append(self._packer.pack(body))
        for part in parts:
            if len(part) > MESSAGE_LIMIT_BYTES:
                raise ProtocolError(
                    f"a message of {len(part)} bytes is over the limit of "
                    f"{MESSAGE_LIMIT_BYTES}; make the configuration smaller"
                )
        return parts

    def _index(self, name: str) -> int:
        index = self._names.get(name)
        if index is None:
            index = len(self._names)
            if index >= NAMES_LIMIT or len(name) > NAME_LIMIT_CHARACTERS:
                raise ProtocolError(
                    f"{index} names on one connection, the last of {len(name)} "
                    f"characters; at most {NAMES_LIMIT} of at most "
                    f"{NAME_LIMIT_CHARACTERS} are allowed; open a new connection"
                )
            self._names[name] = index
            self._new_names.append(name)
        return index

    def _bodies(self, message: Message) -> Iterator[list[Any]]:
        match message:
            case Report():
                yield self._report(message)
            case Grants(rows, acknowledged, incarnation):
                grants = [self._grant(row) for row in rows]
                yield [GRANTS, grants, acknowledged, incarnation]
            case Loads(rows):
                yield [LOADS, [self._load(row) for row in rows]]
            case UpstreamState(replica_id, incarnation, is_leaving):
                index = self._index(replica_id)
                yield [UPSTREAM_STATE, index, incarnation, int(is_leaving)]
            case ConfigurationRequest(version):
                yield [CONFIGURATION_REQUEST, version]
            case Configuration(version, document):
                yield [CONFIGURATION, version, document]
            case Sum():
                yield self._sum(message)
            case Snapshot(origins):
                yield from self._snapshot(origins)
            case UpstreamList(made_at_ms, upstreams):
                yield [
                    UPSTREAM_LIST,
                    made_at_ms,
                    [self._upstream(r) for r in upstreams],
                ]
            case Hello(identity, version, control):
                place = [control.host, control.port] if control else [None, 0]
                yield [
                    HELLO,
                    PROTOCOL,
                    identity.router_id,
                    identity.incarnation,
                    identity.zone,
                    version,
                    *place,
                ]

    def _report(self, report: Report) -> list[Any]:
        body = [
            REPORT,
            report.sequence,
            report.configuration_version,
            int(report.is_leaving),
            [self._counter(row) for row in report.counters],
            self._slot_rows(report.slots),
        ]
        return _trim(body, 4)

    def _counter(self, row: CounterRow) -> list[Any]:
        key = (row.service, row.organisation)
        served, lift = self._counters.get(key, (0, 0))
        self._counters[key] = (row.served, row.lift)
        deadline = row.deadline_ms
        if deadline is not None and deadline >= 0:
            # Shifted by one, so that a deadline of zero is not left out.
            deadline += 1
        fields = [
            self._index(row.service),
            self._index(row.organisation),
            row.served - served,
            row.waiting,
            row.running,
            deadline,
            row.lift - lift,
        ]
        return _trim(fields, 2)

    def _sum(self, message: Sum) -> list[Any]:
        state = self._sums.get((message.scope, message.part))
        origins = None
        if state is None or message.is_whole or state.origins != message.origins:
            origins = [
                [self._index(one.router_id), one.incarnation, self._index(one.zone)]
                for one in sorted(message.origins, key=lambda one: one.router_id)
            ]
        if state is None or message.is_whole:
            state = SumState(message.origins, {})
            self._sums[message.scope, message.part] = state
        state.origins = message.origins
        rows = []
        for row in message.rows:
            key = (row.service, row.organisation)
            change = row.served - state.served.get(key, 0)
            state.served[key] = row.served
            rows.append([self._index(row.service), self._index(row.organisation)])
            rows[-1].append(change)
        return [
            SUM,
            self._index(message.scope) if message.scope else None,
            message.part,
            message.sequence,
            int(message.is_whole),
            origins,
            rows,
        ]

    def _slot_rows(self, slots: tuple[SlotRow, ...]) -> list[Any]:
        present = {row.replica_id: row for row in slots}
        rows = []
        for replica_id in [one for one in self._slots if one not in present]:
            del self._slots[replica_id]
            rows.append([self._index(replica_id)])
        for replica_id, row in present.items():
            old = self._slots.get(replica_id)
            if row == old:
                continue
            self._slots[replica_id] = row
            rows.append(
                [
                    self._index(replica_id),
                    row.in_use,
                    row.released - (old.released if old else 0),
                    row.epoch - (old.epoch if old else 0),
                    row.base - (old.base if old else 0),
                    row.prompt_tokens,
                    row.window,
                ]
            )
            _trim(rows[-1], 2)
        return rows

    def _grant(self, row: GrantRow) -> list[Any]:
        fields = [self._index(row.replica_id), row.epoch, row.granted, row.recalled]
        return _trim(fields, 1)

    def _load(self, row: LoadRow) -> list[Any]:
        old = self._loads.get(row.replica_id)
        index = self._index(row.replica_id)
        if row == old:
            return [index]
        self._loads[row.replica_id] = row
        fields = [
            index,
            row.incarnation - (old.incarnation if old else 0),
            row.slots,
            row.running,
            row.queued,
            row.token_rate,
            int(row.is_leaving),
        ]
        return _trim(fields, 2)

    def _upstream(self, row: UpstreamRow) -> list[Any]:
        return [
            self._index(row.replica_id),
            self._index(row.service),
            self._index(row.zone),
            self._index(row.address.host),
            row.address.port,
            int(row.is_leaving),
        ]

    def _snapshot(self, origins: tuple[OriginCounters, ...]) -> Iterator[list[Any]]:
        parts = [
            (one.origin, one.counters[start : start + SNAPSHOT_PART_ROWS])
            for one in origins
            for start in range(0, max(1, len(one.counters)), SNAPSHOT_PART_ROWS)
        ]
        for number, (identity, counters) in enumerate(parts, start=1):
            yield [
                SNAPSHOT,
                int(number == len(parts)),
                self._index(identity.router_id),
                identity.incarnation,
                self._index(identity.zone),
                [self._snapshot_row(row) for row in counters],
            ]

    def _snapshot_row(self, row: CounterRow) -> list[Any]:
        return [
            self._index(row.service),
            self._index(row.organisation),
            row.served,
            row.lift,
            row.waiting,
            row.running,
            row.deadline_ms,
        ]

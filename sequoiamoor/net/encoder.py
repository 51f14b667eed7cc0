"""Encoding of the messages between routers; ``wire.py`` specifies the format."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import msgpack

from ..core.messages import (
    ColdReplicas,
    ColdRow,
    Configuration,
    ConfigurationRequest,
    Confirmation,
    CounterRow,
    EvacuationRow,
    Evacuations,
    FeedStatus,
    GrantRow,
    Grants,
    Hello,
    LoadRow,
    Loads,
    Message,
    OriginCounters,
    PartCaseRow,
    PartCases,
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
    COLD_REPLICAS,
    CONFIGURATION,
    CONFIGURATION_REQUEST,
    CONFIRMATION,
    EVACUATIONS,
    FEED_STATUS,
    FEED_STATUS_NAME,
    GRANTS,
    HELLO,
    LOADS,
    MESSAGE_LIMIT_BYTES,
    NAME_LIMIT_CHARACTERS,
    NAMES,
    NAMES_LIMIT,
    PART_CASES,
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


def _drop_trailing_defaults(row: list[Any], required: int) -> list[Any]:
    """Removes trailing fields that are zero, nil or empty, in place.

    Args:
        row: The fields.
        required: Number of leading fields that are always kept.
    """
    while len(row) > required and not row[-1]:
        row.pop()
    return row


class Encoder:
    """The sending side of one connection; it stores the names and rows already sent."""

    def __init__(self) -> None:
        self._packer = msgpack.Packer()
        self._names: dict[str, int] = {}
        self._new_names: list[str] = []
        self._counters: dict[CounterKey, tuple[int, int]] = {}
        self._slots: dict[str, SlotRow] = {}
        self._loads: dict[str, LoadRow] = {}
        self._sums: dict[tuple[str, int], SumState] = {}

    def encode(self, message: Message) -> list[bytes]:
        """Returns the encoded message, preceded by the names that it refers to.

        Raises:
            ProtocolError: If the message is too large or needs more names than a
                connection may have. The connection must be closed and opened again.
        """
        parts = []
        for body in self._build_bodies(message):
            if self._new_names:
                names, self._new_names = self._new_names, []
                parts.append(self._packer.pack([NAMES, names]))
            parts.append(self._packer.pack(body))
        for part in parts:
            if len(part) > MESSAGE_LIMIT_BYTES:
                raise ProtocolError(
                    f"a message of {len(part)} bytes is over the limit of "
                    f"{MESSAGE_LIMIT_BYTES} bytes; make the configuration smaller"
                )
        return parts

    def _index_name(self, name: str) -> int:
        index = self._names.get(name)
        if index is None:
            index = len(self._names)
            if index >= NAMES_LIMIT or len(name) > NAME_LIMIT_CHARACTERS:
                raise ProtocolError(
                    f"the connection has {index} names and the next one has "
                    f"{len(name)} characters; at most {NAMES_LIMIT} names of at most "
                    f"{NAME_LIMIT_CHARACTERS} characters are allowed; open a new "
                    "connection"
                )
            self._names[name] = index
            self._new_names.append(name)
        return index

    def _build_bodies(self, message: Message) -> Iterator[list[Any]]:
        match message:
            case Report():
                yield self._build_report(message)
            case Grants(rows, acknowledged, incarnation):
                grants = [self._build_grant(row) for row in rows]
                yield [GRANTS, grants, acknowledged, incarnation]
            case Loads(rows):
                yield [LOADS, [self._build_load(row) for row in rows]]
            case UpstreamState(replica_id, incarnation, is_leaving):
                index = self._index_name(replica_id)
                yield [UPSTREAM_STATE, index, incarnation, int(is_leaving)]
            case ConfigurationRequest(version):
                yield [CONFIGURATION_REQUEST, version]
            case Configuration(version, document):
                yield [CONFIGURATION, version, document]
            case Confirmation():
                row = [
                    CONFIRMATION,
                    message.configuration_version,
                    message.configuration_ms,
                    message.upstreams_version,
                    message.upstreams_ms,
                    message.era,
                ]
                yield _drop_trailing_defaults(row, 5)
            case FeedStatus():
                yield [
                    FEED_STATUS,
                    message.parts_era,
                    message.parts_version,
                    int(message.follows_parts),
                    int(message.is_failing),
                ]
            case PartCases(case_rows):
                yield [PART_CASES, [self._build_case(row) for row in case_rows]]
            case Evacuations(evacuation_rows):
                yield [
                    EVACUATIONS,
                    [self._build_evacuation(row) for row in evacuation_rows],
                ]
            case ColdReplicas(cold_rows):
                yield [COLD_REPLICAS, [self._build_cold(row) for row in cold_rows]]
            case Sum():
                yield self._build_sum(message)
            case Snapshot(origins):
                yield from self._build_snapshot(origins)
            case UpstreamList(made_at_ms, upstreams):
                yield [
                    UPSTREAM_LIST,
                    made_at_ms,
                    [self._build_upstream(upstream) for upstream in upstreams],
                ]
            case Hello(identity, version, control, fleet, reads_feed_status):
                if fleet:
                    if reads_feed_status:
                        self._index_name(FEED_STATUS_NAME)
                    self._index_name(fleet)
                address_fields = [control.host, control.port] if control else [None, 0]
                yield [
                    HELLO,
                    PROTOCOL,
                    identity.router_id,
                    identity.incarnation,
                    identity.zone,
                    version,
                    *address_fields,
                ]

    def _build_report(self, report: Report) -> list[Any]:
        body = [
            REPORT,
            report.sequence,
            report.configuration_version,
            int(report.is_leaving),
            [self._build_counter(row) for row in report.counters],
            self._build_slot_rows(report.slots),
        ]
        return _drop_trailing_defaults(body, 4)

    def _build_counter(self, row: CounterRow) -> list[Any]:
        key = (row.service, row.organisation)
        served, lift = self._counters.get(key, (0, 0))
        self._counters[key] = (row.served, row.lift)
        deadline = row.deadline_ms
        if deadline is not None and deadline >= 0:
            # A trailing zero would be omitted and then read as no deadline.
            deadline += 1
        fields = [
            self._index_name(row.service),
            self._index_name(row.organisation),
            row.served - served,
            row.waiting,
            row.running,
            deadline,
            row.lift - lift,
        ]
        return _drop_trailing_defaults(fields, 2)

    def _build_sum(self, message: Sum) -> list[Any]:
        state = self._sums.get((message.scope, message.part))
        origins = None
        if state is None or message.is_whole or state.origins != message.origins:
            origins = [
                [
                    self._index_name(origin.router_id),
                    origin.incarnation,
                    self._index_name(origin.zone),
                ]
                for origin in sorted(
                    message.origins, key=lambda origin: origin.router_id
                )
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
            rows.append(
                [self._index_name(row.service), self._index_name(row.organisation)]
            )
            rows[-1].append(change)
        return [
            SUM,
            self._index_name(message.scope) if message.scope else None,
            message.part,
            message.sequence,
            int(message.is_whole),
            origins,
            rows,
        ]

    def _build_slot_rows(self, slots: tuple[SlotRow, ...]) -> list[Any]:
        rows_by_replica = {row.replica_id: row for row in slots}
        rows = []
        for replica_id in [
            known_id for known_id in self._slots if known_id not in rows_by_replica
        ]:
            del self._slots[replica_id]
            rows.append([self._index_name(replica_id)])
        for replica_id, row in rows_by_replica.items():
            previous = self._slots.get(replica_id)
            if row == previous:
                continue
            self._slots[replica_id] = row
            rows.append(
                [
                    self._index_name(replica_id),
                    row.in_use,
                    row.released - (previous.released if previous else 0),
                    row.epoch - (previous.epoch if previous else 0),
                    row.base - (previous.base if previous else 0),
                    row.prompt_tokens,
                    row.window,
                ]
            )
            _drop_trailing_defaults(rows[-1], 2)
        return rows

    def _build_grant(self, row: GrantRow) -> list[Any]:
        fields = [
            self._index_name(row.replica_id),
            row.epoch,
            row.granted,
            row.recalled,
        ]
        return _drop_trailing_defaults(fields, 1)

    def _build_load(self, row: LoadRow) -> list[Any]:
        previous = self._loads.get(row.replica_id)
        index = self._index_name(row.replica_id)
        if row == previous:
            return [index]
        self._loads[row.replica_id] = row
        fields = [
            index,
            row.incarnation - (previous.incarnation if previous else 0),
            row.slots,
            row.running,
            row.queued,
            row.token_rate,
            int(row.is_leaving),
        ]
        return _drop_trailing_defaults(fields, 2)

    def _build_upstream(self, row: UpstreamRow) -> list[Any]:
        return [
            self._index_name(row.replica_id),
            self._index_name(row.service),
            self._index_name(row.zone),
            self._index_name(row.address.host),
            row.address.port,
            int(row.is_leaving),
        ]

    def _build_case(self, row: PartCaseRow) -> list[Any]:
        case = row.case
        return [
            self._index_name(case.key.service),
            # Not sent by index: callers can invent any number of parts.
            case.key.part_id,
            case.revision,
            int(case.is_proven),
            int(case.is_quarantined),
            case.probes,
            row.probe_in_ms,
            case.since_ms,
            [
                [crash.process, crash.call, self._index_name(crash.organisation)]
                for crash in sorted(case.crashes)
            ],
        ]

    def _build_evacuation(self, row: EvacuationRow) -> list[Any]:
        fields = [
            self._index_name(row.zone),
            row.position.era,
            row.position.version,
            int(row.is_evacuated),
        ]
        return _drop_trailing_defaults(fields, 1)

    def _build_cold(self, row: ColdRow) -> list[Any]:
        fields = [
            self._index_name(row.replica_id),
            row.incarnation,
            row.remaining_ms,
            row.position.era,
            row.position.version,
        ]
        return _drop_trailing_defaults(fields, 3)

    def _build_snapshot(
        self, origins: tuple[OriginCounters, ...]
    ) -> Iterator[list[Any]]:
        parts = [
            (group.origin, group.counters[start : start + SNAPSHOT_PART_ROWS])
            for group in origins
            for start in range(0, max(1, len(group.counters)), SNAPSHOT_PART_ROWS)
        ]
        for number, (identity, counters) in enumerate(parts, start=1):
            yield [
                SNAPSHOT,
                int(number == len(parts)),
                self._index_name(identity.router_id),
                identity.incarnation,
                self._index_name(identity.zone),
                [self._build_snapshot_row(row) for row in counters],
            ]

    def _build_snapshot_row(self, row: CounterRow) -> list[Any]:
        return [
            self._index_name(row.service),
            self._index_name(row.organisation),
            row.served,
            row.lift,
            row.waiting,
            row.running,
            row.deadline_ms,
        ]

"""Decoding of the messages between routers; ``wire.py`` specifies the format."""

from __future__ import annotations

from collections.abc import Callable
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
    SumRow,
    UpstreamList,
    UpstreamRow,
    UpstreamState,
)
from ..core.part_cases import MAX_CRASHES_PER_CASE, Crash, PartCase, PartKey
from ..core.store_position import StorePosition
from ..errors import ProtocolError
from ..types import Address, RouterIdentity
from .fields import (
    pad_row,
    read_count,
    read_flag,
    read_integer,
    read_port,
    read_rows,
    read_text,
)
from .wire import (
    COLD_REPLICAS,
    CONFIGURATION,
    CONFIGURATION_REQUEST,
    CONFIRMATION,
    CONTAINER_LENGTH_LIMIT,
    EVACUATIONS,
    FEED_STATUS,
    FEED_STATUS_NAME,
    GRANTS,
    HELLO,
    LOADS,
    MESSAGE_LIMIT_BYTES,
    NAMES,
    NAMES_LIMIT,
    PART_CASES,
    PROTOCOL,
    RECEIVE_BYTES,
    REPORT,
    ROWS_LIMIT,
    SNAPSHOT,
    SUM,
    UPSTREAM_LIST,
    UPSTREAM_STATE,
    CounterKey,
    SumState,
)


class Decoder:
    """The receiving side of one connection; it validates every field.

    Attributes:
        message_count: Number of messages decoded; the user of the decoder may reset
            it.
    """

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MESSAGE_LIMIT_BYTES + RECEIVE_BYTES,
            max_array_len=CONTAINER_LENGTH_LIMIT,
            max_map_len=CONTAINER_LENGTH_LIMIT,
            strict_map_key=True,
        )
        self._consumed_bytes = 0
        self._fed_bytes = 0
        self._names: list[str] = []
        self._counters: dict[CounterKey, tuple[int, int]] = {}
        self._slots: dict[str, SlotRow] = {}
        self._slot_rows: tuple[SlotRow, ...] = ()
        self._loads: dict[str, LoadRow] = {}
        self._sums: dict[tuple[str, int], SumState] = {}
        self._sum_row_count = 0
        self._snapshot_parts: list[OriginCounters] = []
        self._snapshot_row_count = 0
        self._readers: dict[int, Callable[[list[Any]], Message | None]] = {
            REPORT: self._read_report,
            GRANTS: self._read_grants,
            LOADS: self._read_loads,
            UPSTREAM_STATE: self._read_upstream_state,
            CONFIGURATION_REQUEST: self._read_configuration_request,
            CONFIGURATION: self._read_configuration,
            SNAPSHOT: self._read_snapshot,
            UPSTREAM_LIST: self._read_upstream_list,
            HELLO: self._read_hello,
            SUM: self._read_sum,
            CONFIRMATION: self._read_confirmation,
            PART_CASES: self._read_part_cases,
            EVACUATIONS: self._read_evacuations,
            COLD_REPLICAS: self._read_cold_replicas,
            FEED_STATUS: self._read_feed_status,
        }
        self.message_count = 0
        self._has_new_names = False

    def feed(self, data: bytes) -> list[Message]:
        """Adds received bytes and returns the messages that are now complete.

        Args:
            data: At most ``RECEIVE_BYTES`` bytes.

        Raises:
            ProtocolError: If the bytes are not messages of this protocol.
        """
        messages: list[Message] = []
        self._fed_bytes += len(data)
        try:
            self._unpacker.feed(data)
            for body in self._unpacker:
                end = self._unpacker.tell()
                self._check_size(end - self._consumed_bytes)
                self._consumed_bytes = end
                self.message_count += 1
                message = self._read_message(body)
                if message is not None:
                    messages.append(message)
        except ProtocolError:
            raise
        except (msgpack.UnpackException, ValueError, TypeError, RecursionError) as err:
            # Unpacking a row with a wrong number of fields raises ValueError.
            raise ProtocolError(
                f"the received bytes are not a message: {err!r}"
            ) from err
        # The unpacker consumes an incomplete message as it arrives, so its own buffer
        # limit does not bound the size of a message.
        self._check_size(self._fed_bytes - self._consumed_bytes)
        return messages

    def _check_size(self, size: int) -> None:
        if size > MESSAGE_LIMIT_BYTES:
            raise ProtocolError(
                f"a message of at least {size} bytes is over the limit of "
                f"{MESSAGE_LIMIT_BYTES} bytes"
            )

    def _read_message(self, body: Any) -> Message | None:
        if not isinstance(body, list) or not body or type(body[0]) is not int:
            raise ProtocolError("a message is not an array that begins with its kind")
        kind, fields = body[0], body[1:]
        if kind == NAMES:
            self._add_names(fields)
            self._has_new_names = bool(self._names)
            return None
        reader = self._readers.get(kind)
        if reader is None:
            raise ProtocolError(
                f"message kind {kind} is unknown; use the same version of "
                "sequoiamoor on all routers"
            )
        message = reader(fields)
        self._has_new_names = False
        return message

    def _add_names(self, fields: list[Any]) -> None:
        (names,) = fields
        for name in read_rows(names):
            self._names.append(read_text(name))
        if len(self._names) > NAMES_LIMIT:
            raise ProtocolError(
                f"the peer sent more than {NAMES_LIMIT} names on one connection"
            )

    def _resolve_name(self, index: Any) -> str:
        number = read_count(index)
        if number >= len(self._names):
            raise ProtocolError(
                f"name index {number} is used, but only {len(self._names)} were sent"
            )
        return self._names[number]

    def _read_hello(self, fields: list[Any]) -> Hello:
        protocol = fields[0] if fields else None
        if protocol != PROTOCOL:
            raise ProtocolError(
                f"the peer uses protocol {protocol!r} instead of {PROTOCOL}; use "
                "the same version of sequoiamoor on all routers"
            )
        _, router_id, incarnation, zone, version, host, port = fields
        identity = RouterIdentity(
            read_text(router_id), read_count(incarnation), read_text(zone)
        )
        address = None if host is None else Address(read_text(host), read_port(port))
        fleet = self._names[-1] if self._has_new_names else ""
        reads_feed_status = bool(fleet) and FEED_STATUS_NAME in self._names[:-1]
        return Hello(identity, read_count(version), address, fleet, reads_feed_status)

    def _read_report(self, fields: list[Any]) -> Report:
        sequence, version, leaving, *rest = fields
        counters: tuple[CounterRow, ...] = ()
        if rest:
            counters = tuple([self._read_counter(row) for row in read_rows(rest[0])])
        if len(rest) > 1:
            self._update_slots(rest[1])
        if len(rest) > 2:
            raise ProtocolError(
                f"a report has {len(fields)} fields; at most 5 are allowed"
            )
        return Report(
            read_count(sequence),
            read_count(version),
            read_flag(leaving),
            counters,
            self._slot_rows,
        )

    def _read_counter(self, fields: Any) -> CounterRow:
        service, organisation, served, waiting, running, deadline, lift = pad_row(
            fields, 2, (0, 0, 0, None, 0)
        )
        key = (self._resolve_name(service), self._resolve_name(organisation))
        if deadline is not None:
            deadline = read_integer(deadline)
            # The encoder adds 1 to a deadline that is not negative.
            deadline -= deadline > 0
        previous_served, previous_lift = self._counters.get(key, (0, 0))
        row = CounterRow(
            *key,
            read_count(previous_served + read_integer(served)),
            read_count(previous_lift + read_integer(lift)),
            read_count(waiting),
            read_count(running),
            deadline,
        )
        self._counters[key] = (row.served, row.lift)
        if len(self._counters) > ROWS_LIMIT:
            raise ProtocolError(
                f"the peer sent more than {ROWS_LIMIT} counters on one connection"
            )
        return row

    def _update_slots(self, rows: Any) -> None:
        for fields in read_rows(rows):
            if isinstance(fields, list) and len(fields) == 1:
                self._slots.pop(self._resolve_name(fields[0]), None)
                continue
            replica, in_use, released, epoch, base, prompt_tokens, window = pad_row(
                fields, 2, (0, 0, 0, 0, 0)
            )
            replica_id = self._resolve_name(replica)
            previous = self._slots.get(replica_id)
            self._slots[replica_id] = SlotRow(
                replica_id,
                read_count((previous.epoch if previous else 0) + read_integer(epoch)),
                read_count((previous.base if previous else 0) + read_integer(base)),
                read_count(
                    (previous.released if previous else 0) + read_integer(released)
                ),
                read_count(in_use),
                read_count(prompt_tokens),
                read_count(window),
            )
        self._slot_rows = tuple(self._slots.values())

    def _read_grants(self, fields: list[Any]) -> Grants:
        rows, acknowledged, incarnation = fields
        return Grants(
            tuple([self._read_grant(row) for row in read_rows(rows)]),
            read_count(acknowledged),
            read_count(incarnation),
        )

    def _read_grant(self, fields: Any) -> GrantRow:
        replica, epoch, granted, recalled = pad_row(fields, 1, (0, 0, 0))
        return GrantRow(
            self._resolve_name(replica),
            read_count(epoch),
            read_count(granted),
            read_count(recalled),
        )

    def _read_loads(self, fields: list[Any]) -> Loads:
        (rows,) = fields
        return Loads(tuple([self._read_load(row) for row in read_rows(rows)]))

    def _read_load(self, fields: Any) -> LoadRow:
        if isinstance(fields, list) and len(fields) == 1:
            replica_id = self._resolve_name(fields[0])
            if replica_id not in self._loads:
                raise ProtocolError(
                    f"the load of replica {replica_id!r} is repeated before it was sent"
                )
            return self._loads[replica_id]
        replica, incarnation, slots, running, queued, rate, leaving = pad_row(
            fields, 2, (0, 0, 0, 0, 0)
        )
        replica_id = self._resolve_name(replica)
        previous = self._loads.get(replica_id)
        row = LoadRow(
            replica_id,
            read_count(
                (previous.incarnation if previous else 0) + read_integer(incarnation)
            ),
            read_count(slots),
            read_count(running),
            read_count(queued),
            read_count(rate),
            read_flag(leaving),
        )
        self._loads[replica_id] = row
        return row

    def _read_sum(self, fields: list[Any]) -> Sum:
        scope_index, part, sequence, whole_flag, origins, rows = fields
        scope = "" if scope_index is None else self._resolve_name(scope_index)
        is_whole = read_flag(whole_flag)
        key = (scope, read_count(part))
        state = self._sums.get(key)
        if origins is not None:
            origin_set = frozenset(
                [self._read_origin(origin) for origin in read_rows(origins)]
            )
        elif state is not None:
            origin_set = state.origins
        else:
            raise ProtocolError(f"the origins of the sum of {scope!r} were not sent")
        if state is None or is_whole:
            self._sum_row_count -= 0 if state is None else len(state.served) + 1
            self._sum_row_count += 1
            state = self._sums[key] = SumState(origin_set, {})
        state.origins = origin_set
        changed = tuple([self._read_sum_row(row, state) for row in read_rows(rows)])
        if self._sum_row_count > ROWS_LIMIT:
            raise ProtocolError(
                f"the sums on one connection have more than {ROWS_LIMIT} rows"
            )
        return Sum(scope, key[1], read_count(sequence), is_whole, origin_set, changed)

    def _read_origin(self, fields: Any) -> RouterIdentity:
        router, incarnation, zone = read_rows(fields)
        return RouterIdentity(
            self._resolve_name(router),
            read_count(incarnation),
            self._resolve_name(zone),
        )

    def _read_sum_row(self, fields: Any, state: SumState) -> SumRow:
        service, organisation, change = read_rows(fields)
        key = (self._resolve_name(service), self._resolve_name(organisation))
        self._sum_row_count += key not in state.served
        served = read_count(state.served.get(key, 0) + read_integer(change))
        state.served[key] = served
        return SumRow(*key, served)

    def _read_snapshot(self, fields: list[Any]) -> Snapshot | None:
        is_last, router, incarnation, zone, rows = fields
        identity = RouterIdentity(
            self._resolve_name(router),
            read_count(incarnation),
            self._resolve_name(zone),
        )
        counters = tuple([self._read_snapshot_row(row) for row in read_rows(rows)])
        self._snapshot_parts.append(OriginCounters(identity, counters))
        self._snapshot_row_count += max(len(counters), 1)
        if self._snapshot_row_count > ROWS_LIMIT:
            raise ProtocolError(f"a snapshot has more than {ROWS_LIMIT} counters")
        if not read_flag(is_last):
            return None
        snapshot = Snapshot(tuple(self._snapshot_parts))
        self._snapshot_parts = []
        self._snapshot_row_count = 0
        return snapshot

    def _read_snapshot_row(self, fields: Any) -> CounterRow:
        service, organisation, served, lift, waiting, running, deadline = fields
        return CounterRow(
            self._resolve_name(service),
            self._resolve_name(organisation),
            read_count(served),
            read_count(lift),
            read_count(waiting),
            read_count(running),
            None if deadline is None else read_integer(deadline),
        )

    def _read_configuration_request(self, fields: list[Any]) -> ConfigurationRequest:
        (version,) = fields
        return ConfigurationRequest(read_count(version))

    def _read_configuration(self, fields: list[Any]) -> Configuration:
        version, document = fields
        return Configuration(read_count(version), document)

    def _read_upstream_state(self, fields: list[Any]) -> UpstreamState:
        replica, incarnation, leaving = fields
        return UpstreamState(
            self._resolve_name(replica), read_count(incarnation), read_flag(leaving)
        )

    def _read_confirmation(self, fields: list[Any]) -> Confirmation:
        # Later versions may send further fields.
        configuration_version, configuration_ms, version, upstreams_ms, *rest = fields
        return Confirmation(
            read_count(configuration_version),
            read_count(configuration_ms),
            read_count(version),
            read_count(upstreams_ms),
            read_count(rest[0]) if rest else 0,
        )

    def _read_feed_status(self, fields: list[Any]) -> FeedStatus:
        parts_era, parts_version, follows_parts, is_failing = fields
        return FeedStatus(
            read_count(parts_era),
            read_count(parts_version),
            read_flag(follows_parts),
            read_flag(is_failing),
        )

    def _read_part_cases(self, fields: list[Any]) -> PartCases:
        (rows,) = fields
        return PartCases(tuple([self._read_case(row) for row in read_rows(rows)]))

    def _read_case(self, fields: Any) -> PartCaseRow:
        service, part, revision, proven, quarantined, *rest = read_rows(fields)
        probes, probe_in_ms, since_ms, crashes = rest
        rows = read_rows(crashes)
        if len(rows) > MAX_CRASHES_PER_CASE:
            raise ProtocolError(
                f"a case has {len(rows)} crashes; at most {MAX_CRASHES_PER_CASE} are "
                "allowed"
            )
        case = PartCase(
            PartKey(self._resolve_name(service), read_text(part)),
            read_count(revision),
            frozenset([self._read_crash(row) for row in rows]),
            is_proven=read_flag(proven),
            is_quarantined=read_flag(quarantined),
            probes=read_count(probes),
            since_ms=read_count(since_ms),
        )
        return PartCaseRow(case, read_integer(probe_in_ms))

    def _read_crash(self, fields: Any) -> Crash:
        process, call, organisation = read_rows(fields)
        return Crash(
            read_text(process), read_text(call), self._resolve_name(organisation)
        )

    def _read_evacuations(self, fields: list[Any]) -> Evacuations:
        (rows,) = fields
        return Evacuations(
            tuple([self._read_evacuation(row) for row in read_rows(rows)])
        )

    def _read_evacuation(self, fields: Any) -> EvacuationRow:
        zone, era, version, evacuated = pad_row(fields, 1, (0, 0, 0))
        return EvacuationRow(
            self._resolve_name(zone),
            StorePosition(read_count(era), read_count(version)),
            read_flag(evacuated),
        )

    def _read_cold_replicas(self, fields: list[Any]) -> ColdReplicas:
        (rows,) = fields
        return ColdReplicas(tuple([self._read_cold(row) for row in read_rows(rows)]))

    def _read_cold(self, fields: Any) -> ColdRow:
        replica, incarnation, remaining_ms, era, version = pad_row(fields, 3, (0, 0))
        return ColdRow(
            self._resolve_name(replica),
            read_count(incarnation),
            read_count(remaining_ms),
            StorePosition(read_count(era), read_count(version)),
        )

    def _read_upstream_list(self, fields: list[Any]) -> UpstreamList:
        made_at_ms, rows = fields
        upstreams = tuple([self._read_upstream(row) for row in read_rows(rows)])
        return UpstreamList(read_count(made_at_ms), upstreams)

    def _read_upstream(self, fields: Any) -> UpstreamRow:
        replica, service, zone, host, port, leaving = fields
        return UpstreamRow(
            self._resolve_name(replica),
            self._resolve_name(service),
            self._resolve_name(zone),
            Address(self._resolve_name(host), read_port(port)),
            read_flag(leaving),
        )

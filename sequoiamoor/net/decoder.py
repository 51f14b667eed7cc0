"""Decoding of the messages between routers; ``wire.py`` gives the format."""

from __future__ import annotations

from collections.abc import Callable
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
    SumRow,
    UpstreamList,
    UpstreamRow,
    UpstreamState,
)
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
    CONFIGURATION,
    CONFIGURATION_REQUEST,
    GRANTS,
    HELLO,
    LENGTH_LIMIT,
    LOADS,
    MESSAGE_LIMIT_BYTES,
    NAMES,
    NAMES_LIMIT,
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
    """The receiving side of one connection; it trusts nothing that it reads."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MESSAGE_LIMIT_BYTES + RECEIVE_BYTES,
            max_array_len=LENGTH_LIMIT,
            max_map_len=LENGTH_LIMIT,
            strict_map_key=True,
        )
        self._end = 0
        self._fed = 0
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
            REPORT: self._report,
            GRANTS: self._grants,
            LOADS: self._read_loads,
            UPSTREAM_STATE: self._upstream_state,
            CONFIGURATION_REQUEST: self._configuration_request,
            CONFIGURATION: self._configuration,
            SNAPSHOT: self._snapshot,
            UPSTREAM_LIST: self._upstream_list,
            HELLO: self._hello,
            SUM: self._sum,
        }
        self.messages = 0

    def feed(self, data: bytes) -> list[Message]:
        """Takes at most ``RECEIVE_BYTES`` bytes and returns the whole messages.

        Raises:
            ProtocolError: If the bytes are not messages of this protocol.
        """
        messages: list[Message] = []
        self._fed += len(data)
        try:
            self._unpacker.feed(data)
            for body in self._unpacker:
                end = self._unpacker.tell()
                self._check_size(end - self._end)
                self._end = end
                self.messages += 1
                message = self._read(body)
                if message is not None:
                    messages.append(message)
        except ProtocolError:
            raise
        except (msgpack.UnpackException, ValueError, TypeError, RecursionError) as err:
            # Field readers unpack rows of a wrong length into a ValueError.
            raise ProtocolError(f"bytes that are not a message: {err!r}") from err
        # The unpacker consumes a message that has not ended as it comes, so its own
        # limit of the buffer does not bound the size of a message.
        self._check_size(self._fed - self._end)
        return messages

    def _check_size(self, size: int) -> None:
        if size > MESSAGE_LIMIT_BYTES:
            raise ProtocolError(
                f"a message of at least {size} bytes is over the limit of "
                f"{MESSAGE_LIMIT_BYTES}"
            )

    def _read(self, body: Any) -> Message | None:
        if not isinstance(body, list) or not body or type(body[0]) is not int:
            raise ProtocolError("a message is not an array that begins with its kind")
        kind, fields = body[0], body[1:]
        if kind == NAMES:
            self._take_names(fields)
            return None
        reader = self._readers.get(kind)
        if reader is None:
            raise ProtocolError(
                f"message kind {kind} is unknown; use the same version of "
                "sequoiamoor on all routers"
            )
        return reader(fields)

    def _take_names(self, fields: list[Any]) -> None:
        (names,) = fields
        for name in read_rows(names):
            self._names.append(read_text(name))
        if len(self._names) > NAMES_LIMIT:
            raise ProtocolError(f"more than {NAMES_LIMIT} names on one connection")

    def _name(self, index: Any) -> str:
        number = read_count(index)
        if number >= len(self._names):
            raise ProtocolError(
                f"name {number} is used, but only {len(self._names)} were sent"
            )
        return self._names[number]

    def _hello(self, fields: list[Any]) -> Hello:
        protocol = fields[0] if fields else None
        if protocol != PROTOCOL:
            raise ProtocolError(
                f"protocol {protocol!r} is not {PROTOCOL}; use the same version of "
                "sequoiamoor on all routers"
            )
        _, router_id, incarnation, zone, version, host, port = fields
        identity = RouterIdentity(
            read_text(router_id), read_count(incarnation), read_text(zone)
        )
        address = None if host is None else Address(read_text(host), read_port(port))
        return Hello(identity, read_count(version), address)

    def _report(self, fields: list[Any]) -> Report:
        sequence, version, leaving, *rest = fields
        counters: tuple[CounterRow, ...] = ()
        if rest:
            counters = tuple([self._counter(row) for row in read_rows(rest[0])])
        if len(rest) > 1:
            self._take_slots(rest[1])
        if len(rest) > 2:
            raise ProtocolError(f"a report has {len(fields)} fields instead of 5")
        return Report(
            read_count(sequence),
            read_count(version),
            read_flag(leaving),
            counters,
            self._slot_rows,
        )

    def _counter(self, fields: Any) -> CounterRow:
        service, organisation, served, waiting, running, deadline, lift = pad_row(
            fields, 2, (0, 0, 0, None, 0)
        )
        key = (self._name(service), self._name(organisation))
        if deadline is not None:
            deadline = read_integer(deadline)
            deadline -= deadline > 0
        old_served, old_lift = self._counters.get(key, (0, 0))
        row = CounterRow(
            *key,
            read_count(old_served + read_integer(served)),
            read_count(old_lift + read_integer(lift)),
            read_count(waiting),
            read_count(running),
            deadline,
        )
        self._counters[key] = (row.served, row.lift)
        if len(self._counters) > ROWS_LIMIT:
            raise ProtocolError(f"more than {ROWS_LIMIT} counters on one connection")
        return row

    def _take_slots(self, rows: Any) -> None:
        for fields in read_rows(rows):
            if isinstance(fields, list) and len(fields) == 1:
                self._slots.pop(self._name(fields[0]), None)
                continue
            replica, in_use, released, epoch, base, prompt_tokens, window = pad_row(
                fields, 2, (0, 0, 0, 0, 0)
            )
            replica_id = self._name(replica)
            old = self._slots.get(replica_id)
            self._slots[replica_id] = SlotRow(
                replica_id,
                read_count((old.epoch if old else 0) + read_integer(epoch)),
                read_count((old.base if old else 0) + read_integer(base)),
                read_count((old.released if old else 0) + read_integer(released)),
                read_count(in_use),
                read_count(prompt_tokens),
                read_count(window),
            )
        self._slot_rows = tuple(self._slots.values())

    def _grants(self, fields: list[Any]) -> Grants:
        rows, acknowledged, incarnation = fields
        return Grants(
            tuple([self._grant(row) for row in read_rows(rows)]),
            read_count(acknowledged),
            read_count(incarnation),
        )

    def _grant(self, fields: Any) -> GrantRow:
        replica, epoch, granted, recalled = pad_row(fields, 1, (0, 0, 0))
        return GrantRow(
            self._name(replica),
            read_count(epoch),
            read_count(granted),
            read_count(recalled),
        )

    def _read_loads(self, fields: list[Any]) -> Loads:
        (rows,) = fields
        return Loads(tuple([self._load(row) for row in read_rows(rows)]))

    def _load(self, fields: Any) -> LoadRow:
        if isinstance(fields, list) and len(fields) == 1:
            replica_id = self._name(fields[0])
            if replica_id not in self._loads:
                raise ProtocolError(f"the load of {replica_id!r} was not sent before")
            return self._loads[replica_id]
        replica, incarnation, slots, running, queued, rate, leaving = pad_row(
            fields, 2, (0, 0, 0, 0, 0)
        )
        replica_id = self._name(replica)
        old = self._loads.get(replica_id)
        row = LoadRow(
            replica_id,
            read_count((old.incarnation if old else 0) + read_integer(incarnation)),
            read_count(slots),
            read_count(running),
            read_count(queued),
            read_count(rate),
            read_flag(leaving),
        )
        self._loads[replica_id] = row
        return row

    def _sum(self, fields: list[Any]) -> Sum:
        scope_index, part, sequence, whole, origins, rows = fields
        scope = "" if scope_index is None else self._name(scope_index)
        is_whole = read_flag(whole)
        key = (scope, read_count(part))
        state = self._sums.get(key)
        if origins is not None:
            named = frozenset([self._origin(one) for one in read_rows(origins)])
        elif state is not None:
            named = state.origins
        else:
            raise ProtocolError(f"the origins of the sum {scope!r} were not sent")
        if state is None or is_whole:
            self._sum_row_count -= 0 if state is None else len(state.served) + 1
            self._sum_row_count += 1
            state = self._sums[key] = SumState(named, {})
        state.origins = named
        changed = tuple([self._sum_row(row, state) for row in read_rows(rows)])
        if self._sum_row_count > ROWS_LIMIT:
            raise ProtocolError(f"more than {ROWS_LIMIT} rows of sums")
        return Sum(scope, key[1], read_count(sequence), is_whole, named, changed)

    def _origin(self, fields: Any) -> RouterIdentity:
        router, incarnation, zone = read_rows(fields)
        return RouterIdentity(
            self._name(router), read_count(incarnation), self._name(zone)
        )

    def _sum_row(self, fields: Any, state: SumState) -> SumRow:
        service, organisation, change = read_rows(fields)
        key = (self._name(service), self._name(organisation))
        self._sum_row_count += key not in state.served
        served = read_count(state.served.get(key, 0) + read_integer(change))
        state.served[key] = served
        return SumRow(*key, served)

    def _snapshot(self, fields: list[Any]) -> Snapshot | None:
        is_last, router, incarnation, zone, rows = fields
        identity = RouterIdentity(
            self._name(router), read_count(incarnation), self._name(zone)
        )
        counters = tuple([self._snapshot_row(row) for row in read_rows(rows)])
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

    def _snapshot_row(self, fields: Any) -> CounterRow:
        service, organisation, served, lift, waiting, running, deadline = fields
        return CounterRow(
            self._name(service),
            self._name(organisation),
            read_count(served),
            read_count(lift),
            read_count(waiting),
            read_count(running),
            None if deadline is None else read_integer(deadline),
        )

    def _configuration_request(self, fields: list[Any]) -> ConfigurationRequest:
        (version,) = fields
        return ConfigurationRequest(read_count(version))

    def _configuration(self, fields: list[Any]) -> Configuration:
        version, document = fields
        return Configuration(read_count(version), document)

    def _upstream_state(self, fields: list[Any]) -> UpstreamState:
        replica, incarnation, leaving = fields
        return UpstreamState(
            self._name(replica), read_count(incarnation), read_flag(leaving)
        )

    def _upstream_list(self, fields: list[Any]) -> UpstreamList:
        made_at_ms, rows = fields
        upstreams = tuple([self._upstream(row) for row in read_rows(rows)])
        return UpstreamList(read_count(made_at_ms), upstreams)

    def _upstream(self, fields: Any) -> UpstreamRow:
        replica, service, zone, host, port, leaving = fields
        return UpstreamRow(
            self._name(replica),
            self._name(service),
            self._name(zone),
            Address(self._name(host), read_port(port)),
            read_flag(leaving),
        )

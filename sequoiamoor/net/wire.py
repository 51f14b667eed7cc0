"""Encoding of the messages between routers.

Each message is one msgpack array that begins with its kind. A connection has an
encoder on one side and a decoder on the other, which keep the same state: strings
are sent once, in ``Names``, and by index afterwards; counters, slots and loads are
sent as differences from the row before. An encoded message must therefore be
written, in order, or the connection closed.

Fields, in order; fields at the end of a row that are zero or nil are left out:

==================== ==========================================================
Hello                protocol, router id, incarnation, zone, version, host, port
Names                list of strings
Report               sequence, version, leaving, counters, slots
- counters           rows: service, organisation, served, waiting, running,
                     deadline + 1 or nil, lift
- slots              rows: replica, in use, released, epoch, base; a row with
                     the replica alone removes it
Grants               rows: replica, epoch, granted, recalled; acknowledged report,
                     incarnation of the receiver
Snapshot             in parts: whether it is the last one, router id, incarnation,
                     zone, rows of service, organisation, served, lift, waiting,
                     running, deadline
Sum                  zone or nil, part, sequence, whether it is whole, origins as
                     rows of router id, incarnation, zone, or nil if unchanged, rows
                     of service, organisation, served
ConfigurationRequest version
Configuration        version, document
UpstreamState        replica, incarnation, leaving
Loads                rows: replica, incarnation, slots, running, queued, rate,
                     leaving; the replica alone repeats the row before
UpstreamList         time in ms, rows: replica, service, zone, host, port, leaving
==================== ==========================================================
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
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

PROTOCOL = 2
MESSAGE_LIMIT_BYTES = 1_048_576
RECEIVE_BYTES = 65_536
# The longest identifier of the platform is far below this; it bounds the memory
# that a faulty peer can make a router keep.
NAME_LIMIT_CHARACTERS = 256
NAMES_LIMIT = 65_536
ROWS_LIMIT = 262_144
# The unpacker allocates an array when it reads its length, before the elements.
LENGTH_LIMIT = 16_384
# Keeps a snapshot of the target size below the message limit: it is sent in parts.
SNAPSHOT_PART_ROWS = 2_000
_INTEGER_LIMIT = 1 << 62

_HELLO, _NAMES, _REPORT, _GRANTS, _SNAPSHOT = range(5)
_CONFIGURATION_REQUEST, _CONFIGURATION, _UPSTREAM_STATE, _LOADS, _UPSTREAM_LIST = range(
    5, 10
)
_SUM = 10

_CounterKey = tuple[str, str]


@dataclass(slots=True)
class _SumState:
    """The last sum of one scope and part on a connection."""

    origins: frozenset[RouterIdentity]
    served: dict[_CounterKey, int]


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
        self._counters: dict[_CounterKey, tuple[int, int]] = {}
        self._slots: dict[str, SlotRow] = {}
        self._loads: dict[str, LoadRow] = {}
        self._sums: dict[tuple[str, int], _SumState] = {}

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
                parts.append(self._packer.pack([_NAMES, names]))
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
                yield [_GRANTS, grants, acknowledged, incarnation]
            case Loads(rows):
                yield [_LOADS, [self._load(row) for row in rows]]
            case UpstreamState(replica_id, incarnation, is_leaving):
                index = self._index(replica_id)
                yield [_UPSTREAM_STATE, index, incarnation, int(is_leaving)]
            case ConfigurationRequest(version):
                yield [_CONFIGURATION_REQUEST, version]
            case Configuration(version, document):
                yield [_CONFIGURATION, version, document]
            case Sum():
                yield self._sum(message)
            case Snapshot(origins):
                yield from self._snapshot(origins)
            case UpstreamList(made_at_ms, upstreams):
                yield [
                    _UPSTREAM_LIST,
                    made_at_ms,
                    [self._upstream(r) for r in upstreams],
                ]
            case Hello(identity, version, control):
                place = [control.host, control.port] if control else [None, 0]
                yield [
                    _HELLO,
                    PROTOCOL,
                    identity.router_id,
                    identity.incarnation,
                    identity.zone,
                    version,
                    *place,
                ]

    def _report(self, report: Report) -> list[Any]:
        body = [
            _REPORT,
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
            state = _SumState(message.origins, {})
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
            _SUM,
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
                _SNAPSHOT,
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
        self._counters: dict[_CounterKey, tuple[int, int]] = {}
        self._slots: dict[str, SlotRow] = {}
        self._slot_rows: tuple[SlotRow, ...] = ()
        self._loads: dict[str, LoadRow] = {}
        self._sums: dict[tuple[str, int], _SumState] = {}
        self._sum_row_count = 0
        self._snapshot_parts: list[OriginCounters] = []
        self._snapshot_row_count = 0
        self._readers: dict[int, Callable[[list[Any]], Message | None]] = {
            _REPORT: self._report,
            _GRANTS: self._grants,
            _LOADS: self._read_loads,
            _UPSTREAM_STATE: self._upstream_state,
            _CONFIGURATION_REQUEST: self._configuration_request,
            _CONFIGURATION: self._configuration,
            _SNAPSHOT: self._snapshot,
            _UPSTREAM_LIST: self._upstream_list,
            _HELLO: self._hello,
            _SUM: self._sum,
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
        if kind == _NAMES:
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
        for name in _rows(names):
            self._names.append(_text(name))
        if len(self._names) > NAMES_LIMIT:
            raise ProtocolError(f"more than {NAMES_LIMIT} names on one connection")

    def _name(self, index: Any) -> str:
        number = _count(index)
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
        identity = RouterIdentity(_text(router_id), _count(incarnation), _text(zone))
        address = None if host is None else Address(_text(host), _port(port))
        return Hello(identity, _count(version), address)

    def _report(self, fields: list[Any]) -> Report:
        sequence, version, leaving, *rest = fields
        counters: tuple[CounterRow, ...] = ()
        if rest:
            counters = tuple([self._counter(row) for row in _rows(rest[0])])
        if len(rest) > 1:
            self._take_slots(rest[1])
        if len(rest) > 2:
            raise ProtocolError(f"a report has {len(fields)} fields instead of 5")
        return Report(
            _count(sequence),
            _count(version),
            _flag(leaving),
            counters,
            self._slot_rows,
        )

    def _counter(self, fields: Any) -> CounterRow:
        service, organisation, served, waiting, running, deadline, lift = _pad(
            fields, 2, (0, 0, 0, None, 0)
        )
        key = (self._name(service), self._name(organisation))
        if deadline is not None:
            deadline = _integer(deadline)
            deadline -= deadline > 0
        old_served, old_lift = self._counters.get(key, (0, 0))
        row = CounterRow(
            *key,
            _count(old_served + _integer(served)),
            _count(old_lift + _integer(lift)),
            _count(waiting),
            _count(running),
            deadline,
        )
        self._counters[key] = (row.served, row.lift)
        if len(self._counters) > ROWS_LIMIT:
            raise ProtocolError(f"more than {ROWS_LIMIT} counters on one connection")
        return row

    def _take_slots(self, rows: Any) -> None:
        for fields in _rows(rows):
            if isinstance(fields, list) and len(fields) == 1:
                self._slots.pop(self._name(fields[0]), None)
                continue
            replica, in_use, released, epoch, base = _pad(fields, 2, (0, 0, 0))
            replica_id = self._name(replica)
            old = self._slots.get(replica_id)
            self._slots[replica_id] = SlotRow(
                replica_id,
                _count((old.epoch if old else 0) + _integer(epoch)),
                _count((old.base if old else 0) + _integer(base)),
                _count((old.released if old else 0) + _integer(released)),
                _count(in_use),
            )
        self._slot_rows = tuple(self._slots.values())

    def _grants(self, fields: list[Any]) -> Grants:
        rows, acknowledged, incarnation = fields
        return Grants(
            tuple([self._grant(row) for row in _rows(rows)]),
            _count(acknowledged),
            _count(incarnation),
        )

    def _grant(self, fields: Any) -> GrantRow:
        replica, epoch, granted, recalled = _pad(fields, 1, (0, 0, 0))
        return GrantRow(
            self._name(replica), _count(epoch), _count(granted), _count(recalled)
        )

    def _read_loads(self, fields: list[Any]) -> Loads:
        (rows,) = fields
        return Loads(tuple([self._load(row) for row in _rows(rows)]))

    def _load(self, fields: Any) -> LoadRow:
        if isinstance(fields, list) and len(fields) == 1:
            replica_id = self._name(fields[0])
            if replica_id not in self._loads:
                raise ProtocolError(f"the load of {replica_id!r} was not sent before")
            return self._loads[replica_id]
        replica, incarnation, slots, running, queued, rate, leaving = _pad(
            fields, 2, (0, 0, 0, 0, 0)
        )
        replica_id = self._name(replica)
        old = self._loads.get(replica_id)
        row = LoadRow(
            replica_id,
            _count((old.incarnation if old else 0) + _integer(incarnation)),
            _count(slots),
            _count(running),
            _count(queued),
            _count(rate),
            _flag(leaving),
        )
        self._loads[replica_id] = row
        return row

    def _sum(self, fields: list[Any]) -> Sum:
        scope_index, part, sequence, whole, origins, rows = fields
        scope = "" if scope_index is None else self._name(scope_index)
        is_whole = _flag(whole)
        key = (scope, _count(part))
        state = self._sums.get(key)
        if origins is not None:
            named = frozenset([self._origin(one) for one in _rows(origins)])
        elif state is not None:
            named = state.origins
        else:
            raise ProtocolError(f"the origins of the sum {scope!r} were not sent")
        if state is None or is_whole:
            self._sum_row_count -= 0 if state is None else len(state.served) + 1
            self._sum_row_count += 1
            state = self._sums[key] = _SumState(named, {})
        state.origins = named
        changed = tuple([self._sum_row(row, state) for row in _rows(rows)])
        if self._sum_row_count > ROWS_LIMIT:
            raise ProtocolError(f"more than {ROWS_LIMIT} rows of sums")
        return Sum(scope, key[1], _count(sequence), is_whole, named, changed)

    def _origin(self, fields: Any) -> RouterIdentity:
        router, incarnation, zone = _rows(fields)
        return RouterIdentity(self._name(router), _count(incarnation), self._name(zone))

    def _sum_row(self, fields: Any, state: _SumState) -> SumRow:
        service, organisation, change = _rows(fields)
        key = (self._name(service), self._name(organisation))
        self._sum_row_count += key not in state.served
        served = _count(state.served.get(key, 0) + _integer(change))
        state.served[key] = served
        return SumRow(*key, served)

    def _snapshot(self, fields: list[Any]) -> Snapshot | None:
        is_last, router, incarnation, zone, rows = fields
        identity = RouterIdentity(
            self._name(router), _count(incarnation), self._name(zone)
        )
        counters = tuple([self._snapshot_row(row) for row in _rows(rows)])
        self._snapshot_parts.append(OriginCounters(identity, counters))
        self._snapshot_row_count += max(len(counters), 1)
        if self._snapshot_row_count > ROWS_LIMIT:
            raise ProtocolError(f"a snapshot has more than {ROWS_LIMIT} counters")
        if not _flag(is_last):
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
            _count(served),
            _count(lift),
            _count(waiting),
            _count(running),
            None if deadline is None else _integer(deadline),
        )

    def _configuration_request(self, fields: list[Any]) -> ConfigurationRequest:
        (version,) = fields
        return ConfigurationRequest(_count(version))

    def _configuration(self, fields: list[Any]) -> Configuration:
        version, document = fields
        return Configuration(_count(version), document)

    def _upstream_state(self, fields: list[Any]) -> UpstreamState:
        replica, incarnation, leaving = fields
        return UpstreamState(self._name(replica), _count(incarnation), _flag(leaving))

    def _upstream_list(self, fields: list[Any]) -> UpstreamList:
        made_at_ms, rows = fields
        upstreams = tuple([self._upstream(row) for row in _rows(rows)])
        return UpstreamList(_count(made_at_ms), upstreams)

    def _upstream(self, fields: Any) -> UpstreamRow:
        replica, service, zone, host, port, leaving = fields
        return UpstreamRow(
            self._name(replica),
            self._name(service),
            self._name(zone),
            Address(self._name(host), _port(port)),
            _flag(leaving),
        )


def _port(value: Any) -> int:
    if not 0 < _count(value) <= 65_535:
        raise ProtocolError(f"port {value} is not between 1 and 65535")
    return _count(value)


def _integer(value: Any) -> int:
    if type(value) is not int or not -_INTEGER_LIMIT < value < _INTEGER_LIMIT:
        raise ProtocolError(f"{value!r:.80} is not an integer of 62 bits")
    return value


def _count(value: Any) -> int:
    if type(value) is not int or not 0 <= value < _INTEGER_LIMIT:
        raise ProtocolError(f"{value!r:.80} is not a count")
    return value


def _flag(value: Any) -> bool:
    if type(value) is not int or value not in (0, 1):
        raise ProtocolError(f"{value!r:.80} is not 0 or 1")
    return value == 1


def _text(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= NAME_LIMIT_CHARACTERS:
        raise ProtocolError(f"{value!r:.80} is not a name")
    return value


def _rows(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise ProtocolError(f"{value!r:.80} is not a list")
    return value


def _pad(fields: Any, required: int, defaults: tuple[Any, ...]) -> list[Any]:
    if not isinstance(fields, list) or len(fields) < required:
        raise ProtocolError(f"{fields!r:.80} is not a row")
    return fields + list(defaults[len(fields) - required :])

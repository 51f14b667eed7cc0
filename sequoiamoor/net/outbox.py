"""Queue of the messages to one peer."""

from __future__ import annotations

from ..core.messages import (
    ColdReplicas,
    ColdRow,
    Configuration,
    ConfigurationRequest,
    Confirmation,
    EvacuationRow,
    Evacuations,
    FeedStatus,
    GrantRow,
    Grants,
    Hello,
    LoadRow,
    Loads,
    Message,
    PartCaseRow,
    PartCases,
    Report,
    Snapshot,
    Sum,
    UpstreamList,
    UpstreamState,
)
from ..core.part_cases import PartKey
from ..types import ReplicaId, ZoneName

MAX_CASES_PER_MESSAGE = 64


class Outbox:
    """Queue of the messages to one peer.

    Its size is bounded by the numbers of replicas, sums, cases and zones: grants, loads
    and upstream states are kept per replica, sums per scope and part, cases per prompt
    part, evacuations per zone, cold replicas by identifier, and of the other kinds only
    the latest message. ``Hello`` and ``Snapshot`` are sent only at the start of a
    connection.

    Attributes:
        is_report_early: Whether every queued report was put before its interval ended.
        is_empty: Whether no message is queued.
    """

    def __init__(self) -> None:
        self._clear()

    def _clear(self) -> None:
        self._first_messages: list[Message] = []
        self._upstream_states: dict[ReplicaId, UpstreamState] = {}
        self._grants: dict[ReplicaId, GrantRow] = {}
        self._acknowledged = 0
        self._incarnation = 0
        self._loads: dict[ReplicaId, LoadRow] = {}
        self._cases: dict[PartKey, PartCaseRow] = {}
        self._evacuations: dict[ZoneName, EvacuationRow] = {}
        self._cold: dict[ReplicaId, ColdRow] = {}
        self._configuration_request: ConfigurationRequest | None = None
        self._configuration: Configuration | None = None
        self._confirmation: Confirmation | None = None
        self._feed_status: FeedStatus | None = None
        self._upstream_list: UpstreamList | None = None
        self._report: Report | None = None
        self._sums: dict[tuple[ZoneName, int], Sum] = {}
        self.is_report_early = True
        self.is_empty = True

    def put(self, message: Message, *, is_early: bool = False) -> None:
        """Adds a message; it may replace an earlier one.

        Args:
            message: The message.
            is_early: Whether the message is a report sent before its interval ends.
        """
        self.is_empty = False
        match message:
            case Report():
                self._report = message
                self.is_report_early = self.is_report_early and is_early
            case Grants(rows, acknowledged, incarnation):
                if incarnation != self._incarnation:
                    # The queued grants are for an earlier incarnation of the receiver.
                    self._grants.clear()
                self._grants.update((row.replica_id, row) for row in rows)
                self._acknowledged = acknowledged
                self._incarnation = incarnation
            case Loads(rows):
                self._loads.update((row.replica_id, row) for row in rows)
            case PartCases(case_rows):
                self._cases.update((row.case.key, row) for row in case_rows)
            case Evacuations(evacuation_rows):
                self._evacuations.update((row.zone, row) for row in evacuation_rows)
            case ColdReplicas(cold_rows):
                self._cold.update((row.replica_id, row) for row in cold_rows)
            case Sum():
                self._sums[message.scope, message.part] = message
            case UpstreamState():
                self._upstream_states[message.replica_id] = message
            case ConfigurationRequest():
                self._configuration_request = message
            case Configuration():
                if (
                    self._configuration is None
                    or message.version > self._configuration.version
                ):
                    self._configuration = message
            case Confirmation():
                self._confirmation = message
            case FeedStatus():
                self._feed_status = message
            case UpstreamList():
                self._upstream_list = message
            case Hello() | Snapshot():
                self._first_messages.append(message)

    def take(self) -> list[Message]:
        """Removes and returns all messages in the order to send them."""
        messages: list[Message] = [
            message for message in self._first_messages if isinstance(message, Hello)
        ]
        if self._evacuations:
            messages.append(Evacuations(tuple(self._evacuations.values())))
        if self._cold:
            messages.append(ColdReplicas(tuple(self._cold.values())))
        # The sum of a zone precedes the counters of the single origins it includes.
        messages.extend(self._sums.values())
        messages.extend(
            message
            for message in self._first_messages
            if not isinstance(message, Hello)
        )
        if self._upstream_list is not None:
            messages.append(self._upstream_list)
        messages.extend(self._upstream_states.values())
        case_rows = list(self._cases.values())
        messages.extend(
            PartCases(tuple(case_rows[start : start + MAX_CASES_PER_MESSAGE]))
            for start in range(0, len(case_rows), MAX_CASES_PER_MESSAGE)
        )
        if self._grants:
            rows = tuple(self._grants.values())
            messages.append(Grants(rows, self._acknowledged, self._incarnation))
        if self._confirmation is not None:
            messages.append(self._confirmation)
        if self._feed_status is not None:
            messages.append(self._feed_status)
        if self._configuration_request is not None:
            messages.append(self._configuration_request)
        if self._configuration is not None:
            messages.append(self._configuration)
        if self._report is not None:
            messages.append(self._report)
        if self._loads:
            messages.append(Loads(tuple(self._loads.values())))
        self._clear()
        return messages

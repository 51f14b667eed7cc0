"""Fair order on slots that every router sees free, near the cached prompt parts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from random import Random

from ..core.actions import Action
from ..core.blackboard import Blackboard
from ..core.fairness import (
    RecentService,
    ServiceView,
    may_use_slot,
)
from ..core.messages import Grants, Report, SlotRow
from ..core.pace import StreamPace
from ..core.peer_loads import PeerLoads
from ..core.prefill import PromptReads
from ..core.rendezvous import hash_pair
from ..core.routed import RoutedCall
from ..core.upstreams import Replica
from ..types import (
    CallRequest,
    OrganisationName,
    ReplicaId,
    RouterId,
    RouterIdentity,
    ServiceKind,
    ServiceName,
)
from .reporting import ReportingPolicy

PASSED_REQUESTS = 24
"""Waiting requests of an organisation that are tried before another one's turn."""

SPILL_SECONDS = 0.06
"""Time for which a request waits for a replica that has its prompt cached before it
goes to one that has to read it. A slot comes free in about this time under load."""

REPLICAS_PER_PART = 3
"""Replicas that a request prefers one after the other before it takes any."""

SPILL_FREE_PART = 0.12
"""Part of its slots that a replica without the prompt must have free. When all are
busy, reading a prompt again costs more than the slot that it would save."""

FAR_FREE_PART = 0.3
"""The same for a replica that the part does not prefer."""

TARGET_PART = 0.95
"""Part of the target within which the first event is to come; the rest is for the way
to the caller."""

LARGE_PROMPT_PART = 0.25
"""Part of the target that other prompts ahead of a large one may take."""

CUT_STREAM_FACTOR = 2.0
"""Length that is assumed of a stream that was cut at its time, in events made."""

SHARE_SECONDS = 2.0
"""Time over which work counts for the shares; shares are owed every few seconds."""

PACE_SECONDS = 1.0
"""Time between two looks at the pace of streams."""

WARM_SECONDS = 8.0
"""Time for which a replica counts as one that has a part; later the part may have
given way to others in its cache."""

WARM_PARTS_KEPT = 4_096

LEAST_SHARED_TOKENS = 256
"""Prompt parts below this size are read again within a few milliseconds, which is less
than the prompts ahead of a request at a busy replica take."""


class SharedLoadPolicy(ReportingPolicy):
    """Starts work where the reports of all routers leave a slot free.

    Reports are up to one interval old, so routers can start a few requests more than
    a replica has slots; these wait in the replica for a moment.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__(rng=rng)
        self._peers = PeerLoads()
        self._recent = RecentService(SHARE_SECONDS)
        self._reads = PromptReads()
        self._pace = StreamPace()
        self._paced_at = float("-inf")
        self._told: dict[ReplicaId, int] = {}
        self._warm: OrderedDict[tuple[str, ReplicaId], float] = OrderedDict()

    # Slots.

    def _free_slots(self, board: Blackboard, replica: Replica, now: float) -> int:
        window = self._agreed_window(board, replica, now)
        return window - replica.in_use - self._peers.get(replica.replica_id).in_use

    def _own_window(self, board: Blackboard, replica: Replica, now: float) -> int:
        """Returns how many requests the replica should run, as seen by this router."""
        pool = self._pool(board, replica.service, now)
        window = pool.windows.get(replica.replica_id, 0)
        return int(window * self._pace.factor(replica.service, replica.replica_id))

    def _agreed_window(self, board: Blackboard, replica: Replica, now: float) -> int:
        """Returns the mean of what the routers take for the replica's window.

        A router with a smaller window than the others would see no free slot while
        they use it.
        """
        own = self._own_window(board, replica, now)
        told = self._peers.get(replica.replica_id)
        if not own or not told.window_count:
            return own
        return round((own + told.window) / (1 + told.window_count))

    def _tokens_ahead(self, replica_id: ReplicaId) -> int:
        """Returns the tokens that the replica has still to read for all routers."""
        peers = self._peers.get(replica_id)
        return self._reads.tokens(replica_id) + peers.prompt_tokens

    def _may_read(
        self, request: RoutedCall, replica_id: ReplicaId, tokens: int, now: float
    ) -> bool:
        """Returns whether the first event would come within the target.

        A prompt that takes most of the target by itself starts when little is ahead.
        """
        target = request.route.target
        model = self._reads.model(request.service)
        slack = target * TARGET_PART - model.predict(tokens)
        if slack < LARGE_PROMPT_PART * target:
            slack = LARGE_PROMPT_PART * target
        else:
            slack -= now - request.arrival
        return model.per_token * self._tokens_ahead(replica_id) <= max(slack, 0.0)

    def find_wait_limit(self, request: CallRequest) -> float | None:
        """Returns how many seconds a request may wait and still meet its target."""
        if not isinstance(request, RoutedCall) or not request.parts:
            return None
        target = request.route.target
        model = self._reads.model(request.service)
        slack = target * TARGET_PART - model.predict(request.own_tokens)
        return max(slack, LARGE_PROMPT_PART * target)

    def _allowed_gap(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> float:
        """Returns the difference of served work that may be ignored.

        The rate of an engine is declared for the service and not reported by it.
        """
        declaration = board.configuration.declaration
        if declaration is None or service not in declaration.services:
            return super()._allowed_gap(board, service, now)
        rate = declaration.limits.tokens_per_second
        if declaration.services[service].kind is ServiceKind.PLAIN or rate is None:
            # A slot of a plain service does 1,000 ms of work in a second.
            rate = 1000.0 * self._pool(board, service, now).slots
        return board.options.allowed_gap_seconds * rate

    def _build_view(
        self, board: Blackboard, service: ServiceName, now: float
    ) -> ServiceView:
        view = super()._build_view(board, service, now)
        for name, organisation in view.organisations.items():
            total = board.ledger.total(service, name)
            done = total - board.ledger.lift(service, name)
            organisation.key += self._recent.units(service, name, done) - total
        return view

    def _update_recent(self, board: Blackboard, now: float) -> None:
        ledger = board.ledger
        keys = ledger.accounts()
        for service in board.upstreams.services():
            names = self._demands.sum(service, board.members.keys())
            keys |= {(service, name) for name in names}
        self._recent.update(
            {key: ledger.total(*key) - ledger.lift(*key) for key in keys}, now
        )

    # Starts.

    def _may_start(
        self,
        name: OrganisationName,
        view: ServiceView,
        free: list[tuple[Replica, int]],
    ) -> bool:
        waiting = sum(one.waiting for one in view.organisations.values())
        is_contested = waiting > sum(count for _, count in free)
        return not is_contested or may_use_slot(name, view, is_granted=True)

    def _list_next(
        self,
        board: Blackboard,
        service: ServiceName,
        name: OrganisationName,
        free: list[tuple[Replica, int]],
        now: float,
    ) -> list[CallRequest]:
        return board.queues.list_first(service, name, PASSED_REQUESTS)

    def _find_place(
        self,
        board: Blackboard,
        request: CallRequest,
        free: list[tuple[Replica, int]],
        now: float,
    ) -> Replica | None:
        if not free:
            return None
        if not isinstance(request, RoutedCall) or not request.parts:
            return self._choose_replica(board, request, free)
        part = _find_part(request)
        if part is None:
            return self._find_quickest(board, request, free, now)
        pool = self._pool(board, request.service, now)
        by_id = {one.replica_id: (one, count) for one, count in free}
        ranked = sorted(
            (one.replica_id for one in pool.replicas if one.is_available(now)),
            key=lambda one: hash_pair(part, one),
            reverse=True,
        )
        waited = now - request.arrival
        for index, replica_id in enumerate(ranked):
            known = by_id.get(replica_id)
            if known is None:
                continue
            replica, count = known
            is_near = index == 0 or self._is_warm(part, replica_id, now)
            tokens = request.own_tokens if is_near else request.prompt_tokens
            if not self._may_read(request, replica_id, tokens, now):
                continue
            if is_near:
                return replica
            is_far = index >= REPLICAS_PER_PART
            if waited < SPILL_SECONDS * min(index, REPLICAS_PER_PART):
                continue
            least = FAR_FREE_PART if is_far else SPILL_FREE_PART
            if count > least * self._agreed_window(board, replica, now):
                return replica
        return None

    def _find_quickest(
        self,
        board: Blackboard,
        request: RoutedCall,
        free: list[tuple[Replica, int]],
        now: float,
    ) -> Replica | None:
        """Returns the replica with the least to read, if the target can be met there.

        Among replicas that have the same to read, the one with the most free slots. A
        long stream goes where it ends in time, or else to the quickest replica.
        """
        expected = self._count_events(board, request)
        found = []
        for one, count in free:
            name = one.replica_id
            if not self._may_read(request, name, request.prompt_tokens, now):
                continue
            interval = self._pace.interval(name)
            is_in_time = now + expected * interval <= request.ends_at
            slowness = 0.0 if is_in_time else interval
            found.append((slowness, self._tokens_ahead(name), -count, name, one))
        return min(found)[-1] if found else None

    def _count_events(self, board: Blackboard, request: RoutedCall) -> int:
        """Returns how many events the stream is expected to have."""
        tokens = board.configuration.find_event_tokens(request.service)
        return request.output_tokens // tokens

    def _is_warm(self, part: str, replica_id: ReplicaId, now: float) -> bool:
        used_at = self._warm.get((part, replica_id))
        return used_at is not None and now - used_at < WARM_SECONDS

    def _note_warm(self, part: str, replica_id: ReplicaId, now: float) -> None:
        key = (part, replica_id)
        self._warm[key] = now
        self._warm.move_to_end(key)
        while len(self._warm) > WARM_PARTS_KEPT:
            self._warm.popitem(last=False)

    def _note_started(
        self,
        board: Blackboard,
        request: CallRequest,
        replica_id: ReplicaId,
        now: float,
    ) -> None:
        part = _find_part(request)
        if part is not None:
            self._note_warm(part, replica_id, now)
        if isinstance(request, RoutedCall) and request.parts:
            self._reads.start(
                request.call_id,
                request.service,
                replica_id,
                request.own_tokens,
                ahead=self._tokens_ahead(replica_id),
                now=now,
            )
        self._request_report(board, now)

    def note_first_event(
        self, board: Blackboard, request: CallRequest, now: float
    ) -> None:
        """Takes note that the prompt of a request was read."""
        self._reads.finish(request.call_id, now, is_answered=True)

    def finish(
        self, board: Blackboard, request: CallRequest, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        """Takes note that an attempt ended and its slot is free."""
        self._reads.finish(request.call_id, now, is_answered=False)
        if isinstance(request, RoutedCall) and request.events:
            self._note_pace(board, request, replica_id, now)
        return super().finish(board, request, replica_id, now)

    def _free_slot(
        self, board: Blackboard, service: ServiceName, replica_id: ReplicaId, now: float
    ) -> list[Action]:
        self._request_report(board, now)
        return []

    def _note_pace(
        self,
        board: Blackboard,
        request: RoutedCall,
        replica_id: ReplicaId,
        now: float,
    ) -> None:
        events = request.events
        if now >= request.ends_at:
            events = round(events * CUT_STREAM_FACTOR)
        self._pace.note_end(
            request.service,
            replica_id,
            request.route,
            events=request.events,
            length=max(events, self._count_events(board, request)),
            seconds=request.last_event_at - request.first_event_at,
        )

    # Reports.

    def step(self, board: Blackboard, now: float) -> list[Action]:
        """Does the periodic work of the ledger."""
        actions = super().step(board, now)
        board.ledger.note_live({board.identity, *board.members.values()})
        self._peers.keep_only(board.members.values())
        self._update_recent(board, now)
        if now - self._paced_at >= PACE_SECONDS:
            self._paced_at = now
            self._pace.refresh()
        return actions

    def build_slots(self, board: Blackboard, now: float) -> tuple[SlotRow, ...]:
        """Returns the slots that this router uses.

        A replica is named once more when none is left.
        """
        rows = []
        for replica in board.upstreams.replicas.values():
            if replica.in_use or self._told.get(replica.replica_id):
                tokens = self._reads.tokens(replica.replica_id)
                name = replica.replica_id
                window = self._own_window(board, replica, now)
                rows.append(SlotRow(name, 0, 0, 0, replica.in_use, tokens, window))
        self._told = {row.replica_id: row.in_use for row in rows}
        return tuple(rows)

    def take_report(
        self, board: Blackboard, origin: RouterIdentity, report: Report, now: float
    ) -> list[Action]:
        """Takes a report of a peer."""
        self._take_counters(board, origin, report, now)
        self._peers.take(origin, report.slots)
        return []

    def take_grants(
        self, board: Blackboard, sender: RouterIdentity, grants: Grants, now: float
    ) -> list[Action]:
        """Does nothing: no slots are granted."""
        return []

    def forget_except(self, board: Blackboard, routers: Collection[RouterId]) -> None:
        """Drops what is kept of routers that the membership has forgotten."""
        self._demands.forget_except(routers)


def _find_part(request: CallRequest) -> str | None:
    """Returns the last prompt part that other requests share, if it is large."""
    if not isinstance(request, RoutedCall) or len(request.parts) < 2:
        return None
    if request.shared_tokens < LEAST_SHARED_TOKENS:
        return None
    return request.parts[-2].part_id

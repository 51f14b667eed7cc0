"""Explanation of where a request would go, computed on copies of the router's state."""

from __future__ import annotations

from copy import copy, deepcopy
from dataclasses import replace
from random import Random

from ..core.blackboard import Blackboard
from ..core.choices import Choices
from ..core.prompt_costs import ReplicaState, expect_wait
from ..core.quarantine import find_retry_after
from ..core.retry_after import RETRY_AFTER_JITTER_FRACTION, RETRY_AFTER_TARGETS
from ..core.rounds import Prompt
from ..core.routed_call import RoutedCall
from ..core.routes import (
    DEADLINE_MARGIN_SECONDS,
    DEFAULT_TIMEOUT_SECONDS,
    Route,
    build_routes,
)
from ..core.start_limits import StartLimits
from ..core.statements import draw_retry_after
from ..core.upstreams import Replica
from ..core.windows import SlotRates
from ..errors import (
    ConfigurationUnusableError,
    NotFoundError,
    NotReadyError,
    PartQuarantinedError,
    QueueFullError,
    RefusalError,
    RouterShuttingDownError,
    UnknownOrganisationError,
    UpstreamsUnavailableError,
)
from ..types import (
    PUBLIC_ORGANISATION,
    ReplicaId,
    RouteKind,
    ServiceName,
)
from .placement_report import Explanation, Question, Refusal, ReplicaRow
from .shared_load import (
    MAX_COMPARED_REQUESTS,
    MAX_TRIED_REQUESTS,
    SharedLoadPolicy,
)

NOT_READY_RETRY_SECONDS = 0.2
"""Retry-After of a router without a configuration."""


def explain(
    board: Blackboard, policy: SharedLoadPolicy, question: Question, now: float
) -> Explanation:
    """Returns where a request would go; changes neither board nor policy.

    Args:
        board: State of the router.
        policy: Its policy.
        question: The request.
        now: Monotonic time in seconds.
    """
    declaration = board.configuration.declaration
    if declaration is None:
        return Explanation(
            refusal=Refusal(
                NotReadyError.code, "no configuration yet", NOT_READY_RETRY_SECONDS
            )
        )
    table = build_routes(declaration)
    route = table.find(question.host, question.path)
    if table.is_unusable(question.host, question.path):
        return Explanation(
            refusal=Refusal(
                ConfigurationUnusableError.code,
                f"the route of host {question.host!r} and path {question.path!r} "
                "cannot be used as it is declared",
            )
        )
    if route is None:
        return Explanation(
            refusal=Refusal(
                NotFoundError.code,
                f"no route of host {question.host!r} has a prefix of {question.path!r}",
            )
        )
    service = max(route.services, key=lambda weighted: weighted[1])[0]
    request = _build_request(question, route, service, now)
    copied_board = _copy_board(board, service)
    before = sum(
        other.deadline <= request.deadline
        for other in copied_board.queues.list_first(
            service, request.organisation, len(copied_board.queues)
        )
    )
    queue_refusal = None
    try:
        copied_board.queues.add(request)
    except QueueFullError as error:
        copied_board.queues.put_back(request)
        retry_after = _find_retry_after(board, request, error, now)
        queue_refusal = Refusal(error.code, str(error), retry_after)
    preview = _Preview(policy, copied_board, request, now)
    wait_limit = preview.find_wait_limit(request)
    if wait_limit is not None:
        request.wait_limit_at = min(now + wait_limit, request.ends_at)
    refusal = _find_refusal(board, request, question, now) or queue_refusal
    placed, reason = preview.place(before)
    outcome = "refused" if refusal else "start" if placed else "wait"
    return Explanation(
        route=route.name,
        service=service,
        services=tuple(name for name, _ in route.services),
        refusal=refusal,
        waiting_before=before,
        outcome=outcome,
        reason=reason if outcome == "wait" else None,
        drawn_among=placed if outcome == "start" else (),
        replicas=preview.list_rows(),
    )


def _build_request(
    question: Question, route: Route, service: ServiceName, now: float
) -> RoutedCall:
    timeout = min(DEFAULT_TIMEOUT_SECONDS, route.timeout)
    return RoutedCall(
        call_id="explained",
        request_id="explained",
        organisation=PUBLIC_ORGANISATION
        if route.is_public or question.organisation is None
        else question.organisation,
        class_name=route.name,
        service=service,
        arrival=now,
        deadline=now + route.target,
        wait_limit_at=now + route.find_wait_seconds(timeout),
        body=b"",
        route=route,
        is_repeatable=route.is_repeatable,
        ends_at=now + timeout - DEADLINE_MARGIN_SECONDS,
        parts=question.parts,
        output_tokens=question.output_tokens,
    )


def _find_refusal(
    board: Blackboard, request: RoutedCall, question: Question, now: float
) -> Refusal | None:
    declaration = board.configuration.declaration
    assert declaration is not None
    if board.is_leaving:
        return Refusal(RouterShuttingDownError.code, "this router is leaving", 0.0)
    name = question.organisation
    if (
        name is not None
        and not request.route.is_public
        and name not in declaration.organisations
    ):
        return Refusal(
            UnknownOrganisationError.code, f"no organisation {name!r} is declared"
        )
    for key in request.shared_keys:
        case = board.quarantine.cases.get(key)
        if case is not None and case.applies_to(request.organisation):
            return Refusal(
                PartQuarantinedError.code,
                f"prompt part {key.part_id!r} is in quarantine",
                find_retry_after(case, now),
            )
    return_time = board.upstreams.find_return_time(request.service, now)
    if return_time is not None and request.wait_limit_at < return_time:
        return Refusal(
            UpstreamsUnavailableError.code,
            f"no replica of {request.service!r} takes requests within the time that "
            "the request may wait",
            draw_retry_after(return_time, now, 0.0),
        )
    return None


def _find_retry_after(
    board: Blackboard, request: RoutedCall, error: RefusalError, now: float
) -> float | None:
    """Returns the lowest Retry-After of a request that is refused when it arrives."""
    return_time = board.upstreams.find_return_time(request.service, now)
    if return_time is not None:
        return draw_retry_after(return_time, now, 0.0)
    if request.route.kind is RouteKind.STREAM:
        least = 1 - RETRY_AFTER_JITTER_FRACTION
        return RETRY_AFTER_TARGETS * request.route.target * least
    return error.retry_after


def _copy_board(board: Blackboard, service: ServiceName) -> Blackboard:
    """Returns a board for a choice without effect on the router.

    It has the replicas of one service only.
    """
    upstreams = copy(board.upstreams)
    upstreams.replicas = {}
    fleet = copy(upstreams.cold)
    if fleet is not None:
        fleet.marked, fleet.unannounced = dict(fleet.marked), dict(fleet.unannounced)
    for replica in board.upstreams.list_by_service(service):
        copied = copy(replica)
        if replica.cold is not None and fleet is not None:
            copied.cold = copy(replica.cold)
            copied.cold.fleet = fleet
            copied.cold.sent_at = replica.cold.sent_at.copy()
        upstreams.replicas[replica.replica_id] = copied
    return replace(
        board,
        queues=board.queues.copy(),
        upstreams=upstreams,
        ledger=board.ledger.copy_for_preview(),
        choices=Choices(),
    )


class _Preview(SharedLoadPolicy):
    """A copy of a policy, to place one request on a copy of the board."""

    def __init__(
        self,
        policy: SharedLoadPolicy,
        board: Blackboard,
        request: RoutedCall,
        now: float,
    ) -> None:
        # The generator is not used, and the real one must not advance.
        super().__init__(rng=Random(0))
        rng = self._rng
        vars(self).update(vars(policy))
        self._rng = rng
        self._drawn_among: tuple[ReplicaId, ...] = ()
        service = request.service
        self._board, self._request, self._now = board, request, now
        self._peers = self._peers.copy()
        self._peers.forget_read_prompts(now)
        self._prompts = copy(self._prompts)
        self._prompts.memory = self._prompts.memory.copy()
        self._reads = copy(self._reads)
        self._reads.models = dict(self._reads.models)
        # Only services that are not declared need the rates of the real policy.
        self._rates = SlotRates()
        self._pools = {}
        self._own_windows = {}
        self._limits = {service: deepcopy(self._limits.get(service, StartLimits()))}
        self._round = self._begin_round(board, service, now)
        self._rounds = {service: self._round}
        # All replicas with room are compared, since the policy draws among equals.
        self._round.quick = tuple(
            replica_id
            for replica_id, room in self._round.rooms.items()
            if room.requests
        )
        self._prompt: Prompt = self._describe_prompt(board, self._round, request)

    def _draw(
        self, board: Blackboard, free: list[tuple[Replica, int]], now: float
    ) -> Replica:
        """Records among which replicas the policy would draw; returns the first."""
        self._drawn_among = tuple(replica.replica_id for replica, _ in free)
        return free[0][0]

    def place(self, before: int) -> tuple[tuple[ReplicaId, ...], str | None]:
        """Returns the replicas of which one would be chosen, or why none would.

        Args:
            before: Waiting requests of its organisation that come first.
        """
        board, current, request, now = (
            self._board,
            self._round,
            self._request,
            self._now,
        )
        if not current.available:
            return (), "no replica is available"
        if not current.placeable:
            return (), "all replicas are full"
        most = MAX_COMPARED_REQUESTS if current.has_costs else MAX_TRIED_REQUESTS
        if before >= most:
            return (), f"{before} requests of its organisation come first"
        load = self._describe_load(
            board,
            request.service,
            request.organisation,
            current.view.organisations[request.organisation],
        )
        if not self._may_take_place(
            board, request.service, request.organisation, load, current, now
        ):
            return (), "the organisation has its share"
        replica = self._place_request(board, current, request, current.available, now)
        if replica is None:
            return (
                (),
                "no replica with room is in time, or waiting is expected to be quicker",
            )
        return self._drawn_among or (replica.replica_id,), None

    def list_rows(self) -> tuple[ReplicaRow, ...]:
        """Returns what the request would find at each replica of its service."""
        replicas = self._board.upstreams.list_by_service(self._request.service)
        return tuple(self._describe_row(replica) for replica in replicas)

    def _describe_row(self, replica: Replica) -> ReplicaRow:
        board, request, now = self._board, self._request, self._now
        state = self._describe_state(replica)
        tokens = self._count_unread(replica, state.rank)
        if self._round.has_costs and request.parts:
            tokens = self._prompts.count_tokens_to_read(request, state, now)
        reason = _find_reason_against(replica, now)
        seconds = None
        if replica.is_available(now):
            model = self._reads.model(request.service)
            unread = state.ahead + tokens
            seconds = model.base_seconds + unread * model.seconds_per_token * state.pace
            if state.free <= 0:
                seconds += expect_wait(
                    hold_seconds=self._limits[request.service].mean_seconds,
                    pace=state.pace,
                    running=state.others + replica.in_use + min(state.free, 0),
                    excess=max(-state.free, 0),
                    rivals=max(self._round.count_waiting() - 1, 0)
                    / len(self._round.available),
                    waited=0.0,
                )
        age = board.replica_loads.find_age(replica, now)
        return ReplicaRow(
            replica.replica_id,
            reason or "available",
            state.free,
            self._peers.find_mean_age(now) if age is None else age,
            request.prompt_tokens - tokens,
            state.ahead,
            seconds,
        )

    def _describe_state(self, replica: Replica) -> ReplicaState:
        """Returns what is known of a replica, also of one that gets no requests."""
        board, now = self._board, self._now
        return ReplicaState(
            replica,
            self._prompt.ranks.get(replica.replica_id, 1),
            free=self._count_free_slots(board, replica, now),
            others=self._count_others(board, replica, now),
            ahead=self._count_tokens_ahead(board, replica, now),
            pace=board.replica_loads.find_pace(replica, now),
            capacity=self._round.capacity,
        )

    def _count_unread(self, replica: Replica, rank: int) -> int:
        """Returns the tokens to read where replicas do not report their load."""
        part = self._prompt.part
        if part is not None and (
            rank == 0 or self._is_part_cached(part, replica.replica_id, self._now)
        ):
            return self._request.own_tokens
        return self._request.prompt_tokens


def _find_reason_against(replica: Replica, now: float) -> str | None:
    """Returns why a replica gets no request; None if it is available."""
    if replica.is_available(now):
        is_cold = replica.cold is not None and replica.cold.is_cold(now)
        return "available, cold" if is_cold else None
    if replica.is_leaving or replica.stated.is_leaving:
        return "leaving"
    if replica.is_evacuated:
        return "evacuated"
    if now < replica.ejected_until:
        return f"ejected for {replica.ejected_until - now:.1f} s"
    if not replica.stated.may_start(now):
        hold = replica.stated.find_hold(now)
        return f"turned away for {hold:.1f} s" if hold else "tried by one request"
    if replica.failures and now < replica.probe_at:
        return f"failed connections: {replica.failures}"
    return "cold"

"""Conversion of HTTP requests into calls on the routes in force."""

from __future__ import annotations

from random import Random

from ..core.blackboard import Blackboard, UnreadableDocument
from ..core.caller_ages import CallerAges
from ..core.freshness import KeyFreshness
from ..core.routed_call import RoutedCall
from ..core.routes import (
    DEADLINE_MARGIN_SECONDS,
    DEFAULT_TIMEOUT_SECONDS,
    RouteTable,
    build_routes,
)
from ..errors import (
    ConfigurationUnusableError,
    KeyUnconfirmedError,
    MalformedRequestError,
    MethodNotAllowedError,
    NotFoundError,
    NotReadyError,
    UnknownKeyError,
)
from ..net.formats import CallerFormat
from ..net.http import Request
from ..types import PUBLIC_ORGANISATION

REFUSED_METHODS = frozenset({"CONNECT"})
"""Methods whose successful answers have no form in which they can be passed on."""


class RouteCalls:
    """Converts requests into calls by the configuration in force."""

    def __init__(
        self,
        board: Blackboard,
        caller_format: CallerFormat,
        freshness: KeyFreshness,
        *,
        rng: Random,
    ) -> None:
        self._board = board
        self._caller_format = caller_format
        self._freshness = freshness
        self._rng = rng
        self._table: RouteTable | None = None
        self._table_source: tuple[int, UnreadableDocument | None] | None = None
        self._call_count = 0
        self._caller_ages = CallerAges()

    def _get_route_table(self) -> RouteTable:
        state = self._board.configuration
        if state.declaration is None:
            raise NotReadyError(
                "this router has no configuration yet; try another one",
                retry_after=0.2,
            )
        source = (state.version, state.unreadable)
        if self._table is None or self._table_source != source:
            unreadable = state.unreadable
            listed = None if unreadable is None else unreadable.listed
            self._table = build_routes(state.declaration, listed=listed)
            self._table_source = source
        return self._table

    def find_organisation(self, request: Request) -> str | None:
        """Returns the organisation whose key a request carries; None if unknown.

        This tells to whom a connection belongs and gives no right.
        """
        key = self._caller_format.read_key(request)
        if key is None or self._board.configuration.declaration is None:
            return None
        return self._get_route_table().find_organisation(key)

    def parse(
        self,
        request: Request,
        request_id: str,
        now: float,
        *,
        received_at: float | None = None,
    ) -> RoutedCall:
        """Converts a request into a call.

        Args:
            request: Request on a route.
            request_id: Identifier that the caller gave the request.
            now: Monotonic time in seconds.
            received_at: Monotonic time in seconds from which its timeout counts; now
                by default.

        Raises:
            RefusalError: If the request cannot be accepted.
        """
        if request.http_version != "1.1":
            raise MalformedRequestError(
                f"HTTP/{request.http_version} cannot carry a stream; send HTTP/1.1"
            )
        if request.method in REFUSED_METHODS:
            raise MethodNotAllowedError(
                f"method {request.method} begins a tunnel; use another one"
            )
        table = self._get_route_table()
        host = self._caller_format.read_host(request)
        route = table.find(host, request.path)
        if table.is_unusable(host, request.path):
            raise ConfigurationUnusableError(
                f"the route of host {host[:80]!r} and path {request.path[:80]!r} "
                "cannot be used as the operators declared it; ask them to correct it"
            )
        if route is None:
            raise NotFoundError(
                f"no route of host {host[:80]!r} has a prefix of path "
                f"{request.path[:80]!r}; check host and path"
            )
        organisation = (
            PUBLIC_ORGANISATION if route.is_public else self._identify(request, table)
        )
        remaining = (
            self._caller_format.read_remaining(request) or DEFAULT_TIMEOUT_SECONDS
        )
        ends_at = min(remaining, route.timeout) + (
            now if received_at is None else received_at
        )
        wait_seconds = route.find_wait_seconds(ends_at - now)
        # A request that has already missed its target is queued by its timeout instead,
        # so that it does not make others of its organisation miss theirs.
        is_overdue = (
            self._caller_ages.estimate(route.name, remaining, now) > route.target
        )
        length_hint, token_limit = self._caller_format.read_output_tokens(request)
        self._call_count += 1
        return RoutedCall(
            call_id=str(self._call_count),
            request_id=request_id,
            organisation=organisation,
            class_name=route.name,
            service=route.choose_service(self._rng),
            arrival=now,
            deadline=ends_at if is_overdue else now + route.target,
            wait_limit_at=now + wait_seconds,
            body=request.body,
            route=route,
            method=request.method,
            target=request.target,
            is_repeatable=route.is_repeatable,
            ends_at=ends_at - DEADLINE_MARGIN_SECONDS,
            parts=self._caller_format.read_prompt(request),
            # The smaller of the two, or the one that is given.
            output_tokens=min(
                length_hint or token_limit or 0, token_limit or length_hint or 0
            ),
        )

    def _identify(self, request: Request, table: RouteTable) -> str:
        if not self._freshness.is_fresh():
            raise KeyUnconfirmedError(
                "this router cannot confirm that the key is still valid; try another "
                "one",
                retry_after=0.3,
            )
        key = self._caller_format.read_key(request)
        organisation = None if key is None else table.find_organisation(key)
        if key is not None and self._is_undetermined(key, table):
            raise ConfigurationUnusableError(
                "the operators' configuration does not tell this router whether the "
                "API key holds; ask them to correct it"
            )
        if organisation is None:
            raise UnknownKeyError(
                "the API key is missing or belongs to no organisation; send a valid one"
            )
        return organisation

    def _is_undetermined(self, key: str, table: RouteTable) -> bool:
        """Returns whether the newest configuration does not tell if a key holds."""
        if table.find_organisation(key) is None:
            return table.is_unusable_key(key)
        unreadable = self._board.configuration.unreadable
        return (
            unreadable is not None
            and key in table.unlisted_keys
            and not self._freshness.is_recent(unreadable.confirmed_at)
        )

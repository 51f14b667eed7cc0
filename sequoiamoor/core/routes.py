"""Routes of the current configuration: service and organisation of a request."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass
from random import Random

from ..declaration import AcceptedDeclaration, Declaration, UnusableEntries
from ..types import OrganisationName, RouteKind, ServiceName

DEFAULT_TIMEOUT_SECONDS = 30.0
"""Timeout of a request whose caller does not state how long it waits."""

STREAM_WAIT_FRACTION = 0.8
"""Fraction of the target that a stream may wait for a slot; the rest is for its first
event."""

PLAIN_WAIT_FRACTION = 0.5
"""Fraction of its timeout that a request to a plain service may wait for a slot."""

DEADLINE_MARGIN_SECONDS = 0.02
"""Time before its timeout at which a request is ended, so that the caller still gets
the refusal."""


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times are in seconds.

    Attributes:
        name: Name of the route in the configuration.
        host: Host of the requests.
        prefix: Prefix of the path of the requests.
        kind: What may be done with the requests.
        is_resumable: Whether a stream may be resumed at another replica.
        is_public: Whether requests need no key.
        timeout: Longest time from arrival to the end of the answer.
        target: Time to the answer, or to the first event of a stream.
        pause: Longest pause between events of a stream that is on time.
        attempts: Number of replicas that one request may be sent to.
        services: Services of the route with their weights.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    is_resumable: bool
    is_public: bool
    timeout: float
    target: float
    pause: float
    attempts: int
    services: tuple[tuple[ServiceName, float], ...]

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run a second time."""
        return self.kind is RouteKind.REPEATABLE or self.is_resumable

    def find_wait_seconds(self, remaining: float) -> float:
        """Returns how many seconds a request may wait for a slot.

        Args:
            remaining: Seconds until its timeout.
        """
        if self.kind is RouteKind.STREAM:
            return min(self.target * STREAM_WAIT_FRACTION, remaining)
        return remaining * PLAIN_WAIT_FRACTION

    def choose_service(self, rng: Random) -> ServiceName:
        """Returns one of the services, drawn at random by weight."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        return rng.choices(names, [weight for _, weight in self.services])[0]


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by host, longest prefix first, and organisations by key.

    Attributes:
        unlisted_keys: Keys that a newer document, which cannot be decoded, does not
            list.
        unusable: What is known of the entries that cannot be used.
    """

    by_host: Mapping[str, tuple[Route, ...]]
    by_key: Mapping[str, OrganisationName]
    unlisted_keys: frozenset[str] = frozenset()
    unusable: UnusableEntries = UnusableEntries.model_validate({})

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest matching path prefix."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def is_unusable(self, host: str, path: str) -> bool:
        """Returns whether a request may belong to a route that cannot be used."""
        if not (self.unusable.routes or self.unusable.has_other_routes):
            return False
        route = self.find(host, path)
        length = -1 if route is None else len(route.prefix)
        return (route is None and self.unusable.has_other_routes) or any(
            place.host == host
            and path.startswith(place.prefix)
            and len(place.prefix) > length
            for place in self.unusable.routes
        )

    def find_organisation(self, key: str) -> OrganisationName | None:
        """Returns the organisation that holds the key."""
        return self.by_key.get(key)

    def is_unusable_key(self, key: str) -> bool:
        """Returns whether an unknown key may be one of an unusable organisation."""
        return self.unusable.has_other_keys or key in self.unusable.keys


def build_routes(
    declaration: Declaration, *, listed: Container[str] | None = None
) -> RouteTable:
    """Returns the routes of a declaration, longest prefix first.

    Args:
        declaration: The declaration in force.
        listed: Keys of a newer document that cannot be decoded; None without one.
    """
    by_host: dict[str, list[Route]] = {}
    for name, route_declaration in declaration.routes.items():
        route = Route(
            name=name,
            host=route_declaration.host,
            prefix=route_declaration.prefix,
            kind=route_declaration.kind,
            is_resumable=route_declaration.is_resumable,
            is_public=route_declaration.is_public,
            timeout=route_declaration.timeout_ms / 1000,
            target=route_declaration.target_ms / 1000,
            pause=(route_declaration.pause_ms or route_declaration.target_ms) / 1000,
            attempts=route_declaration.attempts,
            services=route_declaration.services,
        )
        by_host.setdefault(route_declaration.host, []).append(route)
    by_key = {
        key: name
        for name, organisation in declaration.organisations.items()
        for key in organisation.keys
    }
    unusable = UnusableEntries.model_validate({})
    if isinstance(declaration, AcceptedDeclaration):
        unusable = declaration.unusable
    return RouteTable(
        by_host={
            host: tuple(
                sorted(routes, key=lambda built_route: -len(built_route.prefix))
            )
            for host, routes in by_host.items()
        },
        by_key=by_key,
        unlisted_keys=frozenset(
            key for key in by_key if listed is not None and key not in listed
        ),
        unusable=unusable,
    )

"""Routes of the configuration in force: where a request goes and whose it is."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from ..declaration import Declaration
from ..types import OrganisationName, RouteKind, ServiceName


@dataclass(frozen=True, slots=True)
class Route:
    """One route; times are in seconds.

    Attributes:
        is_resumable: Whether a stream may go on at another replica.
        is_public: Whether requests need no key.
        timeout: Longest time from arrival to the end of the answer.
        target: Time to the answer, or to the first event of a stream.
        pause: Longest pause between events of a stream that is on time.
        attempts: Replicas that one request may be sent to.
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

    def choose_service(self, rng: Random) -> ServiceName:
        """Returns one of the services, drawn by their parts."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        return rng.choices(names, [part for _, part in self.services])[0]


@dataclass(frozen=True, slots=True)
class RouteTable:
    """Routes by host, and organisations by key."""

    by_host: Mapping[str, tuple[Route, ...]]
    by_key: Mapping[str, OrganisationName]

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of the host with the longest prefix of the path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str) -> OrganisationName | None:
        """Returns the organisation that holds the key."""
        return self.by_key.get(key)


def build_routes(declaration: Declaration) -> RouteTable:
    """Returns the routes of a declaration, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for name, one in declaration.routes.items():
        route = Route(
            name=name,
            host=one.host,
            prefix=one.prefix,
            kind=one.kind,
            is_resumable=one.is_resumable,
            is_public=one.is_public,
            timeout=one.timeout_ms / 1000,
            target=one.target_ms / 1000,
            pause=(one.pause_ms or one.target_ms) / 1000,
            attempts=one.attempts,
            services=one.services,
        )
        by_host.setdefault(one.host, []).append(route)
    return RouteTable(
        by_host={
            host: tuple(sorted(routes, key=lambda one: -len(one.prefix)))
            for host, routes in by_host.items()
        },
        by_key={
            key: name
            for name, organisation in declaration.organisations.items()
            for key in organisation.keys
        },
    )

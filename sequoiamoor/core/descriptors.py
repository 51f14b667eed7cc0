"""Budget of file descriptors: how many each use of them may take."""

from __future__ import annotations

from dataclasses import dataclass, fields

from ..errors import SettingsError

REFUSALS = 256
"""Callers' connections that are refused, or closed to make room, at a time."""

PEERS = 700
"""Connections from and to the other routers of a fleet of 350."""

STORE = 16
"""Connections to the platform or its store."""

PAGES_PER_PORT = 32
"""Connections at a time on each of the ports for operators."""

OWN_USE = 64
"""Listening sockets, event loops, wake-ups, standard streams, and a reserve."""

PLATFORM_FILES = 200
"""Descriptors that the operators' platform keeps for files."""

FILES = 16
"""Files that a router opens elsewhere."""

MIN_CONNECTIONS = 16
"""Connections of callers, and to upstreams, with which a router still starts."""


@dataclass(frozen=True, slots=True)
class DescriptorBudget:
    """Descriptors by use.

    Attributes:
        callers: Connections of callers that are served.
        refusals: Connections of callers that are refused or closed to make room.
        upstreams: Connections to upstreams, idle and in use.
        peers: Connections from and to other routers.
        store: Connections to the platform or its store.
        pages: Connections to the ports for operators.
        files: Files.
        own: Sockets of the process itself, and a reserve.
    """

    callers: int
    refusals: int
    upstreams: int
    peers: int
    store: int
    pages: int
    files: int
    own: int

    def to_parts(self) -> dict[str, int]:
        """Returns the parts by name."""
        return {field.name: getattr(self, field.name) for field in fields(self)}

    @property
    def total(self) -> int:
        """Sum of all parts."""
        return sum(self.to_parts().values())

    def __str__(self) -> str:
        parts = [f"{name} {count}" for name, count in self.to_parts().items()]
        return f"{' + '.join(parts)} = {self.total}"


def build_wanted_budget(
    *, callers: int, upstreams: int, is_on_platform: bool
) -> DescriptorBudget:
    """Returns the budget with which no part is reduced.

    Args:
        callers: Connections of callers that may be served.
        upstreams: Connections to upstreams that may be open.
        is_on_platform: Whether the router serves routes on the operators' platform.
    """
    return DescriptorBudget(
        callers=callers,
        refusals=REFUSALS,
        upstreams=upstreams,
        peers=PEERS,
        store=STORE,
        pages=2 * PAGES_PER_PORT if is_on_platform else 0,
        files=PLATFORM_FILES if is_on_platform else FILES,
        own=OWN_USE,
    )


def fit_budget(wanted: DescriptorBudget, limit: int) -> DescriptorBudget:
    """Returns a budget whose sum is within the limit.

    If the wanted one is not, the connections of callers, to upstreams and to peers are
    reduced in proportion; the other parts stay.

    Args:
        wanted: Budget in which no part is reduced.
        limit: Descriptors that the process may open.

    Raises:
        SettingsError: If too little would be left for callers or upstreams.
    """
    if wanted.total <= limit:
        return wanted
    flexible = wanted.callers + wanted.refusals + wanted.upstreams + wanted.peers
    left = max(0, limit - (wanted.total - flexible))

    def reduce(count: int) -> int:
        return count * left // flexible

    budget = DescriptorBudget(
        callers=reduce(wanted.callers),
        refusals=reduce(wanted.refusals),
        upstreams=reduce(wanted.upstreams),
        peers=reduce(wanted.peers),
        store=wanted.store,
        pages=wanted.pages,
        files=wanted.files,
        own=wanted.own,
    )
    smallest = min(budget.callers, budget.upstreams, budget.refusals)
    if smallest < min(MIN_CONNECTIONS, wanted.callers, wanted.upstreams):
        raise SettingsError(
            f"the process may open {limit} file descriptors, which leaves "
            f"{budget.callers} for callers and {budget.upstreams} for upstreams of "
            f"{MIN_CONNECTIONS} that are needed; {describe_remedy(wanted)}"
        )
    return budget


def describe_remedy(wanted: DescriptorBudget) -> str:
    """Returns the sum of the wanted budget and how the limit is raised to it."""
    return (
        f"wanted: {wanted}; raise the limit to that (ulimit -n, LimitNOFILE of "
        "systemd, and descriptors in the settings), or lower limits.connections, "
        "gateway.connections or options.upstream_connections"
    )

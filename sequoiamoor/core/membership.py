"""Liveness and control addresses of the other routers."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..options import Options
from ..types import Address, RouterId, RouterIdentity, ZoneName
from .reports import find_suspect_after

SUSPICIONS_UNTIL_DEAD = 2.0
"""Silence after which a router of a large fleet is dead, as a multiple of that after
which it is suspected."""


class MemberState(enum.StrEnum):
    """How recently a router was heard from; ``DEAD`` also if its process ended."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


class LinkState(enum.StrEnum):
    """State of the connection to a control address.

    The kernel acknowledges data and accepts connections for a process that is paused
    or short of CPU time, so such a process causes neither ``UNREACHABLE`` nor
    ``REFUSED``.
    """

    CONNECTED = "connected"
    UNREACHABLE = "unreachable"
    REFUSED = "refused"


@dataclass(slots=True)
class Member:
    """Another router.

    Attributes:
        identity: The incarnation last heard from.
        last_message_at: Monotonic time of its last message in seconds.
        address: Control address that it announced, if any.
        state: How recently it was heard from.
        is_leaving: Whether it announced that it is leaving.
        is_closed: Whether a connection from it ended and no message has arrived since.
        has_ended: Whether its process is known to have ended.
    """

    identity: RouterIdentity
    last_message_at: float
    address: Address | None = None
    state: MemberState = MemberState.ALIVE
    is_leaving: bool = False
    is_closed: bool = False
    has_ended: bool = False


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A member whose state changed, and its new state."""

    identity: RouterIdentity
    state: MemberState


@dataclass(slots=True)
class Membership:
    """The other routers of the fleet as this router sees them.

    Attributes:
        identity: This router.
        own_address: Control address of this router.
        fixed: Control addresses from the settings.
        members: The other routers, by identifier.
    """

    identity: RouterIdentity
    options: Options
    own_address: Address | None = None
    fixed: tuple[Address, ...] = ()
    members: dict[RouterId, Member] = field(default_factory=dict)
    _listed_addresses: dict[RouterId, Address] = field(default_factory=dict)
    _link_states: dict[Address, LinkState] = field(default_factory=dict)
    _stepped_at: float | None = None

    def record_message(
        self, identity: RouterIdentity, now: float, *, address: Address | None = None
    ) -> bool:
        """Records a message from a router.

        Args:
            identity: The sender.
            now: Monotonic time in seconds.
            address: Control address of the sender, if the message gives it.

        Returns:
            False if the message must be ignored, because the sender is this router
            or an incarnation that a later one has replaced.
        """
        if identity.router_id == self.identity.router_id:
            return False
        member = self.members.get(identity.router_id)
        if member is None or identity.incarnation > member.identity.incarnation:
            self.members[identity.router_id] = Member(identity, now, address)
            return True
        if identity.incarnation < member.identity.incarnation:
            return False
        member.last_message_at = max(member.last_message_at, now)
        member.is_closed = member.has_ended = False
        if address is not None:
            member.address = address
        return True

    def record_leaving(self, identity: RouterIdentity, *, is_leaving: bool) -> None:
        """Records the leaving flag of a report."""
        member = self.members.get(identity.router_id)
        if member is not None and member.identity == identity:
            member.is_leaving = is_leaving

    def record_closed(self, identity: RouterIdentity) -> None:
        """Records that a router closed its connection.

        If the router announced before that it is leaving, this ends its membership
        at once instead of after ``suspect_after``.
        """
        member = self.members.get(identity.router_id)
        if member is None or member.identity != identity:
            return
        member.is_closed = True
        if member.is_leaving:
            member.last_message_at = float("-inf")

    def record_link_state(self, address: Address, state: LinkState) -> None:
        """Records the state of the connection to a control address."""
        self._link_states[address] = state

    def _find_link_state(self, router_id: RouterId) -> LinkState | None:
        address = self.find_address(router_id)
        return None if address is None else self._link_states.get(address)

    def step(self, now: float) -> list[MemberChange]:
        """Updates the states of all members and removes those silent for long.

        Time during which this router did not run does not count as silence of the
        others. Otherwise a router would declare the whole fleet dead after a pause,
        before it has read the reports that wait in its sockets.

        Returns:
            The members whose state changed.
        """
        elapsed = 0.0 if self._stepped_at is None else now - self._stepped_at
        if elapsed > self.options.pause_limit:
            for member in self.members.values():
                member.last_message_at = min(now, member.last_message_at + elapsed)
        self._stepped_at = now
        changes = []
        suspect_after = find_suspect_after(self.options, self._count_expected_peers())
        for router_id, member in list(self.members.items()):
            if (
                member.is_closed
                and self._find_link_state(router_id) is LinkState.REFUSED
            ):
                # A router listens until its process ends, and a connection that it
                # opened has ended as well.
                member.has_ended = True
            state = self._classify(member, now, suspect_after)
            if state is not member.state:
                member.state = state
                changes.append(MemberChange(member.identity, state))
            if now - member.last_message_at > self.options.forget_router_after:
                del self.members[router_id]
        return changes

    def _count_expected_peers(self) -> int:
        known_ids = self._listed_addresses.keys() | self.members.keys()
        return len(known_ids - {self.identity.router_id})

    def _classify(
        self, member: Member, now: float, suspect_after: float
    ) -> MemberState:
        silence = now - member.last_message_at
        dead_after = max(self.options.dead_after, SUSPICIONS_UNTIL_DEAD * suspect_after)
        if member.has_ended or silence > dead_after:
            return MemberState.DEAD
        if silence > suspect_after:
            return MemberState.SUSPECT
        return MemberState.ALIVE

    def live(self) -> dict[RouterId, RouterIdentity]:
        """Returns the other routers that are neither suspect nor dead."""
        return {
            router_id: member.identity
            for router_id, member in self.members.items()
            if member.state is MemberState.ALIVE
        }

    def list_serving(self, zone: ZoneName) -> list[RouterId]:
        """Returns the other routers of a zone that are alive and do not leave."""
        return [
            router_id
            for router_id, member in self.members.items()
            if member.identity.zone == zone
            and member.state is MemberState.ALIVE
            and not member.is_leaving
        ]

    def ended(self) -> frozenset[RouterIdentity]:
        """Returns the routers whose process is known to have ended."""
        return frozenset(
            member.identity for member in self.members.values() if member.has_ended
        )

    def unreachable(self) -> frozenset[RouterIdentity]:
        """Returns the routers to which no connection can be opened or kept open."""
        unreachable_states = (LinkState.UNREACHABLE, LinkState.REFUSED)
        return frozenset(
            member.identity
            for router_id, member in self.members.items()
            if self._find_link_state(router_id) in unreachable_states
        )

    def apply_router_addresses(
        self, routers: Iterable[tuple[RouterId, Address]]
    ) -> None:
        """Replaces the listed control addresses; ``routers`` must not be empty."""
        self._listed_addresses = dict(routers)

    def find_address(self, router_id: RouterId) -> Address | None:
        """Returns the control address of a router, preferably the one it announced."""
        member = self.members.get(router_id)
        if member is not None and member.address is not None:
            return member.address
        return self._listed_addresses.get(router_id)

    def candidates(self) -> set[Address]:
        """Returns the control addresses to keep connections to."""
        addresses = set(self.fixed)
        for router_id in self._listed_addresses.keys() | self.members.keys():
            address = self.find_address(router_id)
            if address is not None and router_id != self.identity.router_id:
                addresses.add(address)
        addresses.discard(self.own_address)
        self._link_states = {
            address: state
            for address, state in self._link_states.items()
            if address in addresses
        }
        return addresses

"""Declarations by operators: organisations, classes of work, services and routes."""

from __future__ import annotations

import re
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .bounds import NAME_LIMIT_CHARACTERS, describe_invalid
from .errors import SettingsError
from .settings import describe_errors
from .types import PUBLIC_ORGANISATION, RouteKind, ServiceKind

_NAME_PATTERN = r"^[a-z0-9][a-z0-9-]{0,62}$"

_REMEDIES_BY_FIELD = {
    "weight": "shares are equal by design; give the class a target instead",
    "weights": "shares are equal by design; give the class a target instead",
    "priority": "give the class a tighter first_token_ms or complete_ms instead",
    "share": "shares are equal by design; give the class a target instead",
    "vms": "the fleet finds VMs in the platform's list; name only the service",
    "vm": "the fleet finds VMs in the platform's list; name only the service",
    "replicas": "the fleet finds VMs in the platform's list; name only the service",
    "address": "the fleet finds VMs in the platform's list; name only the service",
    "addresses": "the fleet finds VMs in the platform's list; name only the service",
}


def _check_names(value: Mapping[str, Any]) -> Mapping[str, Any]:
    for name in value:
        if not re.match(_NAME_PATTERN, name):
            raise ValueError(
                f"{name!r} is not a valid name; use lower-case letters, digits and "
                "hyphens, 63 at most"
            )
    return value


def check_accepted_name(name: object) -> None:
    """Checks a name in a document that the operators' store has accepted.

    Such a name has any form that fits a header field and the messages between routers.

    Raises:
        ValueError: If it does not.
    """
    if (
        not isinstance(name, str)
        or not 0 < len(name) <= NAME_LIMIT_CHARACTERS
        or not name.isprintable()
        or name != name.strip()
        or name == PUBLIC_ORGANISATION
    ):
        raise ValueError(
            f"{name!r:.80} cannot be used as a name; use printable characters, "
            f"{NAME_LIMIT_CHARACTERS} at most, without spaces at the ends, and not "
            f"{PUBLIC_ORGANISATION!r}"
        )


def _refuse_undecoded(value: Mapping[str, Any]) -> Mapping[str, Any]:
    if value:
        raise ValueError("some entries could not be decoded")
    return value


def _check_accepted_names(value: Mapping[str, Any]) -> Mapping[str, Any]:
    for name in value:
        check_accepted_name(name)
    return value


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)

    @model_validator(mode="before")
    @classmethod
    def _explain_unsupported(cls, data: Any) -> Any:
        if isinstance(data, Mapping):
            unsupported = [
                f"{name!r} ({data[name]!r}) is not accepted: {_REMEDIES_BY_FIELD[name]}"
                for name in data
                if name in _REMEDIES_BY_FIELD and name not in cls.model_fields
            ]
            if unsupported:
                raise ValueError("; ".join(unsupported))
        return data


class ClassDeclaration(_Model):
    """A class of work and its target; exactly one target is given.

    Attributes:
        first_token_ms: Target time from arrival to the first token.
        complete_ms: Target time from arrival to the complete answer.
        wait_limit_ms: Time after which a request that still waits is refused.
    """

    first_token_ms: int | None = Field(None, ge=1, le=3_600_000)
    complete_ms: int | None = Field(None, ge=1, le=3_600_000)
    wait_limit_ms: int = Field(30_000, ge=1, le=3_600_000)

    @model_validator(mode="after")
    def _check_target(self) -> ClassDeclaration:
        if (self.first_token_ms is None) == (self.complete_ms is None):
            raise ValueError(
                "give exactly one target, first_token_ms or complete_ms; got "
                f"first_token_ms={self.first_token_ms!r}, "
                f"complete_ms={self.complete_ms!r}"
            )
        return self

    @property
    def target_seconds(self) -> float:
        """Target time in seconds after arrival."""
        target = self.first_token_ms or self.complete_ms
        assert target is not None
        return target / 1000


class OrganisationDeclaration(_Model):
    """An organisation.

    Attributes:
        keys: Bearer keys that its requests on routes carry.
        rank: Order among organisations; 0 comes first. None stands for the rank of
            the route.
    """

    title: str = ""
    keys: tuple[str, ...] = ()
    rank: int | None = None


class ServiceDeclaration(_Model):
    """A service: the kind of its upstreams and how they may be used."""

    kind: ServiceKind
    repeatable: bool = True
    checks_fencing: bool = False
    kv_tokens: int | None = Field(None, ge=1, description="tokens in an engine's cache")
    event_tokens: int = Field(1, ge=1, description="tokens in one event of a stream")
    connections: int | None = Field(
        None, ge=1, description="connections that a replica accepts from all clients"
    )
    cold_seconds: float = Field(
        0.0, ge=0, description="seconds for which a replica is cold after its start"
    )
    cold_per_second: float = Field(
        0.0,
        ge=0,
        description="requests a second that a cold replica tolerates from all routers; "
        "0: no limit",
    )


class RouteDeclaration(_Model):
    """Where the requests for one host and path prefix go, and under which limits.

    Attributes:
        kind: Whether a request may be repeated, or is answered by a stream.
        is_resumable: Whether a broken stream may be resumed at another replica.
        is_public: Whether requests need no key.
        pause_ms: Longest pause between two events of a stream that is on time; None
            stands for ``target_ms``.
        attempts: Replicas that one request may be sent to.
        services: Names of services, each with its weight in the division of requests.
    """

    host: str
    prefix: str = Field(pattern=r"^/(.*/)?$")
    kind: RouteKind
    is_resumable: bool = False
    is_public: bool = False
    timeout_ms: float = Field(gt=0)
    target_ms: float = Field(gt=0)
    pause_ms: float | None = Field(None, gt=0)
    attempts: int = Field(1, ge=1)
    rank: int = 0
    services: tuple[tuple[str, float], ...] = Field(min_length=1)


class LimitDeclaration(_Model):
    """Limits of what callers of routes may send, and of the time they may take."""

    header_bytes: int = Field(16_384, ge=256)
    body_bytes: int = Field(4_194_304, ge=0)
    header_ms: float = Field(3_000, gt=0)
    idle_ms: float = Field(15_000, gt=0)
    tokens_per_second: float | None = Field(None, gt=0)


class RoutePlace(_Model):
    """Host and path prefix of the requests of a route."""

    host: str
    prefix: str


class UnusableEntries(_Model):
    """What is known of the entries of a document that cannot be used.

    Attributes:
        keys: Keys of organisations.
        routes: Places of routes.
        has_other_keys: Whether there may be keys that cannot be read.
        has_other_routes: Whether there may be routes whose place cannot be read.
    """

    keys: frozenset[str] = frozenset()
    routes: tuple[RoutePlace, ...] = ()
    has_other_keys: bool = False
    has_other_routes: bool = False


class Declaration(_Model):
    """The whole configuration of a fleet."""

    organisations: Annotated[
        dict[str, OrganisationDeclaration], AfterValidator(_check_names)
    ]
    classes: Annotated[dict[str, ClassDeclaration], AfterValidator(_check_names)]
    services: Annotated[dict[str, ServiceDeclaration], AfterValidator(_check_names)]
    routes: dict[str, RouteDeclaration] = {}
    limits: LimitDeclaration = LimitDeclaration.model_validate({})


class AcceptedDeclaration(Declaration):
    """A configuration that the operators' store has accepted by rules of its own.

    What is valid of it is in force, whatever the rest is.

    Attributes:
        is_accepted: States in a document that it was accepted.
        undecoded: What could be read of the entries of a document that could not be
            decoded, as lists by section. Such a document is not valid as a whole.
        unusable: Its entries that are not in force.
    """

    organisations: Annotated[
        dict[str, OrganisationDeclaration], AfterValidator(_check_accepted_names)
    ]
    classes: Annotated[
        dict[str, ClassDeclaration], AfterValidator(_check_accepted_names)
    ]
    services: Annotated[
        dict[str, ServiceDeclaration], AfterValidator(_check_accepted_names)
    ]
    is_accepted: Literal[True] = True
    undecoded: Annotated[dict[str, Any], AfterValidator(_refuse_undecoded)] = {}
    unusable: UnusableEntries = UnusableEntries.model_validate({})


def is_accepted(document: object) -> bool:
    """Returns whether a document states that the operators' store has accepted it."""
    return isinstance(document, Mapping) and document.get("is_accepted") is True


def parse_declaration(document: object, *, source: str = "declaration") -> Declaration:
    """Validates a declaration.

    Args:
        document: Decoded JSON document.
        source: Name of the document for error messages.

    Returns:
        The validated declaration.

    Raises:
        SettingsError: If a field is wrong; the message has one line per field. That
            of an accepted document, which routers log, is short and shows no values,
            as they may be keys.
    """
    if is_accepted(document):
        try:
            return AcceptedDeclaration.model_validate(document)
        except ValidationError as err:
            raise SettingsError(describe_invalid(err)) from err
    try:
        return Declaration.model_validate(document)
    except ValidationError as err:
        raise SettingsError(describe_errors(err, source, Declaration)) from err


def read_declaration(path: Path) -> Declaration:
    """Reads and validates a declaration file.

    Raises:
        SettingsError: If the file cannot be read or a field is wrong.
    """
    try:
        return Declaration.model_validate_json(path.read_bytes())
    except OSError as err:
        raise SettingsError(
            f"{path}: cannot be read ({err.strerror}); name a readable JSON file"
        ) from err
    except ValidationError as err:
        raise SettingsError(describe_errors(err, str(path), Declaration)) from err

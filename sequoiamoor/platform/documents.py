"""Decodes documents of the platform into the project's own types."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Literal, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from ..bounds import (
    NAME_LIMIT_CHARACTERS,
    Count,
    Endpoint,
    FiniteNumber,
    Identifier,
    Name,
    Slots,
    describe_invalid,
)
from ..errors import SettingsError
from ..types import Address, ReplicaId, RouterId, ServiceName, ZoneName
from . import names

_ROUTE_KINDS = {
    "idempotent": "repeatable",
    "non_idempotent": "once",
    "streaming": "stream",
}

_DECODING_ERRORS = (
    ValueError,
    RecursionError,
    OverflowError,
    KeyError,
    TypeError,
    AttributeError,
)

_RowModel = TypeVar("_RowModel", bound=BaseModel)


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """Contents of the row that a replica keeps about itself in the store.

    Attributes:
        slots: Number of requests that the replica runs at the same time.
        is_leaving: Whether the replica is draining.
        born_ms: Start time of the replica's process in milliseconds; differs after a
            restart under the same identifier. 0 if unknown.
        warm_up_seconds: Seconds for which the replica is still slow after its start.
    """

    replica_id: ReplicaId
    service: ServiceName
    zone: ZoneName
    address: Address
    slots: int
    is_leaving: bool
    born_ms: int
    warm_up_seconds: float


class _ReplicaRow(BaseModel):
    """The fields of a replica's row that are used, as the replica writes them."""

    model_config = ConfigDict(strict=True, frozen=True)

    identifier: Identifier
    service: Name
    zone: Name
    address: Endpoint
    slots: Slots
    state: Literal["ready", "draining"]
    born: Count | None = None
    warm_up_ms: FiniteNumber | None = Field(None, alias="coldRemainingMs")


class _RouterRow(BaseModel):
    """The fields of a router's row that other routers use."""

    model_config = ConfigDict(strict=True, frozen=True)

    identifier: Identifier
    address: Endpoint
    written_ms: FiniteNumber
    era: Count | None = None


@dataclass(frozen=True, slots=True)
class RouterEntry:
    """Contents of the row that a router keeps about itself in the store.

    Attributes:
        address: Its control address.
        written_ms: Time of the write in milliseconds of the store's clock.
        era: Era of that clock; None if the row has none.
    """

    address: Address
    written_ms: float
    era: int | None


def _require(document: dict[str, Any], name: str, expected_type: type) -> Any:
    value = document.get(name)
    if type(value) is not expected_type:
        raise SettingsError(
            f"field {name!r} is {value!r:.80}; it must be a {expected_type.__name__}"
        )
    return value


def _decode_row(
    model: type[_RowModel], identifier: str, value: bytes, kind: str
) -> _RowModel:
    subject = f"row of {kind} {identifier!r:.80}"
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as err:
        raise SettingsError(f"{subject} is not JSON") from err
    if not isinstance(document, dict):
        raise SettingsError(f"{subject} is not a JSON object")
    try:
        return model.model_validate({**document, "identifier": identifier})
    except ValidationError as err:
        raise SettingsError(f"{subject} is invalid: {describe_invalid(err)}") from err


def decode_replica(replica_id: ReplicaId, value: bytes) -> ReplicaEntry:
    """Decodes the row that a replica keeps in the store.

    Raises:
        SettingsError: If the identifier or a field cannot be used, so that the row
            does not describe a usable replica.
    """
    row = _decode_row(_ReplicaRow, replica_id, value, "replica")
    return ReplicaEntry(
        replica_id=row.identifier,
        service=row.service,
        zone=row.zone,
        address=row.address,
        slots=row.slots,
        is_leaving=row.state == "draining",
        born_ms=row.born or 0,
        warm_up_seconds=(row.warm_up_ms or 0.0) / 1000,
    )


def decode_router(router_id: RouterId, value: bytes) -> RouterEntry:
    """Decodes the row that a router keeps in the store.

    Raises:
        SettingsError: If the identifier or a field cannot be used.
    """
    row = _decode_row(_RouterRow, router_id, value, "router")
    return RouterEntry(row.address, row.written_ms, row.era)


def decode_evacuated_zone(key: str) -> ZoneName | None:
    """Returns the zone that a row with this key evacuates; None for another row."""
    zone = key.removeprefix(names.EVACUATION_KEY_PREFIX)
    is_valid = 0 < len(zone) <= NAME_LIMIT_CHARACTERS and zone.isprintable()
    return zone if is_valid and zone != key else None


def decode_configuration(value: bytes) -> tuple[int, dict[str, Any]]:
    """Decodes the operators' configuration.

    Returns:
        Its version, and the document in the project's own declaration format.

    Raises:
        SettingsError: If it cannot be decoded.
    """
    version, document = _load_configuration(value)
    try:
        return version, {
            "is_accepted": True,
            "organisations": {
                tenant["name"]: _to_organisation(tenant)
                for tenant in document.get("tenants", [])
            },
            "classes": {
                route["name"]: _to_class(route) for route in document.get("routes", [])
            },
            "services": {
                service["name"]: _to_service(service)
                for service in document.get("services", [])
            },
            "routes": {
                route["name"]: _to_route(route) for route in document.get("routes", [])
            },
            "limits": _to_limits(document.get("limits", {})),
        }
    except _DECODING_ERRORS as err:
        raise _build_decoding_error(err) from err


def _load_configuration(value: bytes) -> tuple[int, dict[str, Any]]:
    """Returns the version of a configuration and its JSON object.

    Raises:
        SettingsError: If it is no JSON object, or has no version.
    """
    try:
        document = json.loads(value)
        version = _require(document, "version", int)
    except _DECODING_ERRORS as err:
        raise _build_decoding_error(err) from err
    if version < 1:
        raise SettingsError(f"field 'version' is {version}; it must be at least 1")
    return version, document


def _build_decoding_error(error: Exception) -> SettingsError:
    return SettingsError(
        f"the configuration cannot be decoded: {type(error).__name__}: {error!s:.300}"
    )


def decode_configuration_entries(value: bytes) -> tuple[int, dict[str, Any]]:
    """Decodes a configuration of which some entries cannot be decoded.

    Returns:
        Its version, and a document like that of ``decode_configuration``. What can be
        read of the other entries is in its field ``undecoded``.

    Raises:
        SettingsError: If it is no JSON object, or has no version.
    """
    version, document = _load_configuration(value)
    organisations, other_tenants = _decode_section(
        document, "tenants", _to_organisation
    )
    routes, other_routes = _decode_section(document, "routes", _to_route)
    try:
        limits = _to_limits(document.get("limits", {}))
    except _DECODING_ERRORS:
        limits = {}
    return version, {
        "is_accepted": True,
        "organisations": organisations,
        "classes": _decode_section(document, "routes", _to_class)[0],
        "services": _decode_section(document, "services", _to_service)[0],
        "routes": routes,
        "limits": limits,
        "undecoded": {
            "organisations": [
                {"keys": _find_field(tenant, "apiKeys")} for tenant in other_tenants
            ],
            "routes": [
                {
                    "host": _lower(_find_field(route, "host")),
                    "prefix": _find_field(route, "pathPrefix"),
                }
                for route in other_routes
            ],
        },
    }


def _decode_section(
    document: dict[str, Any], name: str, decode: Callable[[Any], dict[str, Any]]
) -> tuple[dict[str, Any], list[Any]]:
    """Returns the decoded entries of a section by name, and those that are not."""
    decoded: dict[str, Any] = {}
    others: list[Any] = []
    section = document.get(name, [])
    for entry in section if isinstance(section, list) else [section]:
        try:
            decoded[entry["name"]] = decode(entry)
        except _DECODING_ERRORS:
            others.append(entry)
    return decoded, others


def _find_field(entry: object, name: str) -> Any:
    return entry.get(name) if isinstance(entry, dict) else None


def _lower(value: object) -> object:
    return value.lower() if isinstance(value, str) else value


class ListedTexts:
    """Texts that a JSON document lists, also one that cannot be decoded.

    Args:
        value: The document.
    """

    def __init__(self, value: bytes) -> None:
        self._value = value

    def __contains__(self, text: object) -> bool:
        """Returns whether the document contains a text as a JSON string."""
        return json.dumps(text).encode() in self._value


def _to_organisation(tenant: dict[str, Any]) -> dict[str, Any]:
    return {"keys": tenant.get("apiKeys", []), "rank": tenant.get("priority")}


def _to_class(route: dict[str, Any]) -> dict[str, Any]:
    target = max(1, round(route["targetLatencyMs"]))
    is_stream = route["kind"] == "streaming"
    return {"first_token_ms" if is_stream else "complete_ms": target}


def _to_route(route: dict[str, Any]) -> dict[str, Any]:
    # A route has either one service or a list of services with their weights.
    services = [
        (share["service"], share["weight"]) for share in route.get("trafficSplit") or ()
    ]
    return {
        "host": route["host"].lower(),
        "prefix": route["pathPrefix"],
        "kind": _ROUTE_KINDS[route["kind"]],
        "is_resumable": bool(route.get("streamResumption", False)),
        "is_public": bool(route.get("public", False)),
        "timeout_ms": route["timeoutMs"],
        "target_ms": route["targetLatencyMs"],
        "pause_ms": route.get("gapTargetMs"),
        "attempts": route.get("maxAttempts", 1),
        "rank": route.get("priority", 0),
        "services": services or [(route["service"], 1.0)],
    }


def _to_service(service: dict[str, Any]) -> dict[str, Any]:
    declared: dict[str, Any] = {
        "kind": "plain",
        "connections": service.get("connectionLimit"),
        "cold_seconds": service.get("coldStartS") or 0.0,
        "cold_per_second": service.get("coldPerS") or 0.0,
    }
    engine = service.get("inferenceEngine")
    if engine:
        declared["kind"] = "engine"
        declared["kv_tokens"] = engine.get("kvCapacityTokens")
        # The stride is the number of tokens that the engine generates for one event of
        # a stream.
        declared["event_tokens"] = engine.get("stride", 1)
    return declared


def _to_limits(limits: dict[str, Any]) -> dict[str, Any]:
    own_names = {
        "maxHeaderBytes": "header_bytes",
        "maxBodyBytes": "body_bytes",
        "headerTimeoutMs": "header_ms",
        "idleTimeoutMs": "idle_ms",
        "tokensPerS": "tokens_per_second",
    }
    return {own: limits[name] for name, own in own_names.items() if name in limits}

"""Settings of one router, read from a JSON file."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, Any, Literal, get_args

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)

from .core.handoffs import DEFAULT_BUSY_FRACTION
from .errors import SettingsError
from .options import Options
from .types import Address


def _check_ip(value: str) -> str:
    try:
        ipaddress.ip_address(value)
    except ValueError as err:
        raise ValueError(
            f"{value!r} is not an IP address; write an address such as '10.0.0.4'"
        ) from err
    return value


IpAddress = Annotated[str, AfterValidator(_check_ip)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class AddressSettings(_Model):
    """An IP address and a TCP port; port 0 takes any free port.

    A string of the form IP:PORT is accepted too.
    """

    host: IpAddress
    port: int = Field(ge=0, le=65_535)

    @model_validator(mode="before")
    @classmethod
    def _split_text(cls, data: Any) -> Any:
        if not isinstance(data, str):
            return data
        host, _, port = data.rpartition(":")
        return {"host": host, "port": port}

    def to_address(self) -> Address:
        """Returns the address as the data class used inside the package."""
        return Address(self.host, self.port)


class LimitSettings(_Model):
    """Limits of the caller interface."""

    header_bytes: int = Field(16_384, ge=1_024)
    body_bytes: int = Field(1_048_576, ge=0)
    receive_timeout: float = Field(10.0, gt=0, description="seconds")
    idle_timeout: float = Field(60.0, gt=0, description="seconds")
    send_timeout: float = Field(
        30.0, gt=0, description="seconds without progress while sending to a caller"
    )
    connections: int = Field(2_000, ge=1)


class RepeatSettings(_Model):
    """Limits of repeated requests to a service, for the whole fleet."""

    ratio: float = Field(0.1, ge=0, le=1, description="repeats per request")
    window: float = Field(10.0, gt=0, description="seconds")
    extra: float = Field(
        20.0, ge=0, description="repeats per window in addition to the ratio"
    )


class ColdSettings(_Model):
    """What replicas that are cold tolerate beyond their declared rate."""

    overshoot: float = Field(
        1.5, ge=1, description="factor of the requests a second, in any second"
    )
    extra: float = Field(5.0, ge=0, description="requests in any second on top of that")


class GatewaySettings(_Model):
    """Settings of a router that serves routes on the operators' platform."""

    ready: AddressSettings
    metrics: AddressSettings
    handoff: AddressSettings | None = Field(
        None,
        description="address at which connections of other routers' callers are taken "
        "over, with the same port on all routers of the fleet; None: none are handed "
        "off or taken over",
    )
    busy_fraction: float = Field(
        DEFAULT_BUSY_FRACTION,
        ge=0,
        lt=1,
        description="use of the event loop above which new connections are handed off, "
        "and from which none are taken over",
    )
    repeats: RepeatSettings = RepeatSettings.model_validate({})
    revocation_limit: float | None = Field(
        None, gt=0, description="seconds within which a revoked key must be refused"
    )
    leaving_bound: float = Field(
        2.0, gt=0, description="seconds until a leaving replica gets no new work"
    )
    configuration_bound: float = Field(
        2.0, gt=0, description="seconds until a new configuration is in force"
    )
    evacuation_bound: float | None = Field(
        None,
        gt=0,
        description="seconds until an evacuated zone gets no more requests; None: no "
        "zone is ever evacuated",
    )
    cold: ColdSettings | None = Field(
        None, description="None: cold replicas are treated like others"
    )
    load_figures: Literal[3, 4] = Field(
        4,
        description="figures that a replica must report of its load for starts to "
        "follow it: 3, or 4 with the time that work takes there now",
    )
    reads_ahead: bool = Field(
        False,
        description="whether streams are read from their replicas while their callers "
        "read slowly, within the bytes that may be held",
    )
    connections: int = Field(2_000, ge=16, description="connections of all kinds")
    grace: float = Field(8.0, gt=0, description="seconds from SIGTERM to SIGKILL")


class RouterSettings(_Model):
    """Settings of one router."""

    router_id: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    zone: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    http: AddressSettings
    control: AddressSettings
    platform: AddressSettings
    fleet: str | None = Field(
        None, min_length=1, max_length=200, description="None: the platform's address"
    )
    peers: tuple[AddressSettings, ...] = ()
    policy: Literal[
        "arbitrated", "shared-load", "local-fair", "least-load", "round-robin"
    ] = "arbitrated"
    seed: int | None = None
    fault_injection: bool = False
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    descriptors: int | None = Field(
        None, ge=1, description="file descriptors that the process may open"
    )
    memory_mb: int | None = Field(
        None, ge=64, description="megabytes of memory that the process may use"
    )
    limits: LimitSettings = LimitSettings.model_validate({})
    options: Options = Options.model_validate({})
    gateway: GatewaySettings | None = None

    @property
    def fleet_name(self) -> str:
        """The name by which routers tell those of their own fleet."""
        return self.fleet or str(self.platform.to_address())


def parse_address(text: str) -> Address:
    """Returns the address in a text of the form IP:PORT.

    Raises:
        SettingsError: If the text does not have this form.
    """
    host, _, port = text.rpartition(":")
    try:
        settings = AddressSettings.model_validate({"host": host, "port": port})
    except ValidationError as err:
        raise SettingsError(
            f"{text!r} is not an address; write IP:PORT such as '10.0.0.4:8080'"
        ) from err
    return settings.to_address()


_MAX_VALUE_CHARACTERS = 80
_REMEDIES_BY_ERROR_TYPE = {
    "missing": "add it",
    "json_invalid": "write a JSON object",
    "int_parsing": "write a whole number",
    "int_type": "write a whole number",
    "float_parsing": "write a number",
    "float_type": "write a number",
    "bool_parsing": "write true or false",
    "bool_type": "write true or false",
    "string_type": "write a text in double quotes",
    "dict_type": "write a JSON object",
    "model_type": "write a JSON object",
    "model_attributes_type": "write a JSON object",
    "tuple_type": "write a JSON array",
    "string_pattern_mismatch": "use lower-case letters, digits and hyphens, 63 at most",
}


def describe_errors(
    error: ValidationError, what: str, model: type[BaseModel] | None = None
) -> str:
    """Describes a validation error with one line per wrong field.

    Args:
        error: Error of the validation.
        what: Name of the document.
        model: Model of the document; if given, the line for an unknown field lists
            the fields that are known in its place.

    Returns:
        Lines with the path of the field, its value, the valid values and the remedy.
    """
    lines = []
    for item in error.errors():
        place = ".".join(str(part) for part in item["loc"]) or "(top level)"
        remedy = _REMEDIES_BY_ERROR_TYPE.get(
            item["type"], "write one of the valid values"
        )
        message = item["msg"].removeprefix("Value error, ")
        if item["type"] == "value_error":
            remedy = ""
        if item["type"] in ("missing", "json_invalid"):
            value = "missing" if item["type"] == "missing" else "not JSON"
        else:
            text = repr(item["input"])
            is_long = len(text) > _MAX_VALUE_CHARACTERS
            value = f"got {text[:_MAX_VALUE_CHARACTERS]}{'...' if is_long else ''}"
        if item["type"] == "extra_forbidden":
            names = ", ".join(_list_fields(model, item["loc"][:-1]))
            message = "not a known field"
            remedy = f"remove it or use one of: {names}" if names else "remove it"
        suffix = f"; {remedy}" if remedy else ""
        lines.append(f"{what}: {place}: {value}: {message}{suffix}")
    return "\n".join(lines)


def _list_fields(
    model: type[BaseModel] | None, place: tuple[int | str, ...]
) -> list[str]:
    """Returns the names of the fields of the model at a place in the document.

    A key of a mapping or an index of an array leads to the type of the items.
    """
    annotation: object = model
    for part in place:
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            field = annotation.model_fields.get(str(part))
            annotation = field.annotation if field is not None else None
        else:
            arguments = [item for item in get_args(annotation) if item is not Ellipsis]
            annotation = arguments[-1] if arguments else None
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return list(annotation.model_fields)
    return []


def read_settings(path: Path) -> RouterSettings:
    """Reads and validates a settings file.

    Args:
        path: JSON file.

    Returns:
        The validated settings.

    Raises:
        SettingsError: If the file cannot be read or a field is wrong; the message
            has one line per wrong field.
    """
    try:
        return RouterSettings.model_validate_json(path.read_bytes())
    except OSError as err:
        raise SettingsError(
            f"{path}: cannot be read ({err.strerror}); name a readable JSON file"
        ) from err
    except ValidationError as err:
        raise SettingsError(describe_errors(err, str(path), RouterSettings)) from err

"""Settings of one router, read from a JSON file."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
)

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
    """An IP address and a TCP port; port 0 takes any free port."""

    host: IpAddress
    port: int = Field(ge=0, le=65_535)

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
        30.0, gt=0, description="seconds without progress to a caller that must read"
    )
    connections: int = Field(2_000, ge=1)


class RouterSettings(_Model):
    """Settings of one router."""

    router_id: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    zone: str = Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")
    http: AddressSettings
    control: AddressSettings
    platform: AddressSettings
    peers: tuple[AddressSettings, ...] = ()
    policy: Literal["arbitrated", "local-fair", "least-load", "round-robin"] = (
        "arbitrated"
    )
    seed: int | None = None
    fault_injection: bool = False
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    limits: LimitSettings = LimitSettings.model_validate({})
    options: Options = Options.model_validate({})


def describe_errors(error: ValidationError, what: str) -> str:
    """Returns one line per wrong field: its place, its value, what is wrong."""
    lines = []
    for item in error.errors():
        place = ".".join(str(part) for part in item["loc"]) or "(top level)"
        if item["type"] == "missing":
            value = "missing"
        elif item["type"] == "extra_forbidden":
            value = "not a known field"
        else:
            value = f"got {item['input']!r}"
        lines.append(f"{what}: {place}: {value}: {item['msg']}")
    return "\n".join(lines)


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
        raise SettingsError(describe_errors(err, str(path))) from err

"""Bounded types for the fields of documents that other programs write."""

from __future__ import annotations

import ipaddress
from typing import Annotated

from pydantic import (
    AfterValidator,
    Field,
    PlainValidator,
    StringConstraints,
    ValidationError,
)

from .types import Address

NAME_LIMIT_CHARACTERS = 200
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
# Integers are sent to peers in 64 bits.
INTEGER_LIMIT = 1 << 62
DETAIL_LIMIT_CHARACTERS = 300
"""Longest description of an invalid document in a log line."""


def _check_host(value: str) -> str:
    address = ipaddress.ip_address(value)
    if address.is_unspecified or address.is_multicast:
        raise ValueError("no host can be reached at this address")
    if isinstance(address, ipaddress.IPv6Address) and address.scope_id is not None:
        raise ValueError("an address with a scope is valid on one machine only")
    return value


def parse_endpoint(value: object) -> Address:
    """Returns the address that a text of the form IP:PORT names.

    Raises:
        ValueError: If the text has another form, or if no host can be reached there.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not (port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))):
        raise ValueError("write IP:PORT")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"the port must be 1 to {MAX_PORT}")
    return Address(_check_host(host), int(port))


Identifier = Annotated[str, StringConstraints(pattern=r"^[\x21-\x7e]{1,200}$")]
"""Identifier of a VM; it is sent in header fields."""

Name = Annotated[str, Field(min_length=1, max_length=NAME_LIMIT_CHARACTERS)]
Host = Annotated[str, AfterValidator(_check_host)]
Port = Annotated[int, Field(ge=1, le=MAX_PORT)]
Endpoint = Annotated[Address, PlainValidator(parse_endpoint)]
Slots = Annotated[int, Field(ge=1, le=MAX_SLOTS)]
Count = Annotated[int, Field(ge=0, lt=INTEGER_LIMIT)]
FiniteNumber = Annotated[float, Field(allow_inf_nan=False)]


def describe_invalid(error: ValidationError) -> str:
    """Returns what is wrong with a document, of bounded length."""
    problems = [
        f"{'.'.join(map(str, problem['loc'])) or 'document'}: {problem['msg']}"
        for problem in error.errors(include_url=False, include_input=False)
    ]
    return "; ".join(problems)[:DETAIL_LIMIT_CHARACTERS]

"""Declaration of what is valid in a document that was accepted elsewhere.

The operators' store accepts documents by rules of its own. A router that kept to the
document before, since one entry is not valid for it, would go on with keys that the new
one takes away; a router that accepted no keys would end the service of all callers.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from .declaration import (
    AcceptedDeclaration,
    ClassDeclaration,
    LimitDeclaration,
    OrganisationDeclaration,
    RouteDeclaration,
    RoutePlace,
    ServiceDeclaration,
    UnusableEntries,
    check_accepted_name,
    is_accepted,
)

_Entry = TypeVar("_Entry", bound=BaseModel)

_NEVER_LEFT_OUT = frozenset({"keys"})
"""Optional fields without which an entry would say something else."""


@dataclass(slots=True)
class _Section:
    """Entries of a section of a document.

    Attributes:
        usable: Valid entries by name.
        others: What was given in place of valid entries.
    """

    usable: dict[str, Any] = field(default_factory=dict)
    others: list[Any] = field(default_factory=list)


def parse_usable_entries(document: object) -> AcceptedDeclaration | None:
    """Returns the declaration of the valid entries of an accepted document.

    An optional field that is not valid has its default value.

    Args:
        document: Decoded JSON document of a declaration that is not valid as a whole.

    Returns:
        None if the document was not accepted.
    """
    if not isinstance(document, Mapping) or not is_accepted(document):
        return None
    organisations = _read_section(document, "organisations", OrganisationDeclaration)
    routes = _read_section(document, "routes", RouteDeclaration)
    keys = [_read_keys(entry) for entry in organisations.others]
    places = [_read_place(entry) for entry in routes.others]
    return AcceptedDeclaration(
        organisations=organisations.usable,
        classes=_read_section(document, "classes", ClassDeclaration).usable,
        services=_read_section(document, "services", ServiceDeclaration).usable,
        routes=routes.usable,
        limits=_read_limits(document.get("limits")),
        unusable=UnusableEntries(
            keys=frozenset(key for known in keys for key in known or ()),
            routes=tuple(place for place in places if place is not None),
            has_other_keys=None in keys,
            has_other_routes=None in places,
        ),
    )


def _read_section(
    document: Mapping[str, Any], name: str, model: type[BaseModel]
) -> _Section:
    section = _Section(others=list(_list_undecoded(document, name)))
    entries = document.get(name, {})
    if not isinstance(entries, Mapping):
        section.others.append(entries)
        return section
    for entry_name, entry in entries.items():
        try:
            check_accepted_name(entry_name)
            section.usable[entry_name] = _validate(model, entry)
        # Pydantic's ValidationError is a ValueError.
        except ValueError:
            section.others.append(entry)
    return section


def _list_undecoded(document: Mapping[str, Any], name: str) -> Iterator[Any]:
    undecoded = document.get("undecoded")
    entries = undecoded.get(name) if isinstance(undecoded, Mapping) else None
    yield from entries if isinstance(entries, list) else ()


def _validate(model: type[_Entry], entry: object) -> _Entry:
    """Validates an entry without the optional fields that are not valid.

    Raises:
        ValidationError: If a required field is not valid, or no field in particular.
    """
    try:
        return model.model_validate(entry)
    except ValidationError as err:
        places = [item["loc"] for item in err.errors()]
        if not isinstance(entry, Mapping) or not all(places):
            raise
        wrong = {place[0] for place in places}
        required = {
            name for name, known in model.model_fields.items() if known.is_required()
        }
        if wrong & (required | _NEVER_LEFT_OUT):
            raise
        return model.model_validate(
            {name: value for name, value in entry.items() if name not in wrong}
        )


def _read_limits(limits: object) -> LimitDeclaration:
    try:
        return _validate(LimitDeclaration, limits)
    except ValidationError:
        return LimitDeclaration.model_validate({})


def _read_keys(organisation: object) -> list[str] | None:
    """Returns the keys of an organisation; None if they cannot be read."""
    keys = organisation.get("keys") if isinstance(organisation, Mapping) else None
    if not isinstance(keys, list):
        return None
    return [key for key in keys if isinstance(key, str)]


def _read_place(route: object) -> RoutePlace | None:
    """Returns the place of a route; None if it cannot be read."""
    if not isinstance(route, Mapping):
        return None
    try:
        return RoutePlace.model_validate(
            {"host": route.get("host"), "prefix": route.get("prefix")}
        )
    except ValidationError:
        return None

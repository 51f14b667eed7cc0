"""Checks that docs/operators.md lists exactly the names that the code has."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest
from pydantic import BaseModel

from sequoiamoor import errors
from sequoiamoor.declaration import (
    ClassDeclaration,
    Declaration,
    LimitDeclaration,
    OrganisationDeclaration,
    RouteDeclaration,
    ServiceDeclaration,
)
from sequoiamoor.metrics import Metrics
from sequoiamoor.settings import RouterSettings

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "operators.md"
PACKAGE = ROOT / "sequoiamoor"


def read_first_column(heading: str) -> set[str]:
    """Returns the inline code in the first column of the tables under a heading."""
    text = PAGE.read_text(encoding="utf-8")
    section = text.split(f"\n## {heading}\n", 1)[1].split("\n## ", 1)[0]
    return set(re.findall(r"^\| `([^`]+)`", section, flags=re.MULTILINE))


def list_fields(model: type[BaseModel], prefix: str = "") -> set[str]:
    """Returns the dotted names of all fields that hold a value."""
    names = set()
    for name, field in model.model_fields.items():
        annotation = field.annotation
        if isinstance(annotation, type) and issubclass(annotation, BaseModel):
            names |= list_fields(annotation, f"{prefix}{name}.")
        else:
            names.add(f"{prefix}{name}")
    return names


def list_codes() -> set[str]:
    """Returns the codes of all error types."""
    error_types = [
        value
        for value in vars(errors).values()
        if isinstance(value, type) and issubclass(value, errors.SequoiamoorError)
    ]
    return {error_type.code for error_type in error_types} - {"refused"}


def list_metrics() -> set[str]:
    """Returns the names of all metrics as they are exported."""
    names = set()
    for family in Metrics().registry.collect():
        is_counter = family.type == "counter"
        names.add(family.name + ("_total" if is_counter else ""))
    return names


def list_log_events() -> set[str]:
    """Returns the messages of all log calls above the debug level."""
    events = set()
    for path in sorted(PACKAGE.rglob("*.py")):
        if "standin" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and node.func.attr in {"info", "warning", "error", "exception"}
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "_LOG"
            ):
                assert isinstance(node.args[0], ast.Constant), ast.dump(node)
                events.add(str(node.args[0].value))
    return events


def list_declaration_fields() -> set[str]:
    """Returns the dotted names of the fields of a declaration."""
    parts = {
        "organisations": OrganisationDeclaration,
        "classes": ClassDeclaration,
        "services": ServiceDeclaration,
        "routes": RouteDeclaration,
    }
    assert {*parts, "limits"} == set(Declaration.model_fields)
    named = {
        f"{section}.NAME.{name}"
        for section, model in parts.items()
        for name in model.model_fields
    }
    return named | list_fields(LimitDeclaration, "limits.")


@pytest.mark.parametrize(
    ("heading", "expected"),
    [
        ("Router settings", list_fields(RouterSettings)),
        ("Declaration", list_declaration_fields()),
        ("Metrics", list_metrics()),
        ("Error codes", list_codes()),
        ("Log events", list_log_events()),
    ],
)
def test_page_names_exactly_what_the_code_has(heading: str, expected: set[str]) -> None:
    """Guards against a page that lacks an item or describes a removed one."""
    assert read_first_column(heading) == expected

"""Tests of the validation of declarations."""

from __future__ import annotations

from typing import Any

import pytest

from sequoiamoor import SettingsError, parse_declaration


def build_document() -> dict[str, Any]:
    return {
        "organisations": {"a": {}},
        "classes": {"chat": {"first_token_ms": 800}},
        "services": {"talk": {"kind": "engine"}},
    }


@pytest.mark.parametrize(
    ("section", "name", "value", "message"),
    [
        ("organisations", "a", {"weight": 2}, "shares are equal by design"),
        ("services", "talk", {"kind": "engine", "vms": ["x"]}, "platform's list"),
        ("services", "talk", {"kind": "other"}, "'engine' or 'plain'"),
        ("classes", "chat", {}, "exactly one target"),
        ("classes", "Chat", {"first_token_ms": 1}, "not a valid name"),
    ],
)
def test_wrong_field_names_the_remedy(
    section: str, name: str, value: Any, message: str
) -> None:
    """Guards against an invalid field that is accepted or refused without a remedy."""
    document = build_document()
    document[section][name] = value
    with pytest.raises(SettingsError, match=message):
        parse_declaration(document)

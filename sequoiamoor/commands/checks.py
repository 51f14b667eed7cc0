"""Validation of files that operators write."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from ..daemon.budget import describe_budget
from ..declaration import read_declaration
from ..errors import SettingsError
from ..settings import RouterSettings, read_settings


def check_file(path: Path) -> tuple[str, str | None]:
    """Validates a file with router settings or a declaration.

    A JSON object with a field of the router settings counts as settings, everything
    else as a declaration.

    Returns:
        The kind of the file, ``"settings"`` or ``"declaration"``, and for settings the
        sum of the file descriptors that the router uses.

    Raises:
        SettingsError: If the file cannot be read, is not JSON or has invalid fields.
    """
    document = read_json(path)
    if isinstance(document, dict) and not document.keys().isdisjoint(
        RouterSettings.model_fields
    ):
        return "settings", describe_budget(read_settings(path))
    read_declaration(path)
    return "declaration", None


def read_json(path: Path) -> Any:
    """Reads a JSON file.

    Raises:
        SettingsError: If the file cannot be read or is not JSON.
    """
    try:
        return json.loads(path.read_bytes())
    except OSError as err:
        raise SettingsError(
            f"{path}: cannot be read ({err.strerror}); name a readable JSON file"
        ) from err
    except ValueError as err:
        raise SettingsError(
            f"{path}: not JSON ({err}); write one JSON object in UTF-8"
        ) from err

"""Tests of the command line's help."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import typer.main

from sequoiamoor.cli import app


def list_commands(command: Any, path: str) -> Iterator[tuple[str, Any]]:
    yield path, command
    for name, child in getattr(command, "commands", {}).items():
        yield from list_commands(child, f"{path} {name}")


def test_help_is_complete() -> None:
    """Guards against a command or option that its help does not explain."""
    for path, command in list_commands(typer.main.get_command(app), "sequoiamoor"):
        assert command.help, path
        for parameter in command.params:
            has_help = parameter.name in ("help", "install_completion")
            has_help = has_help or parameter.name == "show_completion"
            assert has_help or getattr(parameter, "help", None), (path, parameter.name)

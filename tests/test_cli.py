"""Tests of the command line: its help, and SIGHUP during the start."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import typer.main

from sequoiamoor.cli import app


def list_commands(command: Any, path: str) -> Iterator[tuple[str, Any]]:
    yield path, command
    for name, child in getattr(command, "commands", {}).items():
        yield from list_commands(child, f"{path} {name}")


def test_help_is_complete() -> None:
    """Guards against a command or option without a help text."""
    for path, command in list_commands(typer.main.get_command(app), "sequoiamoor"):
        assert command.help, path
        for parameter in command.params:
            has_help = parameter.name in ("help", "install_completion")
            has_help = has_help or parameter.name == "show_completion"
            assert has_help or getattr(parameter, "help", None), (path, parameter.name)


def test_settings_may_change_while_a_router_starts(tmp_path: Path) -> None:
    """Guards against a router that a SIGHUP ends during its start.

    The default action of the signal ends a process that does not handle it yet.
    """
    path = tmp_path / "settings.json"
    os.mkfifo(path)
    arguments = [sys.executable, "-m", "sequoiamoor", "router", "--settings", str(path)]
    with subprocess.Popen(arguments, stderr=subprocess.PIPE, text=True) as process:
        # Opening the pipe blocks until the router, its modules loaded, opens it too.
        with path.open("w") as stream:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.1)
            stream.write("{}")
        _, errors = process.communicate(timeout=20.0)
    assert process.returncode == 2
    assert "router_id: missing" in errors

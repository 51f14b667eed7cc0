"""Tests of the operators' commands with a platform stand-in and a router process."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from sequoiamoor.standin.processes import start_process

from ..daemon.fleet import DECLARATION, call, run_small_fleet, set_faults


def run_command(*arguments: str) -> tuple[int, str, str]:
    completed = subprocess.run(
        [sys.executable, "-m", "sequoiamoor", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return completed.returncode, completed.stdout, completed.stderr


def write(path: Path, **classes: Any) -> str:
    document = {**DECLARATION, "classes": {**DECLARATION["classes"], **classes}}
    path.write_text(json.dumps(document), encoding="utf-8")
    return str(path)


@pytest.mark.processes
def test_two_operators_race_while_answers_are_lost(tmp_path: Path) -> None:
    """Guards against two accepted changes, a lost one, or a rejection without a reason.

    Two operators change the same version while the platform loses answers.
    """
    with run_small_fleet(1) as (fleet, (router,)):
        platform = ["--platform", str(fleet.platform)]
        set_faults(fleet, lose=0.3)
        commands = []
        for name in ("first", "second"):
            file = write(tmp_path / f"{name}.json", **{name: {"complete_ms": 9}})
            arguments = ["config", "put", file, *platform, "--expect", "1"]
            log = tmp_path / f"{name}.log"
            commands.append((name, start_process(arguments, log), log))
        codes = {name: process.wait(60) for name, process, _ in commands}
        for _, process, _ in commands:
            assert process.stdout is not None
            process.stdout.close()
        assert sorted(codes.values()) == [0, 1]
        winner = min(codes, key=lambda name: codes[name])
        for name, _, log in commands:
            if name != winner:
                text = log.read_text(encoding="utf-8")
                assert "the current version is 2, not 1; nothing was changed" in text
                assert f"- classes.{winner}" in text
        code, output, _ = run_command("config", "history", *platform)
        assert code == 0
        assert output.index("version 2") < output.index("version 1, change first")
        code, output, _ = run_command("config", "get", *platform, "--version", "1")
        assert (code, json.loads(output)) == (0, DECLARATION)
        set_faults(fleet)
        call(router, None)
        code, output, _ = run_command("status", "--router", str(router))
        assert code == 0
        assert "desk-0" in output and "router-0" in output
        code, output, _ = run_command("status", "--router", str(router), "--json")
        rows = json.loads(output)["organisations"]
        assert [row["organisation"] for row in rows] == ["a"]


SETTINGS = {
    "router_id": "r-1",
    "zone": "z",
    "http": {"host": "10.0.0.1", "port": 1},
    "control": {"host": "10.0.0.1", "port": 2},
    "platform": {"host": "10.0.0.2", "port": 3},
}


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        (None, ["cannot be read", "name a readable JSON file"]),
        (b"{", ["not JSON", "write one JSON object"]),
        (b"\xff\xfe{", ["not JSON"]),
        (b"[1]", ["JSON object"]),
        ({**SETTINGS, "zone": "Z!"}, ["zone: got 'Z!'", "lower-case letters"]),
        ({**SETTINGS, "http": {"host": "vm-1", "port": 70_000}}, ["'vm-1'", "65535"]),
        (
            {**SETTINGS, "options": {"claim_time": 1}},
            ["options.claim_time: got 1", "claim_lifetime"],
        ),
        (
            {**DECLARATION, "organisations": {"a": {"weight": 2, "vms": ["x"]}}},
            ["'weight' (2)", "equal by design", "'vms' (['x'])", "name only the serv"],
        ),
        ({**DECLARATION, "classes": {"c": {}}}, ["give exactly one target"]),
        ({"organisations": {}}, ["classes: missing", "services: missing"]),
    ],
)
def test_check_names_place_value_and_remedy(
    content: Any, expected: list[str], tmp_path: Path
) -> None:
    """Guards against an invalid file that passes or is refused without a remedy."""
    from sequoiamoor.commands.checks import check_file
    from sequoiamoor.errors import SettingsError

    path = tmp_path / "file.json"
    if content is not None:
        is_raw = isinstance(content, bytes)
        path.write_bytes(content if is_raw else json.dumps(content).encode())
    with pytest.raises(SettingsError) as caught:
        check_file(path)
    for part in expected:
        assert part in str(caught.value)


def test_exit_codes(tmp_path: Path) -> None:
    """Guards against an exit code of a refused file that means success to scripts."""
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    write(good)
    write(bad, chat={"weight": 3})
    assert run_command("check", str(good))[0] == 0
    assert run_command("check", str(bad))[0] == 2
    arguments = ("--platform", "127.0.0.1:9", "--expect", "1")
    code, _, error = run_command("config", "put", str(bad), *arguments)
    assert code == 2 and "equal by design" in error

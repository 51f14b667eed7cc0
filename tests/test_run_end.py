"""Tests of the end of a run of the tests."""

from __future__ import annotations

import subprocess
import sys
import time
from pathlib import Path

import pytest

pytestmark = pytest.mark.processes

LIMIT_SECONDS = 20.0
TESTS = """
import subprocess, sys, time
from pathlib import Path

def test_first():
    child = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    try:
        Path("started").touch()
        time.sleep(60)
    except BaseException as err:
        raise AssertionError from err
    finally:
        child.kill()
        child.wait()
        Path("ended").touch()

def test_second():
    Path("second").touch()
"""


def wait_for(path: Path) -> None:
    end = time.monotonic() + LIMIT_SECONDS
    while not path.exists():
        assert time.monotonic() < end, f"{path.name} was not written"
        time.sleep(0.05)


@pytest.mark.parametrize("options", [[], ["-n", "1"]])
def test_sigterm_ends_the_processes_of_a_test(
    tmp_path: Path, options: list[str]
) -> None:
    """Guards against routers of an ended run that call ports others have got."""
    (tmp_path / "test_one.py").write_text(TESTS)
    root = Path(__file__).resolve().parent.parent
    command = [sys.executable, "-m", "pytest", "-p", "tests.conftest", *options]
    run = subprocess.Popen(
        command,
        cwd=tmp_path,
        env={"PYTHONPATH": str(root)},
        stdout=subprocess.DEVNULL,
    )
    try:
        wait_for(tmp_path / "started")
        run.terminate()
        assert run.wait(LIMIT_SECONDS) != 0
    finally:
        run.kill()
        run.wait()
    wait_for(tmp_path / "ended")
    assert not (tmp_path / "second").exists()

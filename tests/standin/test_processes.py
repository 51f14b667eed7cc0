"""Tests of the processes of stand-ins."""

from __future__ import annotations

import fcntl
import os
import resource
import subprocess
import sys
from collections.abc import Iterator

import pytest

from sequoiamoor.standin.processes import read_listening
from sequoiamoor.types import Address

HIGH_DESCRIPTOR = 1_100


@pytest.fixture
def many_descriptors() -> Iterator[None]:
    """Allows descriptors beyond those that ``select`` takes."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, HIGH_DESCRIPTOR + 10), hard))
    yield
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.usefixtures("many_descriptors")
def test_address_is_read_in_a_process_with_many_descriptors() -> None:
    """Guards against a fleet that does not start beside over 1,024 open descriptors."""
    line = '{"listening": ["127.0.0.1", 80]}'
    with subprocess.Popen(
        [sys.executable, "-c", f"print({line!r})"], stdout=subprocess.PIPE
    ) as process:
        assert process.stdout is not None
        high = fcntl.fcntl(process.stdout, fcntl.F_DUPFD, HIGH_DESCRIPTOR)
        process.stdout.close()
        process.stdout = os.fdopen(high, "rb")
        assert read_listening(process) == Address("127.0.0.1", 80)

"""Tests of the processes of stand-ins."""

from __future__ import annotations

import fcntl
import os
import resource
import subprocess

from sequoiamoor.standin.processes import read_listening
from sequoiamoor.types import Address

# Beyond those that ``select`` takes.
HIGH_DESCRIPTOR = 1_100


def test_address_is_read_in_a_process_with_many_descriptors() -> None:
    """Guards against a fleet that does not start beside over 1,024 open descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, HIGH_DESCRIPTOR + 10), hard))
    command = ["echo", '{"listening": ["127.0.0.1", 80]}']
    try:
        with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
            assert process.stdout is not None
            with process.stdout as low:
                high = fcntl.fcntl(low, fcntl.F_DUPFD, HIGH_DESCRIPTOR)
            process.stdout = os.fdopen(high, "rb")
            assert read_listening(process) == Address("127.0.0.1", 80)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

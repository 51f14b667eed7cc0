"""Processes of this package: started, read and ended by id."""

from __future__ import annotations

import contextlib
import json
import select
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from ..types import Address

LISTENING_TIMEOUT_SECONDS = 20.0
# A router drains after the first SIGTERM and ends at once after the second.
DRAIN_TIMEOUT_SECONDS = 3.0
END_TIMEOUT_SECONDS = 5.0


def find_free_port(host: str) -> int:
    """Returns a port that was free a moment ago."""
    with reserve_port(host) as sock:
        port: int = sock.getsockname()[1]
        return port


def reserve_port(host: str) -> socket.socket:
    """Returns a socket whose port no other process is given while it is open.

    The socket is bound but does not listen; SO_REUSEADDR lets another process bind
    the same port.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    return sock


def start_process(arguments: list[str], log: Path) -> subprocess.Popen[bytes]:
    """Starts one ``sequoiamoor`` process with its standard error in ``log``.

    A router's standard output, which has its log lines, goes there too; a stand-in
    tells its address on it.

    A session of its own keeps Ctrl-C away from the process, so that its starter ends
    it in order.
    """
    with log.open("ab") as stream:
        return subprocess.Popen(
            [sys.executable, "-m", "sequoiamoor", *arguments],
            stdin=subprocess.DEVNULL,
            stdout=stream if arguments[0] == "router" else subprocess.PIPE,
            stderr=stream,
            start_new_session=True,
        )


def read_listening(process: subprocess.Popen[bytes]) -> Address:
    """Reads the line in which a stand-in tells its address.

    Raises:
        RuntimeError: If the stand-in ends or says nothing.
    """
    stdout = process.stdout
    assert stdout is not None
    readable, _, _ = select.select([stdout], [], [], LISTENING_TIMEOUT_SECONDS)
    line = stdout.readline() if readable else b""
    if not line:
        raise RuntimeError("the stand-in does not listen")
    host, port = json.loads(line)["listening"]
    return Address(host, port)


def end_processes(processes: list[subprocess.Popen[bytes]]) -> None:
    """Ends processes, with more force where one does not end."""
    steps: tuple[tuple[Callable[[subprocess.Popen[bytes]], None], float], ...] = (
        (subprocess.Popen.terminate, DRAIN_TIMEOUT_SECONDS),
        (subprocess.Popen.terminate, END_TIMEOUT_SECONDS),
        (subprocess.Popen.kill, END_TIMEOUT_SECONDS),
    )
    for process in processes:
        # A paused process could not act on a signal to end.
        process.send_signal(signal.SIGCONT)
    for send, timeout in steps:
        running = [process for process in processes if process.poll() is None]
        for process in running:
            send(process)
        end = time.monotonic() + timeout
        for process in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(0.0, end - time.monotonic()))
    for process in processes:
        if process.stdout is not None:
            process.stdout.close()

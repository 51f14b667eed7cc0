"""Starts, reads and ends processes of this package, each by its own handle."""

from __future__ import annotations

import contextlib
import json
import selectors
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path

from ..types import Address

LISTENING_TIMEOUT_SECONDS = 20.0
# A router drains after the first SIGTERM and exits at once after the second.
DRAIN_TIMEOUT_SECONDS = 3.0
END_TIMEOUT_SECONDS = 5.0


def find_free_port(host: str) -> int:
    """Returns a port that was free at the time of the call."""
    with reserve_port(host) as sock:
        port: int = sock.getsockname()[1]
        return port


def reserve_port(host: str) -> socket.socket:
    """Returns a bound socket, which reserves its port while it is open.

    The system does not choose the port for a process that binds port 0. The process
    for which it is reserved can bind it by number, because the socket sets SO_REUSEADDR
    and does not listen.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, 0))
    return sock


def start_process(arguments: list[str], log: Path) -> subprocess.Popen[bytes]:
    """Starts one ``sequoiamoor`` process with its standard error in ``log``.

    The standard output of a router, which carries its log lines, goes there too. That
    of a stand-in is a pipe, on which it prints its address.

    The process runs in its own session, so that Ctrl-C does not reach it and its
    launcher can end it in order.
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
    """Reads the line on which a stand-in prints its address.

    Raises:
        RuntimeError: If the stand-in ends or prints nothing within
            ``LISTENING_TIMEOUT_SECONDS``.
    """
    stdout = process.stdout
    assert stdout is not None
    with selectors.DefaultSelector() as selector:
        selector.register(stdout, selectors.EVENT_READ)
        is_readable = bool(selector.select(LISTENING_TIMEOUT_SECONDS))
    line = stdout.readline() if is_readable else b""
    if not line:
        raise RuntimeError(
            "the stand-in ended or did not print its address in time; see its log"
        )
    host, port = json.loads(line)["listening"]
    return Address(host, port)


def end_processes(processes: list[subprocess.Popen[bytes]]) -> None:
    """Ends processes with SIGTERM, a second SIGTERM and SIGKILL until they exit."""
    steps: tuple[tuple[Callable[[subprocess.Popen[bytes]], None], float], ...] = (
        (subprocess.Popen.terminate, DRAIN_TIMEOUT_SECONDS),
        (subprocess.Popen.terminate, END_TIMEOUT_SECONDS),
        (subprocess.Popen.kill, END_TIMEOUT_SECONDS),
    )
    for process in processes:
        # A stopped process would not handle SIGTERM.
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

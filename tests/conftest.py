"""Ends a run of the tests in order when it is told to end."""

from __future__ import annotations

import signal
import threading

import pytest


def pytest_sessionstart(session: pytest.Session) -> None:
    """Lets SIGTERM end the running test as Ctrl-C does, and no other test begin.

    Its default action leaves the processes of that test running. Such a router would
    go on calling ports that other programs get later.
    """

    def stop(number: int, _: object) -> None:
        # A test may turn the exception into another one.
        session.shouldstop = signal.Signals(number).name
        raise KeyboardInterrupt

    if threading.current_thread() is threading.main_thread():
        signal.signal(signal.SIGTERM, stop)
        # A worker gets this one when the process that started it has ended.
        signal.signal(signal.SIGINT, stop)

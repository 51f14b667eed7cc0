"""Runs the ``sequoiamoor`` command as a module."""

from __future__ import annotations

import signal


def run() -> None:
    """Runs the command.

    SIGHUP announces a changed settings file, and its default action ends the process.
    It is ignored during the imports, which take a while, until the router handles it.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import main

    main()


run()

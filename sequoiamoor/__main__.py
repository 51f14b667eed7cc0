"""Runs the ``sequoiamoor`` command as a module."""

from __future__ import annotations

import signal


def run() -> None:
    """Runs the command.

    The imports take a while, in which a changed settings file may be announced already;
    the default action of that signal would end the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .cli import main

    main()


run()

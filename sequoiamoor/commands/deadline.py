"""A deadline that holds even for a process that is stopped."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator


@contextlib.contextmanager
def end_process_after(seconds: float) -> Iterator[None]:
    """Ends this process with SIGALRM if the ``with`` block takes longer.

    The timer runs on while the process is stopped, and the default action of the
    signal comes before the next instruction of the program. A check in the program
    leaves a gap between itself and what it allows.

    Args:
        seconds: Real time for the block, above 0.
    """
    previous = signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous)

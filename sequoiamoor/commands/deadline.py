"""A deadline that applies even to a stopped process."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Iterator


@contextlib.contextmanager
def end_process_after(seconds: float) -> Iterator[None]:
    """Ends this process with SIGALRM if the ``with`` block takes longer.

    The timer continues while the process is stopped, and the kernel applies the default
    action of the signal before the program's next instruction. A check in the program
    would leave a gap between the check and the action that it permits.

    Args:
        seconds: Real time in seconds allowed for the block, above 0.
    """
    previous_handler = signal.signal(signal.SIGALRM, signal.SIG_DFL)
    signal.setitimer(signal.ITIMER_REAL, seconds)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)

"""The platform's limit of memory: it kills a process that is over it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from rig_three import Record, Router

MEGABYTE = 1_048_576
SAMPLE_SECONDS = 0.05
RESTART_SECONDS = 0.5


def read_resident(process_id: int) -> int:
    """Returns the resident bytes of a process; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
    except OSError:
        return 0
    sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return int(sizes[0]) * 1024 if sizes else 0


async def guard_memory(
    router: Router, limit_mb: int, *, seconds: float, record: Record
) -> tuple[float, int]:
    """Kills the router when it is over the limit, and starts it again.

    Returns:
        Most resident megabytes, and the number of ends.
    """
    ends_at = time.monotonic() + seconds
    peak, ends = 0.0, 0
    while time.monotonic() < ends_at:
        assert router.process is not None
        resident = read_resident(router.process.pid) / MEGABYTE
        peak = max(peak, resident)
        if resident > limit_mb:
            record.add(f"{resident:.1f} MB resident; the platform kills the router")
            router.process.kill()
        if router.process.poll() is not None or resident > limit_mb:
            router.process.wait()
            ends += 1
            await asyncio.sleep(RESTART_SECONDS)
            router.start()
        await asyncio.sleep(SAMPLE_SECONDS)
    return peak, ends

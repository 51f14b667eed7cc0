"""The platform's limit of memory: it kills a process that is over it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from rig_three import Record, Router

MEGABYTE = 1_048_576
SAMPLE_SECONDS = 0.05


def count_unread(port: int) -> int:
    """Returns the bytes that were received for channels to a port and not read."""
    total = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[3] in ("01", "08") and int(fields[1].partition(":")[2], 16) == port:
            total += int(fields[4].partition(":")[2], 16)
    return total


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
) -> bool:
    """Kills the router if it is over the limit, as the platform does.

    Bytes that were received on its callers' channels and not read count, too.

    Returns:
        Whether the router has ended.
    """
    assert router.process is not None
    ends_at = time.monotonic() + seconds
    resident_peak = peak = 0.0
    while time.monotonic() < ends_at and router.process.poll() is None:
        resident = read_resident(router.process.pid) / MEGABYTE
        unread = count_unread(router.http[1]) / MEGABYTE
        resident_peak, peak = max(resident_peak, resident), max(peak, resident + unread)
        record.add(f"resident {resident:.1f} MB, unread {unread:.1f} MB")
        if resident + unread > limit_mb:
            record.add("over the limit; the platform kills the process")
            router.process.kill()
            router.process.wait()
        await asyncio.sleep(SAMPLE_SECONDS)
    has_ended = router.process.poll() is not None
    print(
        f"resident {resident_peak:.1f} MB, with unread {peak:.1f} MB of {limit_mb} MB; "
        f"{'killed by the platform' if has_ended else 'still runs'}"
    )
    return has_ended

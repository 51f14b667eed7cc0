"""CPU time, memory and metrics, read from ``/proc`` and ``/metrics``."""

from __future__ import annotations

import os
from pathlib import Path

from sequoiamoor.standin.client import read_metrics
from sequoiamoor.types import Address

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_series(router: Address, name: str, **labels: str) -> float:
    """Returns the sum of a router's series with these labels; 0 if there is none."""
    return sum(read_metrics(router).read(name, **labels), 0.0)


def read_labelled_totals(router: Address, *prefixes: str) -> dict[str, float]:
    """Returns a router's labelled counters whose names have one of the prefixes."""
    return {
        f"{name}{dict(labels)}": value
        for name, samples in read_metrics(router).samples.items()
        if name.startswith(prefixes) and name.endswith("_total")
        for labels, value in samples
        if labels
    }


def _read_stat(pid: int) -> list[str]:
    """Returns the fields of ``/proc/PID/stat`` from the state on."""
    return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()


def _sum_cpu_seconds(fields: list[str]) -> float:
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_cpu_seconds(pid: int) -> float:
    """Returns the CPU time of a process in seconds.

    Raises:
        OSError: If the process is gone.
    """
    return _sum_cpu_seconds(_read_stat(pid))


def find_cpu_seconds(pid: int) -> float | None:
    """Returns the CPU time of a process in seconds, or None if it is gone."""
    try:
        fields = _read_stat(pid)
    except OSError:
        return None
    return None if fields[0] == "Z" else _sum_cpu_seconds(fields)


def read_resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes.

    Raises:
        OSError: If the process is gone.
    """
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def find_resident_bytes(pid: int) -> int | None:
    """Returns the resident memory of a process in bytes, or None if it is gone."""
    try:
        return read_resident_bytes(pid) or None
    except OSError:
        return None

"""Tests of reading ``/metrics`` and ``/proc``."""

from __future__ import annotations

import os
import subprocess
import sys

import pytest

from benchmarks import usage
from sequoiamoor.standin.client import Series, parse_metrics
from sequoiamoor.types import Address

ROUTER = Address("127.0.0.1", 1)
PAGE = """\
# TYPE sequoiamoor_members gauge
sequoiamoor_members 3.0
# TYPE sequoiamoor_control_bytes_total counter
sequoiamoor_control_bytes_total{direction="in"} 5.0
sequoiamoor_control_bytes_total{direction="out"} 7.0
# TYPE sequoiamoor_control_protocol_errors_total counter
sequoiamoor_control_protocol_errors_total 2.0
# TYPE sequoiamoor_control_peers gauge
sequoiamoor_control_peers{zone="zone-a"} 4.0
"""


@pytest.fixture
def page(monkeypatch: pytest.MonkeyPatch) -> None:
    def read(router: Address) -> Series:
        assert router == ROUTER
        return parse_metrics(PAGE)

    monkeypatch.setattr(usage, "read_metrics", read)


@pytest.mark.usefixtures("page")
@pytest.mark.parametrize(
    ("name", "labels", "expected"),
    [
        ("sequoiamoor_members", {}, 3.0),
        ("sequoiamoor_control_bytes_total", {}, 12.0),
        ("sequoiamoor_control_bytes_total", {"direction": "out"}, 7.0),
        ("sequoiamoor_control_bytes_total", {"direction": "up"}, 0.0),
        ("sequoiamoor_control_bytes", {}, 0.0),
    ],
)
def test_series_is_the_sum_over_the_other_labels(
    name: str, labels: dict[str, str], expected: float
) -> None:
    """Guards against sums that include another series or other labels."""
    assert usage.read_series(ROUTER, name, **labels) == expected


@pytest.mark.usefixtures("page")
def test_labelled_totals_leave_out_gauges_and_plain_counters() -> None:
    """Guards against gauges that are counted as traffic."""
    found = usage.read_labelled_totals(ROUTER, "sequoiamoor_control_")
    assert sorted(found.values()) == [5.0, 7.0]
    assert all("bytes" in name for name in found)


def test_ended_process_has_no_figures() -> None:
    """Guards against figures that include the CPU time of a killed router."""
    process = subprocess.Popen([sys.executable, "-c", ""])
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
    assert usage.find_cpu_seconds(process.pid) is None
    assert usage.find_resident_bytes(process.pid) is None
    process.wait()
    assert usage.find_cpu_seconds(process.pid) is None
    assert usage.find_resident_bytes(process.pid) is None
    with pytest.raises(OSError):
        usage.read_cpu_seconds(process.pid)


def test_live_process_has_figures() -> None:
    """Guards against reading the wrong fields of ``/proc/PID/stat``."""
    times = os.times()
    found = usage.find_cpu_seconds(os.getpid())
    later = os.times()
    assert found is not None
    tick = 1 / usage.CLOCK_TICKS_PER_SECOND
    assert times.user + times.system - 2 * tick <= found
    assert found <= later.user + later.system + 2 * tick
    assert usage.read_resident_bytes(os.getpid()) > 1_000_000

"""Tests of the count of CPU time that control tasks use."""

from __future__ import annotations

import curio
import pytest

from sequoiamoor.daemon.usage import ControlUsage


class Clock:
    """A clock that the tasks of a test advance, in place of CPU time."""

    def __init__(self) -> None:
        self.now = 0.0

    def read(self) -> float:
        return self.now


@pytest.mark.parametrize(
    ("is_control", "in_call", "expected"),
    [(False, False, 0.0), (True, False, 11.0), (False, True, 4.0), (True, True, 15.0)],
)
def test_only_control_work_is_counted(
    is_control: bool, in_call: bool, expected: float
) -> None:
    """Guards against counting the CPU time of forwarding as that of control tasks.

    The CPU time of tasks that a control task spawns must be counted as well.
    """
    clock, counted = Clock(), [0.0]

    def add(seconds: float) -> None:
        counted[0] += seconds

    usage = ControlUsage(add, read_time=clock.read)

    async def work(seconds: float) -> None:
        for _ in range(2):
            clock.now += seconds / 2
            await curio.sleep(0)

    async def control() -> None:
        if is_control:
            usage.include(await curio.current_task())
        clock.now += 1.0
        child = await curio.spawn(work, 10.0)
        if in_call:
            with usage.count(), usage.count():
                clock.now += 4.0
        await child.join()

    async def run() -> None:
        tasks = [await curio.spawn(control), await curio.spawn(work, 100.0)]
        for task in tasks:
            await task.join()

    curio.run(run, activations=[usage])
    assert counted[0] == expected

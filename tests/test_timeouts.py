"""Tests of timeouts on a late event loop."""

from __future__ import annotations

import selectors
import socket
import time
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

import curio
import curio.io
import curio.kernel
import pytest
from curio.timequeue import TimeQueue

from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.timeouts import ignore_after, timeout_after, wait_for
from sequoiamoor.types import Address

INNER_SECONDS = 0.02
OUTER_SECONDS = 0.06
CUTOFF_SECONDS = 0.04
SIMULATED_SECONDS = 1_000.0

NextWait = Callable[[], Awaitable[object]]


async def wait_for_event() -> None:
    await curio.Event().wait()


async def wait_with_timeout() -> None:
    await wait_for(10.0, curio.Event().wait)


async def wait_to_receive() -> None:
    left, right = socket.socketpair()
    left.setblocking(False)
    async with curio.io.Socket(left) as sock:
        try:
            await sock.recv(1)
        finally:
            right.close()


async def wait_for_task() -> None:
    task = await curio.spawn(curio.sleep, 10.0)
    try:
        await task.wait()
    finally:
        await task.cancel(blocking=False)


async def connect() -> None:
    server = curio.network.tcp_server_socket("127.0.0.1", 0)
    try:
        connection = await ClientConnection.connect(
            Address(*server.getsockname()[:2]), timeout=10.0
        )
        await connection.close()
    finally:
        await server.close()


async def leave_inner_block_late(next_wait: NextWait) -> str:
    """Leaves a block whose timer was noticed, with the outer time over as well.

    Returns:
        How the next wait in the outer block ended.
    """
    is_ready = curio.Event()

    async def make_ready_late() -> None:
        await curio.sleep(0)
        time.sleep(INNER_SECONDS * 1.5)
        # Runs in the next pass, after the timer is noticed and before the other task.
        await curio.spawn(occupy_loop, daemon=True)
        await is_ready.set()

    async def occupy_loop() -> None:
        time.sleep(OUTER_SECONDS)

    await curio.spawn(make_ready_late, daemon=True)
    try:
        async with timeout_after(OUTER_SECONDS):
            async with ignore_after(INNER_SECONDS):
                await is_ready.wait()
            await next_wait()
    except curio.TaskTimeout:
        return "outer timeout"
    return "completed"


# Guards against a request that is ended by the timeout of an earlier wait, which the
# caller sees as an internal error or a stream that breaks off.
@pytest.mark.parametrize(
    ("next_wait", "end"),
    [
        (wait_for_event, "outer timeout"),
        (wait_with_timeout, "outer timeout"),
        (wait_to_receive, "outer timeout"),
        (wait_for_task, "outer timeout"),
        (partial(curio.sleep, 10.0), "outer timeout"),
        (connect, "completed"),
    ],
)
def test_timeout_of_a_left_block_does_not_end_a_later_wait(
    next_wait: NextWait, end: str
) -> None:
    assert curio.run(leave_inner_block_late, next_wait) == end


async def enter_block_late(is_nested: bool) -> str:
    """Enters and leaves blocks without a wait after the outer time is over.

    Returns:
        How the next wait in the outer block ended.
    """
    is_ready = curio.Event()

    async def make_ready_late() -> None:
        await curio.sleep(0)
        time.sleep(OUTER_SECONDS * 1.5)
        await is_ready.set()

    await curio.spawn(make_ready_late, daemon=True)
    try:
        async with timeout_after(OUTER_SECONDS):
            await is_ready.wait()
            async with ignore_after(10.0):
                if is_nested:
                    async with timeout_after(10.0):
                        pass
            await curio.sleep(1.0)
    except curio.TaskTimeout:
        return "outer timeout"
    return "completed"


# Guards against a request that never ends because its deadline was noticed before it
# entered a wait that needed no time.
@pytest.mark.parametrize("is_nested", [False, True])
def test_timeout_of_an_outer_block_is_kept_when_an_inner_one_is_left(
    is_nested: bool,
) -> None:
    assert curio.run(enter_block_late, is_nested) == "outer timeout"


async def wait_while_cancelled() -> None:
    """Is cancelled in a block and waits in another one inside it."""
    async with timeout_after(CUTOFF_SECONDS * 2):
        try:
            await curio.Event().wait()
        finally:
            async with ignore_after(CUTOFF_SECONDS * 3):
                await curio.Event().wait()


async def wait_after_timeout() -> None:
    """Waits in a block inside another one whose time is over."""
    # The kernel tells near timers from distant ones by its last wait.
    await curio.sleep(CUTOFF_SECONDS / 8)
    async with timeout_after(CUTOFF_SECONDS * 2), timeout_after(CUTOFF_SECONDS / 2):
        try:
            await curio.Event().wait()
        finally:
            async with ignore_after(CUTOFF_SECONDS * 3):
                await curio.Event().wait()


# Guards against a router that cannot end because a cancelled task waits forever for a
# write that has a time limit.
@pytest.mark.parametrize("wait", [wait_while_cancelled, wait_after_timeout])
def test_block_entered_while_another_one_ends_has_its_own_time(
    wait: Callable[[], Awaitable[None]], monkeypatch: pytest.MonkeyPatch
) -> None:
    # The kernel keeps timers that are further away than this in another queue.
    monkeypatch.setattr(TimeQueue, "cutoff", CUTOFF_SECONDS)

    async def session() -> bool:
        task = await curio.spawn(wait)
        await curio.sleep(CUTOFF_SECONDS / 4)
        if wait is wait_while_cancelled:
            await task.cancel(blocking=False)
        await curio.sleep(CUTOFF_SECONDS * 6)
        has_ended: bool = task.terminated
        if not has_ended:
            # Set only once by curio; without this the waiting task could not be ended.
            task.cancelled = None
            await task.cancel()
        return has_ended

    assert curio.run(session)


# Guards against a cancelled request that goes on because its timer was noticed as well.
def test_cancellation_is_delivered_after_a_left_block() -> None:
    async def wait_in_blocks(has_begun: curio.Event) -> None:
        async with ignore_after(INNER_SECONDS):
            await has_begun.set()
            while True:
                try:
                    await curio.sleep(10.0)
                finally:
                    async with ignore_after(10.0):
                        pass

    async def session() -> None:
        has_begun = curio.Event()
        task = await curio.spawn(wait_in_blocks, has_begun)
        await has_begun.wait()
        await task.cancel()
        assert isinstance(task.exception, curio.TaskCancelled)

    curio.run(session)


class SimulatedLoop:
    """Clock and selector of an event loop whose time passes only as it is told."""

    def __init__(self) -> None:
        self.now = 1_000.0
        self._selector = selectors.DefaultSelector()

    def __getattr__(self, name: str) -> object:
        return getattr(self._selector, name)

    def monotonic(self) -> float:
        return self.now

    def select(self, timeout: float | None) -> list[Any]:
        events: list[Any] = self._selector.select(0)
        if not events:
            assert timeout is not None
            self.now += timeout
        return events


class RandomProgram:
    """Nested blocks, waits and pauses of the event loop, drawn from a seed.

    Attributes:
        faults: Timeouts that came from no enclosing block whose time was over.
    """

    def __init__(self, loop: SimulatedLoop, rng: Random) -> None:
        self._loop = loop
        self._rng = rng
        self._events = [curio.Event() for _ in range(3)]
        self.faults: list[str] = []

    async def run(self) -> None:
        for _ in range(3):
            await self._run_block((), 5.0)

    async def _run_block(self, deadlines: tuple[float, ...], seconds: float) -> None:
        ends_at = self._loop.now + seconds
        kind = self._rng.choice([ignore_after, timeout_after])
        try:
            async with kind(seconds):
                try:
                    await self._run_body((*deadlines, ends_at))
                finally:
                    if self._rng.random() < 0.3:
                        async with ignore_after(self._rng.choice([0.01, 0.5, 4.0])):
                            await curio.Event().wait()
        except curio.TaskTimeout:
            if kind is ignore_after or self._loop.now < ends_at:
                self.faults.append("a block was ended before its time")
        except curio.UncaughtTimeoutError:
            self.faults.append("a timeout belonged to no block")
        except ValueError:
            pass

    async def _run_body(self, deadlines: tuple[float, ...]) -> None:
        for _ in range(self._rng.randint(1, 3)):
            # Nothing else runs meanwhile: the event loop is late.
            self._loop.now += self._rng.choice([0.0, 0.0, 0.01, 0.05, 0.3])
            draw = self._rng.random()
            if draw < 0.45 and len(deadlines) < 5:
                seconds = self._rng.choice([0.0, 0.005, 0.02, 0.06, 0.3, 1.0, 2.5, 9.0])
                await self._run_block(deadlines, seconds)
            elif draw < 0.9:
                await self._wait(deadlines)
            else:
                await self._rng.choice(self._events).set()
            draw = self._rng.random()
            if draw < 0.08:
                raise ValueError
            if draw < 0.16:
                return

    async def _wait(self, deadlines: tuple[float, ...]) -> None:
        wait = self._rng.choice(
            [
                self._rng.choice(self._events).wait,
                curio.Event().wait,
                partial(curio.sleep, self._rng.choice([0.0, 0.001, 0.02, 0.4, 3.0])),
            ]
        )
        try:
            await wait()
        except curio.TaskTimeout as err:
            if min(deadlines) > err.args[0]:
                self.faults.append("a wait was ended before its time")
            raise


# Guards against requests that never end, or end early, for a combination of nested
# times, late passes and cancellations that no other test has.
@pytest.mark.parametrize("is_cancelled", [False, True])
@pytest.mark.parametrize("first_seed", range(0, 400, 100))
def test_each_wait_ends_by_the_time_of_an_enclosing_block(
    first_seed: int, is_cancelled: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def session(loop: SimulatedLoop, rng: Random) -> list[str]:
        programs = [RandomProgram(loop, rng) for _ in range(4)]
        tasks = [await curio.spawn(program.run) for program in programs]
        for task in tasks if is_cancelled else []:
            await curio.sleep(rng.choice([0.0, 0.01, 0.3]))
            await task.cancel(blocking=False)
        await curio.sleep(SIMULATED_SECONDS)
        faults = [fault for program in programs for fault in program.faults]
        while waiting := [task for task in tasks if not task.terminated]:
            faults.append("a wait never ends")
            for task in waiting:
                # Set only once by curio; without this the task could not be ended.
                task.cancelled = None
                await task.cancel(blocking=False)
            await curio.sleep(SIMULATED_SECONDS)
        return faults

    for seed in range(first_seed, first_seed + 100):
        loop = SimulatedLoop()
        monkeypatch.setattr(curio.kernel, "time", loop)
        faults = curio.run(session, loop, Random(seed), selector=loop)
        assert (seed, faults) == (seed, [])


@pytest.mark.parametrize(("seconds", "result"), [(10.0, "done"), (0.01, None)])
def test_wait_ends_with_a_result_or_after_its_time(
    seconds: float, result: str | None
) -> None:
    """Guards against a wait that ignores its result or its time."""

    async def work() -> str:
        await curio.sleep(0.05)
        return "done"

    assert curio.run(wait_for, seconds, work) == result

"""Tests of timeouts on a late event loop."""

from __future__ import annotations

import selectors
from collections.abc import Awaitable, Callable
from contextlib import nullcontext
from functools import partial
from random import Random
from typing import Any

import curio
import curio.kernel
import pytest

from sequoiamoor.net.http_client import ClientConnection
from sequoiamoor.timeouts import ignore_after, timeout_after, wait_for
from sequoiamoor.types import Address


class SimulatedLoop(selectors.DefaultSelector):
    """Clock and selector of an event loop whose time passes only as it is told."""

    now = 1_000.0

    def monotonic(self) -> float:
        return self.now

    def select(self, timeout: float | None = None) -> list[Any]:
        events = super().select(0)
        if not events:
            assert timeout is not None, "a wait never ends"
            self.now += timeout
        return events


def run(session: Callable[[SimulatedLoop], Awaitable[Any]]) -> Any:
    loop = SimulatedLoop()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(curio.kernel, "time", loop)
        return curio.run(session, loop, selector=loop)


async def wait_to_receive() -> None:
    ours, theirs = curio.socket.socketpair()
    async with ours, theirs:
        await ours.recv(1)


async def wait_for_task() -> None:
    await (await curio.spawn(curio.sleep, 10.0, daemon=True)).wait()


async def connect() -> None:
    async with curio.network.tcp_server_socket("127.0.0.1", 0) as server:
        address = Address(*server.getsockname())
        await (await ClientConnection.connect(address, timeout=10.0)).close()


async def enter_blocks(inner: Any) -> None:
    async with ignore_after(10.0), inner:
        pass
    await curio.sleep(1.0)


# Guards against a request that is ended by the timeout of an earlier wait (seen as an
# internal error or a stream that breaks off), goes on although it was cancelled, or
# never ends because its deadline was noticed before a wait that needed no time.
@pytest.mark.parametrize(
    ("inner_seconds", "next_wait", "end"),
    [
        (0.02, lambda: curio.Event().wait(), "TaskTimeout"),
        (0.02, lambda: wait_for(10.0, curio.Event().wait), "TaskTimeout"),
        (0.02, wait_to_receive, "TaskTimeout"),
        (0.02, wait_for_task, "TaskTimeout"),
        (0.02, partial(curio.sleep, 10.0), "TaskTimeout"),
        (0.02, connect, "completed"),
        (0.02, partial(curio.sleep, 10.0), "TaskCancelled"),
        (None, partial(enter_blocks, nullcontext()), "TaskTimeout"),
        (None, partial(enter_blocks, timeout_after(10.0)), "TaskTimeout"),
    ],
)
def test_late_timeout_ends_only_the_waits_of_its_own_block(
    inner_seconds: float | None, next_wait: Callable[[], Awaitable[Any]], end: str
) -> None:
    outer_seconds = 0.06

    async def session(loop: SimulatedLoop) -> str:
        is_ready = curio.Event()
        task = await curio.current_task()
        inner = ignore_after(inner_seconds) if inner_seconds else nullcontext()

        async def make_late(seconds: float) -> None:
            loop.now += seconds

        async def make_ready_late() -> None:
            await curio.sleep(0)
            await make_late((inner_seconds or outer_seconds) * 1.5)
            # Runs in the next pass, after the timer is noticed and before the task.
            await curio.spawn(make_late, outer_seconds, daemon=True)
            await is_ready.set()
            if end == "TaskCancelled":
                await task.cancel(blocking=False)

        await curio.spawn(make_ready_late, daemon=True)
        try:
            async with timeout_after(outer_seconds):
                async with inner:
                    await is_ready.wait()
                await next_wait()
            return "completed"
        except (curio.TaskTimeout, curio.TaskCancelled) as err:
            return type(err).__name__

    assert run(session) == end


# Guards against a router that cannot end because a cancelled task waits forever for a
# write that has a time limit, or that goes on because a timer was noticed as well.
@pytest.mark.parametrize(
    ("seconds", "is_cancelled", "last_seconds", "end"),
    [
        (9.0, True, 9.0, curio.TaskTimeout),
        (0.5, False, 9.0, curio.TaskTimeout),
        (0.02, True, 0.0, curio.TaskCancelled),
    ],
)
def test_block_entered_while_another_one_ends_has_its_own_time(
    seconds: float, is_cancelled: bool, last_seconds: float, end: type[Exception]
) -> None:
    async def wait() -> None:
        # The kernel tells near timers from distant ones by its last wait.
        await curio.sleep(0.1)
        async with timeout_after(2.0), timeout_after(seconds):
            try:
                await curio.Event().wait()
            finally:
                async with ignore_after(3.0):
                    if last_seconds:
                        await curio.sleep(last_seconds)

    async def session(loop: SimulatedLoop) -> None:
        task = await curio.spawn(wait)
        await curio.sleep(0.11)
        if is_cancelled:
            await task.cancel(blocking=False)
        await task.wait()
        assert isinstance(task.exception, end)
        assert loop.now < 1_004.0

    run(session)


async def run_random_program(
    loop: SimulatedLoop, rng: Random, faults: list[str]
) -> None:
    """Nests blocks and waits; records timeouts of no enclosing block that was over."""
    events = [curio.Event() for _ in range(3)]

    async def run_block(seconds: float, *outer_deadlines: float) -> None:
        deadlines = (*outer_deadlines, loop.now + seconds)
        kind = rng.choice([ignore_after, timeout_after])
        try:
            async with kind(seconds):
                try:
                    await run_body(deadlines)
                finally:
                    if rng.random() < 0.3:
                        async with ignore_after(rng.choice([0.01, 0.5, 4.0])):
                            await curio.Event().wait()
        except curio.TaskTimeout:
            if kind is ignore_after or loop.now < deadlines[-1]:
                faults.append("a block was ended before its time")
        except curio.UncaughtTimeoutError:
            faults.append("a timeout belonged to no block")
        except ValueError:
            pass

    async def run_body(deadlines: tuple[float, ...]) -> None:
        for _ in range(rng.randint(1, 3)):
            # Nothing else runs meanwhile: the event loop is late.
            loop.now += rng.choice([0.0, 0.0, 0.01, 0.05, 0.3])
            draw = rng.random()
            if draw < 0.45 and len(deadlines) < 5:
                times = [0.0, 0.005, 0.02, 0.06, 0.3, 1.0, 2.5, 9.0]
                await run_block(rng.choice(times), *deadlines)
            elif draw < 0.9:
                waits = [rng.choice(events).wait, curio.Event().wait]
                sleep = partial(curio.sleep, rng.choice([0.0, 0.001, 0.02, 0.4, 3.0]))
                try:
                    await rng.choice([*waits, sleep])()
                except curio.TaskTimeout as err:
                    if min(deadlines) > err.args[0]:
                        faults.append("a wait was ended before its time")
                    raise
            else:
                await rng.choice(events).set()
            draw = rng.random()
            if draw < 0.08:
                raise ValueError
            if draw < 0.16:
                return

    for _ in range(3):
        await run_block(5.0)


# Guards against requests that never end, or end early, for a combination of nested
# times, late passes and cancellations that no other test has.
@pytest.mark.parametrize("is_cancelled", [False, True])
@pytest.mark.parametrize("first_seed", range(0, 400, 100))
def test_each_wait_ends_by_the_time_of_an_enclosing_block(
    first_seed: int, is_cancelled: bool
) -> None:
    async def session(loop: SimulatedLoop) -> None:
        programs = [run_random_program(loop, rng, faults) for _ in range(4)]
        tasks = [await curio.spawn(program) for program in programs]
        for task in tasks if is_cancelled else []:
            await curio.sleep(rng.choice([0.0, 0.01, 0.3]))
            await task.cancel(blocking=False)
        for task in tasks:
            await task.wait()

    for seed in range(first_seed, first_seed + 100):
        print("seed", seed)
        rng, faults = Random(seed), list[str]()
        run(session)
        assert faults == []


# Guards against a wait that ignores its result or its time.
@pytest.mark.parametrize(("seconds", "result"), [(10.0, 1_000.5), (0.1, None)])
def test_wait_ends_with_a_result_or_after_its_time(
    seconds: float, result: float | None
) -> None:
    assert run(lambda loop: wait_for(seconds, curio.sleep, 0.5)) == result

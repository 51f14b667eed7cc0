"""What goes wrong during a soak: drawn from the seed, in series and overlapping."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from random import Random

import curio

from .fleet import SoakFleet
from .proxy import LinkState, Proxy
from .replicas import Replica
from .routers import Router

Fault = Callable[[SoakFleet, Random], Awaitable[None]]

SHORT_SECONDS = (0.3, 2.0)
"""Range of the time that most faults last."""

PAUSE_SECONDS = (0.5, 3.0)
"""Range of the time for which a process is paused or the store is silent."""

FAULT_SECONDS = 30.0
"""Time in which every fault ends; longer, and the soak itself is at fault."""

OVERLAP_SECONDS = (0.1, 1.5)
"""Range of the time between the starts of two faults."""


def _draw(rng: Random, bounds: tuple[float, float]) -> float:
    return rng.uniform(*bounds)


def _choose_router(fleet: SoakFleet, rng: Random) -> Router:
    return rng.choice([fleet.routers[name] for name in sorted(fleet.routers)])


def _choose_replica(fleet: SoakFleet, rng: Random) -> Replica:
    running = [one for one in fleet.replicas if one.is_running and one.is_listed]
    return rng.choice(running or fleet.replicas)


async def _hold_link(proxy: Proxy, state: LinkState, seconds: float) -> None:
    await proxy.set_state(state)
    await curio.sleep(seconds)
    await proxy.set_state(LinkState.OPEN)


async def kill_router(fleet: SoakFleet, rng: Random) -> None:
    """Kills a router and starts it again."""
    router = _choose_router(fleet, rng)
    router.send(signal.SIGKILL)
    await curio.sleep(_draw(rng, SHORT_SECONDS))
    await fleet.restart(router)


async def stop_router(fleet: SoakFleet, rng: Random) -> None:
    """Ends a router in order, with other signals in between, and starts it again."""
    router = _choose_router(fleet, rng)
    router.send(signal.SIGTERM)
    if rng.random() < 0.5:
        await curio.sleep(0.1)
        router.send(signal.SIGHUP)
    await fleet.restart(router)


async def pause_router(fleet: SoakFleet, rng: Random) -> None:
    """Pauses a router."""
    router = _choose_router(fleet, rng)
    router.send(signal.SIGSTOP)
    await curio.sleep(_draw(rng, PAUSE_SECONDS))
    router.send(signal.SIGCONT)


async def change_settings(fleet: SoakFleet, rng: Random) -> None:
    """Changes the settings file of a router several times, with and without SIGHUP."""
    router = _choose_router(fleet, rng)
    for _ in range(rng.randint(1, 4)):
        router.write_settings(extra_repeats=rng.uniform(10.0, 30.0))
        if rng.random() < 0.7:
            router.send(signal.SIGHUP)
        await curio.sleep(rng.uniform(0.0, 0.3))


async def cut_store(fleet: SoakFleet, rng: Random) -> None:
    """Silences the store for one router or for all."""
    routers = [fleet.routers[name] for name in sorted(fleet.routers)]
    if rng.random() < 0.6:
        routers = [rng.choice(routers)]
    state = rng.choice([LinkState.SILENT, LinkState.SILENT_BACK])
    seconds = _draw(rng, PAUSE_SECONDS)
    async with curio.TaskGroup() as tasks:
        for router in routers:
            router.touch()
            await tasks.spawn(_hold_link, router.store, state, seconds)
    for router in routers:
        router.touch()


async def reset_store(fleet: SoakFleet, rng: Random) -> None:
    """Resets the connections of a router to the store."""
    router = _choose_router(fleet, rng)
    router.touch()
    await router.store.reset_all()


async def fail_store(fleet: SoakFleet, rng: Random) -> None:
    """Lets the store refuse calls, lose answers or forget its history."""
    kind = rng.choice(["refuse", "busy", "lose", "forget"])
    fleet.touch_all()
    if kind == "forget":
        fleet.store.oldest = fleet.store.version
        return
    if kind == "lose":
        fleet.store.loses_answers = True
    else:
        fleet.store.status = 503 if kind == "refuse" else 429
    await curio.sleep(_draw(rng, SHORT_SECONDS))
    fleet.store.loses_answers, fleet.store.status = False, None
    fleet.touch_all()


async def reset_callers(fleet: SoakFleet, rng: Random) -> None:
    """Resets the connections of the callers of a router."""
    await _choose_router(fleet, rng).front.reset_all()


async def cut_callers(fleet: SoakFleet, rng: Random) -> None:
    """Delays or silences what callers and a router send each other."""
    router = _choose_router(fleet, rng)
    router.touch()
    if rng.random() < 0.5:
        router.front.delay = rng.uniform(0.01, 0.2)
        await curio.sleep(_draw(rng, SHORT_SECONDS))
        router.front.delay = 0.0
    else:
        await _hold_link(router.front, LinkState.SILENT, _draw(rng, SHORT_SECONDS))


async def crash_replica(fleet: SoakFleet, rng: Random) -> None:
    """Ends a replica at once; it starts again, with or without its entry lapsed."""
    replica = _choose_replica(fleet, rng)
    if not replica.is_running:
        return
    replica.is_listed = False
    await replica.crash()
    await curio.sleep(_draw(rng, SHORT_SECONDS))
    if rng.random() < 0.5:
        replica.lapse()
    await replica.start()


async def replace_replica(fleet: SoakFleet, rng: Random) -> None:
    """Lets a replica leave in order and start again later under its identifier."""
    replica = _choose_replica(fleet, rng)
    if not replica.is_running or not replica.is_listed:
        return
    await replica.leave()
    await curio.sleep(_draw(rng, SHORT_SECONDS))
    await replica.start()


async def spoil_replica(fleet: SoakFleet, rng: Random) -> None:
    """Lets a replica fail, hang, break off or refuse."""
    replica = _choose_replica(fleet, rng)
    replica.fault = rng.choice(["error", "hang", "cut", "refuse"])
    await curio.sleep(_draw(rng, SHORT_SECONDS))
    replica.fault = None


async def cut_replica(fleet: SoakFleet, rng: Random) -> None:
    """Delays, silences, cuts one way or resets the link to a replica."""
    replica = _choose_replica(fleet, rng)
    kind = rng.choice(["delay", "silent", "one way", "reset"])
    if kind == "reset":
        await replica.proxy.reset_all()
    elif kind == "delay":
        replica.proxy.delay = rng.uniform(0.01, 0.3)
        await curio.sleep(_draw(rng, SHORT_SECONDS))
        replica.proxy.delay = 0.0
    else:
        state = LinkState.SILENT if kind == "silent" else LinkState.SILENT_BACK
        await _hold_link(replica.proxy, state, _draw(rng, SHORT_SECONDS))


async def change_configuration(fleet: SoakFleet, rng: Random) -> None:
    """Writes versions in quick succession; keys are taken away and added."""
    for _ in range(rng.randint(1, 4)):
        fleet.change_keys(rng)
        await curio.sleep(rng.uniform(0.0, 0.4))


async def write_unreadable(fleet: SoakFleet, rng: Random) -> None:
    """Writes entries and a configuration that cannot be read."""
    fleet.store.put("servers", "foreign", rng.choice([b"\xff", b"[]", b'{"state":1}']))
    fleet.store.put("op", "config", b'{"version": "many"}')
    await curio.sleep(0.2)
    fleet.write_configuration()


FAULTS: tuple[Fault, ...] = (
    kill_router,
    stop_router,
    pause_router,
    change_settings,
    cut_store,
    reset_store,
    fail_store,
    reset_callers,
    cut_callers,
    crash_replica,
    replace_replica,
    spoil_replica,
    cut_replica,
    change_configuration,
    write_unreadable,
)


async def _run_fault(fault: Fault, fleet: SoakFleet, rng: Random) -> None:
    try:
        async with curio.timeout_after(FAULT_SECONDS):
            await fault(fleet, rng)
    except curio.TaskTimeout:
        fleet.violations.append(
            f"SOAK: {fault.__name__} did not end in {FAULT_SECONDS} s"
        )


async def inject(fleet: SoakFleet, seed: int, seconds: float) -> list[str]:
    """Starts faults for a time and waits until all of them have ended.

    Returns:
        The names of the faults in the order of their starts.
    """
    rng = Random(f"faults {seed}")
    names = []
    async with curio.TaskGroup() as tasks, curio.ignore_after(seconds):
        while True:
            fault = rng.choice(FAULTS)
            names.append(fault.__name__)
            await tasks.spawn(_run_fault, fault, fleet, Random(rng.random()))
            await curio.sleep(_draw(rng, OVERLAP_SECONDS))
    for task in tasks.tasks:
        if task.exception is not None:
            raise task.exception
    return names

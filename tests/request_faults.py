"""A fault at one call of a request, beside requests that share the router with it.

Three requests share a replica with two slots: a stream in service, the request that
meets the fault, on a kept connection, and one that waits for a slot.
"""

from __future__ import annotations

import functools
import inspect
import sys
import types
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from itertools import product
from random import Random
from typing import Any

import curio

from sequoiamoor.core import (
    caller_ages,
    connections,
    directory,
    freshness,
    held_bytes,
    ledger,
    overload,
    queues,
    repeats,
    routed_call,
    routes,
    turns,
    upstreams,
)
from sequoiamoor.core.actions import Start
from sequoiamoor.core.blackboard import Blackboard
from sequoiamoor.daemon import (
    dispatcher,
    forwarder,
    listener,
    part_guard,
    request_turns,
    route_calls,
    route_listener,
    route_sink,
    statements,
)
from sequoiamoor.declaration import parse_declaration
from sequoiamoor.logs import LineLimits
from sequoiamoor.net import events as net_events
from sequoiamoor.net import exchange, forward, http_client, http_server
from sequoiamoor.platform import callers, replicas
from sequoiamoor.policies.round_robin import RoundRobinPolicy
from sequoiamoor.settings import LimitSettings

from .listener_harness import Caller, Step, Until, chunk, parse
from .route_listener_harness import (
    DECLARATION,
    KEY,
    RouteListenerHarness,
    answer,
    event,
    read_field,
    route_request,
    run,
)

SLOTS = 2

REQUEST_SECONDS = 30.0
"""Time of a request, longer than a run takes on a machine short of processor time."""

ANSWER_SECONDS = 10.0
"""Time after which a request counts as not answered."""

OWNERS: tuple[Any, ...] = (
    listener.Listener,
    route_listener.RouteListener,
    forwarder.Forwarder,
    dispatcher.Dispatcher,
    route_calls.RouteCalls,
    route_sink.RouteSink,
    part_guard.PartGuard,
    statements.StatementReader,
    request_turns.RequestTurns,
    turns.Turns,
    connections.CallerConnections,
    http_server.ServerConnection,
    forward.ForwardAttempt,
    exchange.ConnectionPool,
    http_client.ClientConnection,
    net_events.EventSequence,
    held_bytes.Holding,
    overload.Overload,
    queues.RequestQueues,
    upstreams.Upstreams,
    upstreams.Replica,
    repeats.RepeatBudget,
    routed_call.RoutedCall,
    routes.RouteTable,
    caller_ages.CallerAges,
    directory.UpstreamDirectory,
    freshness.KeyFreshness,
    ledger.Ledger,
    LineLimits,
    RoundRobinPolicy,
    callers,
    replicas,
)
"""Classes and modules with the calls that a request makes."""


class LimitedPolicy(RoundRobinPolicy):
    """Starts no request while all slots are taken."""

    def choose_start(self, board: Blackboard, service: str, now: float) -> Start | None:
        in_use = sum(replica.in_use for replica in board.upstreams.replicas.values())
        return None if in_use >= SLOTS else super().choose_start(board, service, now)


@dataclass(frozen=True)
class Target:
    """A function of a class or a module."""

    owner: Any
    name: str

    def __str__(self) -> str:
        return f"{self.owner.__name__.rpartition('.')[2]}.{self.name}"


def list_targets(owners: Iterable[Any] = OWNERS) -> Iterator[Target]:
    """Yields the functions and properties of the owners."""
    for owner in owners:
        for name, value in vars(owner).items():
            if name.startswith("__") or getattr(value, "__module__", None) == "typing":
                continue
            is_own = getattr(value, "__module__", None) == getattr(
                owner, "__module__", owner.__name__
            )
            if isinstance(value, property) or (
                isinstance(value, types.FunctionType) and is_own
            ):
                yield Target(owner, name)


class Fault:
    """Raises an error at a call of a function for one connection.

    Args:
        error: The error; None for none.
        is_late: Whether it is raised after the call and not in its place.
        is_lasting: Whether it is raised at each call and not at the first only.

    Attributes:
        connection: Connection whose request meets the fault; None for no request.
        has_struck: Whether the error was raised.
        called: Names of the functions that were called for the connection.
    """

    def __init__(
        self,
        error: BaseException | None,
        *,
        is_late: bool = False,
        is_lasting: bool = False,
    ) -> None:
        self.error = error
        self.is_late = is_late
        self.is_lasting = is_lasting
        self.connection: Any = None
        self.has_struck = False
        self.called: set[str] = set()

    def _concerns(self) -> bool:
        frame = sys._getframe(2)
        while frame is not None:
            if frame.f_code.co_name in ("_accept_served", "_serve", "wait_closed"):
                local = frame.f_locals
                if self.connection in (local.get("connection"), local.get("self")):
                    return True
            frame = frame.f_back  # type: ignore[assignment]
        return False

    def _strike(self, name: str) -> None:
        if self.connection is None or self.has_struck or not self._concerns():
            return
        self.called.add(name)
        if self.error is not None:
            self.has_struck = not self.is_lasting
            raise self.error

    def wrap(self, target: Target) -> Any:
        """Returns the function with the fault."""
        value = vars(target.owner)[target.name]
        function: Any = value.fget if isinstance(value, property) else value
        name = str(target)
        if inspect.iscoroutinefunction(function):

            @functools.wraps(function)
            async def call_async(*arguments: Any, **options: Any) -> Any:
                if not self.is_late:
                    self._strike(name)
                result = await function(*arguments, **options)
                if self.is_late:
                    self._strike(name)
                return result

            return call_async

        @functools.wraps(function)
        def call(*arguments: Any, **options: Any) -> Any:
            if not self.is_late:
                self._strike(name)
            result = function(*arguments, **options)
            if self.is_late:
                self._strike(name)
            return result

        return property(call) if isinstance(value, property) else call

    @contextmanager
    def installed(self, *targets: Target) -> Iterator[None]:
        """Installs the fault in functions."""
        kept = [(target, vars(target.owner)[target.name]) for target in targets]
        try:
            for target, _ in kept:
                setattr(target.owner, target.name, self.wrap(target))
            yield
        finally:
            for target, value in kept:
                setattr(target.owner, target.name, value)


def build_stream(request_id: str, *events: bytes) -> list[bytes]:
    head = (
        b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %b\r\n"
        b"X-Server-Signature: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return [head % request_id.encode(), *map(chunk, events)]


def build_script(request: bytes) -> list[Step]:
    """Returns the steps with which a replica answers."""
    request_id = read_field(request, "x-attempt-id")
    assert request_id is not None
    end = b"0\r\n\r\n"
    if request_id == "bystander":
        events = event(1), event(2)
        start, second = build_stream(request_id, events[0])[:2], chunk(events[1])
        return [*start, Until(b"all ended"), second, end]
    gate: list[Step] = [Until(b"may answer")] if request_id == "struck" else []
    if b"POST /chat/" in request or b"POST /summary/" in request:
        return [*gate, *build_stream(request_id, event(1), event(2)), end]
    return [*gate, answer(request_id=request_id)]


def ask_for(path: str, request_id: str) -> bytes:
    request = route_request(path, request_id=request_id)
    return request.replace(b"Ms: 3000", b"Ms: %d" % (REQUEST_SECONDS * 1000))


async def receive_response(caller: Caller) -> None:
    """Receives until a response is whole or the connection ends."""
    while not caller.is_closed:
        if b"\r\n\r\n" in caller.received and parse(caller.received).is_whole:
            return
        await caller.receive()


def describe_response(caller: Caller, *, may_be_cut: bool = False) -> str | None:
    """Returns what is wrong with what a caller received; None if nothing is."""
    if not caller.received:
        return "closed without an answer" if caller.is_closed else "no answer"
    if b"\r\n\r\n" not in caller.received:
        return "closed within the head"
    response = parse(caller.received)
    if response.rest and response.is_whole:
        return "further bytes after the answer"
    if response.is_whole:
        return None
    if not caller.is_closed:
        return "answer without an end"
    is_stream = "transfer-encoding" in response.headers
    return None if is_stream and may_be_cut else "answer cut off"


def change_configuration(harness: RouteListenerHarness) -> None:
    """Applies another version of the configuration, and other settings."""
    configuration = harness.board.configuration
    number = configuration.version = configuration.version + 1
    document = {
        **DECLARATION,
        "organisations": {"captains": {"keys": [KEY, f"key-{number}"]}},
        "limits": {"idle_ms": 14_000 + number % 2},
        "routes": {
            name: {**route, "timeout_ms": REQUEST_SECONDS * 1000, "target_ms": 20_000}
            for name, route in DECLARATION["routes"].items()
        },
    }
    configuration.declaration = parse_declaration(document)
    assert isinstance(harness.listener, route_listener.RouteListener)
    harness.listener.base_limits = LimitSettings.model_validate({})


async def ask_beside_others(
    harness: RouteListenerHarness, path: str, fault: Fault
) -> list[str]:
    """Lets a request meet a fault; returns what callers must not see."""
    harness.forwarder._dispatcher._policy = LimitedPolicy(rng=Random(1))
    harness.apply_received = partial(change_configuration, harness)
    change_configuration(harness)
    await harness.add_upstream(*[build_script] * 12)
    gate = await harness.connect()
    bystander = await harness.connect()
    await bystander.send(ask_for("/chat/1", "bystander"))
    await bystander.receive_until(b"t1")
    caller = await harness.connect()
    await caller.send(ask_for(path, "first"))
    await receive_response(caller)
    caller.received = b""
    await harness.wait_for(lambda: len(harness.board.running) == 1)
    fault.connection = list(harness.listener._served)[-1]
    await caller.send(ask_for(path, "struck"))
    receiving = await curio.spawn(receive_response, caller)
    (upstream,) = harness.upstreams
    count = len(upstream.requests)
    await harness.wait_for(
        lambda: (
            len(upstream.requests) > count or bool(caller.received) or caller.is_closed
        )
    )
    waiting = await harness.connect()
    await waiting.send(ask_for("/hold/1", "waiting"))
    await harness.wait_for(
        lambda: (
            len(harness.board.queues) > 0
            or any(b"waiting" in request for request in upstream.requests)
        )
    )
    gate.received = b"may answer"
    await harness.notify_progress()
    found: list[str] = []
    async with curio.ignore_after(ANSWER_SECONDS):
        await receiving.join()
    await receiving.cancel()
    if wrong := describe_response(caller, may_be_cut=True):
        found.append(wrong)
    elif not is_end_announced(caller) and (
        wrong := await ask_again(harness, caller, path)
    ):
        found.append(f"next request on the connection: {wrong}")
    async with curio.ignore_after(ANSWER_SECONDS):
        await receive_response(waiting)
    gate.received = b"all ended"
    await harness.notify_progress()
    async with curio.ignore_after(ANSWER_SECONDS):
        await receive_response(bystander)
    for other, name in ((waiting, "waiting"), (bystander, "stream")):
        wrong = describe_response(other)
        if wrong is None and (status := parse(other.received).status) != 200:
            wrong = f"status {status}"
        if wrong is None:
            wrong = await ask_again(harness, other, "/hold/1")
        if wrong is not None:
            found.append(f"other request ({name}): {wrong}")
    return found


def is_end_announced(caller: Caller) -> bool:
    """Whether the last response said that the connection ends, or was cut off."""
    response = parse(caller.received)
    return not response.is_whole or response.headers.get("connection") == "close"


async def ask_again(
    harness: RouteListenerHarness, caller: Caller, path: str
) -> str | None:
    """Sends another request on a kept connection; returns what is wrong."""
    caller.received = b""
    try:
        await caller.send(ask_for(path, "again"))
    except OSError as err:
        return f"cannot be sent, {err!r}"
    async with curio.ignore_after(ANSWER_SECONDS):
        await receive_response(caller)
    return describe_response(caller)


def run_with_fault(path: str, target: Target, fault: Fault) -> list[str]:
    """Returns what callers must not see when a function has a fault."""

    async def session(harness: RouteListenerHarness) -> list[str]:
        return await ask_beside_others(harness, path, fault)

    with fault.installed(target):
        found: list[str] = run(session)
    return found


@functools.cache
def find_called(path: str) -> frozenset[str]:
    """Returns the names of the functions that a request on a path calls."""
    fault = Fault(None)

    async def session(harness: RouteListenerHarness) -> list[str]:
        return await ask_beside_others(harness, path, fault)

    with fault.installed(*list_targets()):
        found = run(session)
    assert not found, found
    return frozenset(fault.called)


ERRORS: dict[str, Callable[[], BaseException]] = {
    "LookupError": lambda: LookupError("injected"),
    "OSError": lambda: OSError("injected"),
    "TaskTimeout": lambda: curio.TaskTimeout(0.0),
    "TimeoutCancellationError": lambda: curio.TimeoutCancellationError(0.0),
}


def list_called(path: str, owner: Any) -> list[Target]:
    """Returns the functions of an owner that a request on a path calls."""
    called = find_called(path)
    return [target for target in list_targets([owner]) if str(target) in called]


def find_faults_that_show(path: str, owner: Any, errors: Iterable[str]) -> list[str]:
    """Returns the faults of an owner's functions that callers notice, and how.

    Args:
        path: Path of the request that meets them.
        owner: Class or module.
        errors: Names of the errors to raise, each before and after each function.
    """
    shown = []
    for target, name, is_late in product(
        list_called(path, owner), errors, (False, True)
    ):
        found = run_with_fault(path, target, Fault(ERRORS[name](), is_late=is_late))
        when = "after" if is_late else "before"
        shown += [f"{name} {when} {target}: {detail}" for detail in found]
    return shown


def find_lasting_faults_that_show(path: str, owner: Any) -> list[str]:
    """Returns the functions whose fault at each call callers notice, and how."""
    shown = []
    for target in list_called(path, owner):
        fault = Fault(ERRORS["LookupError"](), is_lasting=True)
        found = run_with_fault(path, target, fault)
        shown += [f"{target}: {detail}" for detail in found]
    return shown

"""Tests of the peer states that are derived from connection errors."""

from __future__ import annotations

import socket
import time
from random import Random
from typing import Any, cast

import curio
import pytest

from sequoiamoor.core.membership import LinkState
from sequoiamoor.metrics import Metrics
from sequoiamoor.net.peers import Handler, Link, Peers, classify_failure
from sequoiamoor.options import Options
from sequoiamoor.types import Address


class Recorder:
    """A handler that records the states of the link."""

    def __init__(self) -> None:
        self.states: list[LinkState] = []

    def build_first_messages(self, address: Address) -> list[object]:
        return []

    def record_link_state(self, address: Address, state: LinkState) -> None:
        self.states.append(state)


@pytest.mark.parametrize(
    ("error", "is_in_first_messages"),
    [
        (RuntimeError, True),
        (curio.TimeoutCancellationError, True),
        (RuntimeError, False),
    ],
)
def test_link_outlives_an_unexpected_exception(
    error: type[BaseException], is_in_first_messages: bool, caplog: Any
) -> None:
    """Guards against a peer that gets no reports any more, with no line in the log.

    The handler fails as it builds the first messages, or as it records a refusal.
    """
    options = Options.model_validate({"reconnect_base_delay": 0.001})
    recorder, metrics = Recorder(), Metrics()
    failures = iter([error("a fault of the handler")])

    def fail_once(is_due: bool) -> None:
        for failure in failures if is_due else ():
            raise failure

    def build_first_messages(address: Address) -> list[object]:
        fail_once(is_in_first_messages)
        return []

    def record_link_state(address: Address, state: LinkState) -> None:
        recorder.states.append(state)
        if state is LinkState.REFUSED:
            listener.listen()
            fail_once(not is_in_first_messages)

    recorder.build_first_messages = build_first_messages  # type: ignore[method-assign]
    recorder.record_link_state = record_link_state  # type: ignore[method-assign]
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    connected = 1 + is_in_first_messages

    async def main() -> None:
        address = Address(*listener.getsockname())
        link = Link(address, source="127.0.0.1", options=options, metrics=metrics)
        handler = cast(Handler, recorder)
        task = await curio.spawn(link.run, handler, Random(1), daemon=True)
        async with curio.timeout_after(10.0):
            while recorder.states.count(LinkState.CONNECTED) < connected:
                await curio.sleep(0.001)
        await task.cancel()
        listener.close()

    curio.run(main)
    assert "a fault of the handler" in caplog.text
    labels = {"task": "link"}
    name = "sequoiamoor_task_failures_total"
    assert metrics.registry.get_sample_value(name, labels) == 1


def test_paused_router_is_neither_unreachable_nor_refused() -> None:
    """Guards against reclaiming the slots of a router that only lacks CPU time.

    The kernel of a paused router still acknowledges data, so the connection must stay
    CONNECTED for longer than ``suspect_after``.
    """
    options = Options.model_validate({"suspect_after": 0.1, "connect_timeout": 10})
    recorder = Recorder()

    async def main() -> None:
        # Nothing accepts or reads: only the kernel responds, as for a paused process.
        listener = socket.create_server(("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        link = Link(address, source="127.0.0.1", options=options, metrics=Metrics())
        handler = cast(Handler, recorder)
        task = await curio.spawn(link.run, handler, Random(1), daemon=True)
        for _ in range(10):
            link._unsent = b"x"
            link.flush(time.monotonic(), row_limit=1)
            await curio.sleep(0.05)
        assert recorder.states == [LinkState.CONNECTED]
        listener.close()
        async with curio.timeout_after(10.0):
            while recorder.states[-1] is not LinkState.REFUSED:
                await curio.sleep(0.01)
        await task.cancel()

    curio.run(main)


@pytest.mark.parametrize("data", [b"x", b""], ids=["unread data", "nothing"])
def test_connection_with_unread_data_is_not_taken_for_silent(data: bytes) -> None:
    """Guards against a late event loop that takes a router with unread data for dead.

    The check for silence runs before the task that reads from the router.
    """
    options = Options.model_validate({})

    async def main() -> None:
        peers = Peers(
            Address("127.0.0.1", 0),
            handler=cast(Handler, Recorder()),
            options=options,
            metrics=Metrics(),
            rng=Random(1),
        )
        address = peers.bind()
        task = await curio.spawn(peers.run, daemon=True)
        with socket.create_connection((address.host, address.port)) as peer:
            async with curio.timeout_after(10.0):
                while not peers._last_received_at:
                    await curio.sleep(0.01)
            peer.sendall(data)
            peers.close_silent(time.monotonic() + 3 * options.dead_after)
            if data:
                peer.setblocking(False)
                with pytest.raises(BlockingIOError):
                    peer.recv(1)
            else:
                assert peer.recv(1) == b""
        await task.cancel()

    curio.run(main)


def test_injected_partition_is_unreachable_and_not_refused() -> None:
    """Guards against a partition that is mistaken for the end of a router's process."""
    assert classify_failure(ConnectionRefusedError("blocked")) is LinkState.UNREACHABLE
    # This router lacks descriptors, which implies nothing about the peer.
    assert classify_failure(OSError(24, "too many open files")) is None

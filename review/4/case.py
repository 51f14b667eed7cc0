"""Sound servers fall silent for a moment, around a SIGHUP."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import Message, Record, Replica, Router, Store  # noqa: E402
from traffic import (  # noqa: E402
    MODEL_SLOTS,
    Outcomes,
    Requester,
    Runs,
    build_report_headers,
    cancel_all,
    start_fleet,
)

MEMORY_LIMIT_MB = 300
MODELS = 4
ROUTERS = 4
REPORTERS = 8
EVENTS = 55
EVENT_SECONDS = 0.03
SILENT_SECONDS = 1.4
SILENCE_INTERVAL_SECONDS = 4.0
"""Each server is silent once in this time, at another moment than the others."""
GAP_SECONDS = 2.0
"""Pause after which requesters leave a stream."""
SEASON_SUMMARY = {
    "timeoutMs": 12000,
    "targetLatencyMs": 400,
    "gapTargetMs": 250,
    "maxAttempts": 2,
}
TIME_LIMIT_SECONDS = 12.0
CONFIG_APPLY_SECONDS = 2.0
CALM_SECONDS = 4.0
SIGHUPS = 6
SIGHUP_INTERVAL_SECONDS = 5.0


class Engine:
    """Runs the streams of one server, which may fall silent and go on."""

    def __init__(self, runs: Runs, *, offset: float | None) -> None:
        self._runs = runs
        self._offset = offset

    async def _wait_for_turn(self) -> None:
        if self._offset is None:
            return
        phase = (time.monotonic() + self._offset) % SILENCE_INTERVAL_SECONDS
        if phase < SILENT_SECONDS:
            await asyncio.sleep(SILENT_SECONDS - phase)

    async def run_stream(
        self, replica: Replica, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        """Answers with a stream, from the event after ``Last-Event-Id``."""
        self._runs.note(replica, request)
        request_id = request.headers["x-attempt-id"]
        first = int(request.headers.get("last-event-id", "0")) + 1
        writer.write(
            (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
                "X-Server-Signature: 3e1b.07.5a2\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n\r\n"
            ).encode()
        )
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_SECONDS)
            await self._wait_for_turn()
            if writer.is_closing():
                self._runs.record.write(f"{request_id} ended by the router")
                return
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")


async def send_reports(requester: Requester, session: str) -> None:
    """Sends reports one after the other until cancelled."""
    headers = build_report_headers("tenant-0", session)
    try:
        while True:
            await requester.send(
                "/grant-report/2f",
                headers,
                b"r" * 12_000,
                timeout=TIME_LIMIT_SECONDS,
                gap=GAP_SECONDS,
            )
            await asyncio.sleep(0.1)
    finally:
        requester.close()


async def run(is_troubled: bool, folder: Path) -> int:
    """Runs the case and returns its exit status."""
    record = Record(HERE / "record.txt")
    store = Store()
    await store.start()
    runs = Runs(record)
    outcomes = [Outcomes() for _ in range(ROUTERS)]
    for number in range(MODELS):
        offset = number * SILENCE_INTERVAL_SECONDS / MODELS
        engine = Engine(runs, offset=offset if is_troubled else None)
        name = f"model-{number}"
        await Replica(
            store, "vrba-model", name, engine.run_stream, slots=MODEL_SLOTS
        ).start()
    routers = [
        Router(f"router-{number}", store, folder, record, MEMORY_LIMIT_MB)
        for number in range(ROUTERS)
    ]
    tasks: list[asyncio.Task[None]] = []
    signalled_at: list[float] = []
    try:
        if not await start_fleet(store, routers, {"grant-report": SEASON_SUMMARY}):
            record.write("the routers were not ready")
            return 2
        for i, router in enumerate(routers):
            for j in range(REPORTERS):
                reporter = Requester(f"report-{i}-{j}", router, runs, outcomes[i])
                work = send_reports(reporter, f"a{i}{j:02d}")
                tasks.append(asyncio.create_task(work))
        await asyncio.sleep(CALM_SECONDS)
        for _ in range(SIGHUPS):
            process = routers[0].process
            assert process is not None
            record.write("SIGHUP to router-0")
            process.send_signal(signal.SIGHUP)
            signalled_at.append(time.monotonic())
            await asyncio.sleep(SIGHUP_INTERVAL_SECONDS)
    finally:
        await cancel_all(tasks)
        for router in routers:
            router.stop()
    cut = [
        result
        for result, wait, sent_at in outcomes[0].waits
        if result in ("closed", "broken off")
        and wait < TIME_LIMIT_SECONDS
        and any(0 <= sent_at - at <= CONFIG_APPLY_SECONDS for at in signalled_at)
    ]
    for router, out in zip(routers, outcomes, strict=True):
        record.write(f"{router.name}: {out.statuses}")
    verdict = "broken" if cut else "held"
    record.write(
        f"LOST {verdict}: {len(cut)} streams that were sent up to "
        f"{CONFIG_APPLY_SECONDS} s after a SIGHUP ended without their last event"
    )
    return int(bool(cut))


def main() -> int:
    """Runs the case in a temporary folder."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        return asyncio.run(run(is_troubled, Path(folder)))


if __name__ == "__main__":
    try:
        STATUS = main()
    except OSError as error:
        print(error)
        STATUS = 2
    raise SystemExit(STATUS)

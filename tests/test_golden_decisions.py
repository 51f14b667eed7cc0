"""Golden tests of the decisions that several routers make together in a session.

Set UPDATE_GOLDEN=1 to write the golden files again after an intended change.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import pytest

from .sessions import Session, build_document

GOLDEN_FOLDER = Path(__file__).resolve().parent / "golden" / "decisions"


def share_contested_slots(session: Session) -> None:
    """Two organisations use one router each; one of them has costlier requests."""
    session.run(600)
    for number in range(6):
        session.arrive("router-0", f"a{number}", "a")
        session.arrive("router-1", f"b{number}", "b")
    session.run(400)
    for number in range(6):
        session.finish(f"a{number}", 300)
        session.finish(f"b{number}", 100)
        session.run(200)


def change_target_under_load(session: Session) -> None:
    """A target changes while requests wait.

    An older version arrives after a newer one, and an invalid one after that.
    """
    session.run(600)
    for number in range(5):
        session.arrive("router-0", f"s{number}", "a", "summary")
    session.arrive("router-0", "c0", "a", "chat")
    newer = build_document(chat=20_000, summary=500)
    session.configure("router-0", 2, newer)
    session.configure("router-1", 2, newer)
    session.configure("router-0", 1, build_document(chat=800, summary=9_000))
    session.configure("router-0", 3, {"organisations": {}})
    session.arrive("router-1", "c1", "a", "chat")
    for number in range(5):
        session.finish(f"s{number}", 100)
        session.run(200)
    session.configure("router-0", 4, build_document(chat=800, summary=9_000))


def stop_gracefully(session: Session) -> None:
    """A router that is told to stop serves its accepted requests and then ends."""
    session.run(600)
    for number in range(6):
        session.arrive("router-0", f"a{number}", "a")
    session.stop("router-0")
    session.arrive("router-0", "late", "a")
    session.run(400)
    for number in range(6):
        session.finish(f"a{number}", 100)
        session.run(200)
    session.arrive("router-1", "b0", "b")
    session.run(600)


def lose_an_arbiter(session: Session) -> None:
    """A router is killed; another one becomes the arbiter of its replicas."""
    session.run(600)
    for number in range(3):
        session.arrive("router-0", f"a{number}", "a")
        session.arrive("router-1", f"b{number}", "b")
    session.kill("router-1")
    session.run(1_600)
    session.update_members()
    session.run(600)
    for number in range(3):
        session.finish(f"a{number}", 100)
    session.arrive("router-0", "a3", "a")
    session.run(4_600)
    for number in range(4, 8):
        session.arrive("router-0", f"a{number}", "a")


SESSIONS: dict[str, Callable[[Session], None]] = {
    "contested": share_contested_slots,
    "configuration-change": change_target_under_load,
    "graceful-shutdown": stop_gracefully,
    "arbiter-lost": lose_an_arbiter,
}


@pytest.mark.parametrize("name", sorted(SESSIONS))
def test_decisions_are_the_recorded_ones(name: str) -> None:
    """Guards against unnoticed changes in the decisions of several routers."""
    session = Session(2)
    SESSIONS[name](session)
    decisions = "\n".join(session.lines) + "\n"
    path = GOLDEN_FOLDER / f"{name}.txt"
    if os.environ.get("UPDATE_GOLDEN"):
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(decisions, encoding="utf-8")
    assert decisions == path.read_text(encoding="utf-8")

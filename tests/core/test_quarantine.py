"""Tests of the decision which prompt parts end replicas."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import pytest

from sequoiamoor.core.part_cases import (
    MAX_CRASHES_PER_CASE,
    Crash,
    PartCase,
    PartKey,
    count_independent,
    select_crashes,
)
from sequoiamoor.core.part_proofs import (
    MAX_PARTS_PER_ORGANISATION,
    PROOF_LIFETIME_SECONDS,
    PartProofs,
)
from sequoiamoor.core.quarantine import (
    CRASHES_OF_PROVEN_PART,
    CRASHES_TO_QUARANTINE,
    CRASHES_WITHOUT_ANSWERS,
    FIRST_PROBE_SECONDS,
    HOLD_BACK_SECONDS,
    MAX_CASES,
    MAX_WATCHED_PER_ORGANISATION,
    MIN_OTHER_ANSWERS,
    SETTLE_SECONDS,
    WATCH_SECONDS,
    Quarantine,
    find_probe_delay,
)

SERVICE = "talk"
SHARED, BAD, OTHER = (PartKey(SERVICE, name) for name in ("aa0", "bb00", "cc1"))


class Simulation:
    """A quarantine with a clock of its own."""

    def __init__(self) -> None:
        self.quarantine = Quarantine()
        self.now = 1_000.0
        self.count = 0

    def answer(
        self, *keys: PartKey, count: int = 1, organisation: str = "owners"
    ) -> None:
        for _ in range(count):
            self.quarantine.record_answer(SERVICE, organisation, keys, self.now)

    def crash(
        self,
        *keys: PartKey,
        process: str | None = None,
        call: str | None = None,
        organisation: str = "captains",
    ) -> None:
        self.count += 1
        crash = Crash(
            process or f"i-{self.count}", call or f"r/{self.count}", organisation
        )
        self.quarantine.record_crash(crash, keys, self.now)

    def wait(self, seconds: float = HOLD_BACK_SECONDS + 2 * SETTLE_SECONDS) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.1
            self.quarantine.step(self.now, 5)

    def refuses(self, *keys: PartKey, organisation: str = "captains") -> bool:
        return self.quarantine.find(organisation, keys, self.now) is not None


def refused_parts(simulation: Simulation) -> set[PartKey]:
    cases = simulation.quarantine.cases.values()
    return {case.key for case in cases if case.is_quarantined}


def test_part_under_which_replicas_end_is_refused_and_shared_ones_are_not() -> None:
    """Guards against routers that go on sending requests that end replicas."""
    simulation = Simulation()
    simulation.answer(SHARED, count=5)
    for _ in range(CRASHES_TO_QUARANTINE):
        assert not simulation.refuses(SHARED, BAD)
        simulation.crash(SHARED, BAD)
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    assert refused_parts(simulation) == {BAD}
    assert simulation.refuses(SHARED, BAD)
    assert not simulation.refuses(SHARED)


@pytest.mark.parametrize(
    ("processes", "calls"),
    [
        (["i-1"] * 6, ["r/1", "r/2", "r/3", "r/4", "r/5", "r/6"]),
        (["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"], ["r/1"] * 6),
        (["i-1", "i-2", "i-1", "i-2"], ["r/1", "r/2", "r/3", "r/4"]),
    ],
    ids=["one-process", "one-request", "two-processes"],
)
def test_ends_that_are_not_independent_prove_nothing(
    processes: list[str], calls: list[str]
) -> None:
    """Guards against a part that is refused for one end, or one unlucky request."""
    simulation = Simulation()
    for process, call in zip(processes, calls, strict=True):
        simulation.crash(BAD, process=process, call=call)
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    assert refused_parts(simulation) == set()


@pytest.mark.parametrize(
    ("others", "crashes", "is_refused"),
    [
        (0, CRASHES_TO_QUARANTINE, False),
        (MIN_OTHER_ANSWERS - 1, CRASHES_TO_QUARANTINE, False),
        (MIN_OTHER_ANSWERS, CRASHES_TO_QUARANTINE - 1, False),
        (MIN_OTHER_ANSWERS, CRASHES_TO_QUARANTINE, True),
        (0, CRASHES_WITHOUT_ANSWERS, True),
    ],
)
def test_other_answers_show_that_the_service_works(
    others: int, crashes: int, is_refused: bool
) -> None:
    """Guards against parts that are refused because the whole service is down."""
    simulation = Simulation()
    for _ in range(crashes):
        simulation.crash(BAD)
    simulation.answer(OTHER, count=others)
    simulation.wait()
    assert simulation.refuses(BAD) is is_refused


def test_release_that_ends_all_replicas_puts_no_part_into_quarantine() -> None:
    """Guards against parts that stay refused after a bad release was taken back."""
    simulation = Simulation()
    parts = [PartKey(SERVICE, f"{number:x}") for number in range(6)]
    for _ in range(3):
        for part in parts:
            simulation.crash(part, organisation=part.part_id)
    simulation.wait()
    assert refused_parts(simulation) == set()


@pytest.mark.parametrize(
    ("crashes", "is_refused"),
    [(CRASHES_TO_QUARANTINE, False), (CRASHES_OF_PROVEN_PART, True)],
)
def test_proven_part_needs_more_ends(crashes: int, is_refused: bool) -> None:
    """Guards against a popular part that is refused, and one that new weights broke."""
    simulation = Simulation()
    simulation.answer(SHARED)
    for _ in range(crashes):
        simulation.crash(SHARED)
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    assert simulation.refuses(SHARED) is is_refused


@pytest.mark.parametrize("rare", [SHARED, BAD])
def test_of_two_parts_with_the_same_ends_the_rarer_one_is_refused(
    rare: PartKey,
) -> None:
    """Guards against a shared part that is refused in place of the one that ends."""
    simulation = Simulation()
    for _ in range(CRASHES_TO_QUARANTINE):
        simulation.crash(SHARED, BAD)
        simulation.refuses(*{SHARED, BAD} - {rare})
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    assert refused_parts(simulation) == {rare}


def test_answer_clears_a_part() -> None:
    """Guards against a quarantine that outlives its reason."""
    simulation = Simulation()
    for _ in range(CRASHES_TO_QUARANTINE):
        simulation.crash(BAD)
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    assert simulation.refuses(BAD)
    simulation.answer(BAD)
    assert not simulation.refuses(BAD)
    for _ in range(CRASHES_TO_QUARANTINE - 1):
        simulation.crash(BAD)
    simulation.wait()
    assert not simulation.refuses(BAD)


def test_organisation_cannot_have_the_requests_of_another_one_refused() -> None:
    """Guards against an organisation that ends replicas under a part of others."""
    simulation = Simulation()
    for _ in range(CRASHES_TO_QUARANTINE):
        simulation.crash(BAD)
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    assert not simulation.refuses(BAD, organisation="owners")
    simulation.crash(BAD, organisation="owners")
    assert simulation.refuses(BAD, organisation="owners")
    assert simulation.refuses(BAD, organisation="crews")


def test_end_that_a_quarantine_explains_does_not_count_against_other_parts() -> None:
    """Guards against parts that are refused because they met a part that ends them."""
    simulation = Simulation()
    for _ in range(CRASHES_TO_QUARANTINE):
        simulation.crash(BAD)
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    for _ in range(CRASHES_OF_PROVEN_PART):
        simulation.crash(SHARED, BAD)
    simulation.wait()
    assert refused_parts(simulation) == {BAD}


@pytest.mark.parametrize(
    ("proven", "crashed", "may_repeat"),
    [
        ([SHARED, BAD], [], True),
        ([SHARED], [], False),
        ([], [], False),
        ([SHARED, BAD], [BAD] * (CRASHES_OF_PROVEN_PART - 2), True),
        ([SHARED, BAD], [BAD] * (CRASHES_OF_PROVEN_PART - 1), False),
    ],
)
def test_request_that_ended_a_replica_reaches_no_second_one(
    proven: list[PartKey], crashed: list[PartKey], may_repeat: bool
) -> None:
    """Guards against one request that ends two replicas while nothing is known."""
    simulation = Simulation()
    simulation.answer(*proven)
    for key in crashed:
        # Requests that one process takes along count once.
        simulation.crash(key)
        simulation.crash(key, process=f"i-{simulation.count}")
    assert simulation.quarantine.may_repeat([SHARED, BAD], simulation.now) is may_repeat
    simulation.wait(PROOF_LIFETIME_SECONDS + 1)
    assert not simulation.quarantine.may_repeat([SHARED, BAD], simulation.now)


def build_case(
    crashes: int, *, organisation: str = "captains", **changes: object
) -> PartCase:
    case = PartCase(
        BAD,
        crashes=frozenset(
            Crash(f"i-{number}", f"r/{number}", organisation)
            for number in range(crashes)
        ),
    )
    return replace(case, **changes)  # type: ignore[arg-type]


def merge_all(cases: Iterable[PartCase]) -> PartCase:
    first, *rest = cases
    for case in rest:
        first = first.merge(case)
    return first


def test_cases_merge_to_the_same_state_in_any_order() -> None:
    """Guards against routers that keep different cases of one part."""
    cases = [
        build_case(3, is_quarantined=True, probe_at=50.0, since_ms=7),
        build_case(2, organisation="owners", is_proven=True),
        build_case(12, probes=1, probe_at=90.0),
        build_case(1, since_ms=3),
    ]
    merged = merge_all(cases)
    assert merged.state == merge_all(reversed(cases)).state
    assert merged.probe_at == 90.0
    assert len(merged.crashes) == MAX_CRASHES_PER_CASE
    organisations = {crash.organisation for crash in merged.crashes}
    assert organisations == {"captains", "owners"}
    cleared = merged.clear()
    assert merged.merge(cleared).is_cleared
    assert cleared.merge(build_case(6, is_quarantined=True)).is_cleared


@pytest.mark.parametrize(
    ("case", "is_kept"),
    [
        (build_case(3, is_quarantined=True), False),
        (build_case(CRASHES_OF_PROVEN_PART, is_quarantined=True), True),
    ],
)
def test_router_that_has_answers_disputes_a_quarantine(
    case: PartCase, is_kept: bool
) -> None:
    """Guards against a part that one router refuses and others answer."""
    simulation = Simulation()
    simulation.answer(BAD)
    for received in (case, replace(case, is_proven=True)):
        changed = simulation.quarantine.merge(received, simulation.now)
        assert changed is None or changed.is_proven
        assert simulation.refuses(BAD) is is_kept
    # The evidence counts on: a part that new weights broke comes to six ends.
    for _ in range(CRASHES_OF_PROVEN_PART):
        simulation.crash(BAD)
    simulation.answer(OTHER, count=MIN_OTHER_ANSWERS)
    simulation.wait()
    assert simulation.refuses(BAD)


def test_tests_of_a_part_are_rare_and_known_to_all() -> None:
    """Guards against routers that each send the part again."""
    simulation = Simulation()
    case = build_case(3, is_quarantined=True, probe_at=simulation.now + 60.0)
    simulation.quarantine.merge(case, simulation.now)
    assert simulation.quarantine.claim_probe(BAD, simulation.now) is None
    simulation.now += FIRST_PROBE_SECONDS
    claimed = simulation.quarantine.claim_probe(BAD, simulation.now)
    assert claimed is not None
    simulation.quarantine.merge(claimed, simulation.now)
    assert simulation.quarantine.claim_probe(BAD, simulation.now) is None
    assert claimed.probe_at - simulation.now == find_probe_delay(1)
    delays = [find_probe_delay(count) for count in range(20)]
    assert delays[0] == FIRST_PROBE_SECONDS
    assert delays == sorted(delays)


def test_memory_is_bounded_whatever_parts_an_organisation_invents() -> None:
    """Guards against an organisation that takes the memory of a router."""
    simulation = Simulation()
    proofs = PartProofs()
    proofs.record("owners", [OTHER], 0.0)
    for number in range(2_000):
        key = PartKey(SERVICE, f"{number:x}0")
        proofs.record("captains", [key], 0.0)
        simulation.crash(key)
        received = replace(build_case(1), key=PartKey(SERVICE, f"{number:x}1"))
        simulation.quarantine.merge(received, simulation.now)
    assert len(proofs) == MAX_PARTS_PER_ORGANISATION + 1
    assert proofs.is_proven(OTHER, 1.0)
    assert len(simulation.quarantine.cases) <= MAX_CASES
    fresh = Simulation()
    for number in range(2_000):
        fresh.crash(PartKey(SERVICE, f"{number:x}"))
    assert len(fresh.quarantine.cases) == MAX_WATCHED_PER_ORGANISATION
    fresh.wait(WATCH_SECONDS + 1)
    assert fresh.quarantine.is_idle


def test_count_and_selection_do_not_depend_on_the_order() -> None:
    """Guards against a count of one request that is seen by many routers."""
    crashes = [Crash(f"i-{n % 4}", f"r/{n}", f"o{n % 2}") for n in range(20)]
    assert count_independent(crashes) == 4
    assert count_independent(crashes, {"i-0", "i-1"}) == 2
    assert select_crashes(crashes) == select_crashes(reversed(crashes))

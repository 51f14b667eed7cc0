"""Stateful test of the decisions of an in-memory fleet under overlapping failures."""

from __future__ import annotations

import math

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from benchmarks.decisions_router import SERVICE

from .faulty_fleet import (
    OPTIONS,
    ORGANISATIONS,
    REPLICAS,
    ROUTERS,
    SETTLING_SECONDS,
    SLOTS,
    TAKE_OVER_SECONDS,
    FaultyFleet,
    FaultyRouter,
)

LONGEST_SECONDS = 2.0
WAITING_LIMIT = 60
SATURATING_CALLS = 2 * SLOTS
SATURATING_SECONDS = 0.3
# Seconds between two failures: most overlap, some come after the fleet has settled.
GAP = st.sampled_from([0.0, 0.0, 0.01, 0.1, 0.3, 1.0, 2.0])
ROUTER = st.sampled_from([f"r{n}" for n in range(ROUTERS)])
REPLICA = st.sampled_from([f"m{n}" for n in range(REPLICAS)])
ORGANISATION = st.sampled_from([f"o{n}" for n in range(ORGANISATIONS)])


class FleetMachine(RuleBasedStateMachine):
    """Applies any mixture of failures, then repairs them all and checks the fleet.

    The fleet checks every start: the grant is valid, the replica is not leaving, and
    its window is not exceeded except for a bounded time after a failure.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = FaultyFleet()
        self.fleet.run(2.0)
        self.totals: dict[tuple[FaultyRouter, str], float] = {}
        self.versions: dict[FaultyRouter, int] = {}

    def find(self, name: str) -> FaultyRouter:
        return self.fleet.routers[name]

    def live(self) -> list[FaultyRouter]:
        return [router for router in self.fleet.routers.values() if router.is_alive]

    def count_waiting(self) -> int:
        return sum(len(router.board.queues) for router in self.live())

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.5, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(self.fleet.now + seconds)

    @rule(
        name=ROUTER,
        organisation=ORGANISATION,
        seconds=st.sampled_from([0.1, 0.5, LONGEST_SECONDS]),
        count=st.sampled_from([1, 4, 12]),
        gap=GAP,
    )
    def arrive(
        self, name: str, organisation: str, seconds: float, count: int, gap: float
    ) -> None:
        if self.find(name).is_alive and self.count_waiting() < WAITING_LIMIT:
            for _ in range(count):
                self.fleet.arrive(self.find(name), organisation, seconds)
        self.wait(gap)

    @rule(name=REPLICA, index=st.integers(0, SLOTS - 1))
    def end(self, name: str, index: int) -> None:
        running = list(self.fleet.replicas[name].running.values())
        if running:
            job = running[index % len(running)]
            self.fleet.end(job, name, self.fleet.attempts[job.request.call_id])

    @rule(
        sender=ROUTER,
        receiver=ROUTER,
        fate=st.sampled_from(["lose", "double", "delay"]),
        seconds=st.sampled_from([0.02, 0.3, 1.0, 3.0]),
        count=st.integers(1, 4),
    )
    def disturb(
        self, sender: str, receiver: str, fate: str, seconds: float, count: int
    ) -> None:
        self.fleet.disturb(sender, receiver, fate, seconds, count)

    @rule(gap=GAP)
    def cut(self, gap: float) -> None:
        self.fleet.partition()
        self.wait(gap)

    @precondition(lambda self: self.fleet.cut is not None)
    @rule(gap=GAP)
    def heal(self, gap: float) -> None:
        self.fleet.heal()
        self.wait(gap)

    @precondition(lambda self: len(self.live()) > 1)
    @rule(name=ROUTER, gap=GAP)
    def kill(self, name: str, gap: float) -> None:
        if len(self.live()) > 1:
            self.fleet.kill(name)
            self.wait(gap)

    @precondition(lambda self: len(self.live()) < ROUTERS)
    @rule(index=st.integers(0, ROUTERS - 1), gap=GAP)
    def restart(self, index: int, gap: float) -> None:
        dead = [
            router.name for router in self.fleet.routers.values() if not router.is_alive
        ]
        self.fleet.restart(dead[index % len(dead)])
        self.wait(gap)

    @rule(
        name=ROUTER,
        seconds=st.sampled_from([1.0, 2.5, 4.5, 6.0]),
        is_tick_first=st.booleans(),
        gap=GAP,
    )
    def pause(self, name: str, seconds: float, is_tick_first: bool, gap: float) -> None:
        self.fleet.pause(name, seconds, is_tick_first=is_tick_first)
        self.wait(gap)

    @rule(name=REPLICA, gap=GAP)
    def leave(self, name: str, gap: float) -> None:
        self.fleet.leave(name)
        self.wait(gap)

    @rule(name=REPLICA)
    def replace(self, name: str) -> None:
        self.fleet.replace(name)

    @rule(name=ROUTER, back=st.sampled_from([0, 0, 1, 3]))
    def configure(self, name: str, back: int) -> None:
        if self.find(name).is_alive:
            self.fleet.configure(self.find(name), back)

    @invariant()
    def counters_never_fall(self) -> None:
        for router in self.live():
            for number in range(ORGANISATIONS):
                key = (router, f"o{number}")
                total = router.board.ledger.total(SERVICE, key[1])
                assert total >= self.totals.get(key, 0.0)
                self.totals[key] = total

    @invariant()
    def versions_never_fall(self) -> None:
        for router in self.live():
            version = router.board.configuration.version
            assert version >= self.versions.get(router, 0)
            self.versions[router] = version

    def teardown(self) -> None:
        if self.fleet.has_failed:
            return
        self.repair()
        self.saturate()
        self.finish_work()
        # Unchanged rows and grants are repeated once per second.
        self.wait(TAKE_OVER_SECONDS)
        self.check_agreement()
        self.check_slots()
        self.check_capacity()

    def repair(self) -> None:
        fleet = self.fleet
        fleet.heal()
        fleet.message_faults.clear()
        for name, router in list(fleet.routers.items()):
            fleet.restart(name)
            fleet.resume(router, True)

    def saturate(self) -> None:
        """Keeps all slots in use once no window may be exceeded any more.

        Counters that a failure left wrong only show while work competes for slots.
        """
        self.fleet.run(max(self.fleet.now, self.fleet.allowed_until))
        for number, router in enumerate(self.live()):
            for _ in range(SATURATING_CALLS):
                name = f"o{number % ORGANISATIONS}"
                self.fleet.arrive(router, name, SATURATING_SECONDS)

    def finish_work(self) -> None:
        """Guards against a request that never starts or never ends."""
        fleet = self.fleet
        rounds = math.ceil(len(fleet.jobs) / SLOTS) + 2
        limit = (
            TAKE_OVER_SECONDS
            + SETTLING_SECONDS
            + OPTIONS.probe_max_delay
            + rounds * (LONGEST_SECONDS + OPTIONS.report_interval)
        )
        end = fleet.now + limit
        while fleet.now < end and (fleet.jobs or self.is_any_leaving()):
            for name in fleet.replicas:
                fleet.replace(name)
            self.wait(OPTIONS.report_interval)
        assert not fleet.jobs, f"{len(fleet.jobs)} requests were not done"
        assert not self.is_any_leaving()

    def is_any_leaving(self) -> bool:
        return any(replica.is_leaving for replica in self.fleet.replicas.values())

    def check_agreement(self) -> None:
        routers = self.live()
        for number in range(ORGANISATIONS):
            totals = [
                router.board.ledger.total(SERVICE, f"o{number}") for router in routers
            ]
            # A lift is reported in whole units.
            assert max(totals) - min(totals) <= 1.0, totals
        expected = max(router.board.configuration.version for router in routers)
        assert {router.board.configuration.version for router in routers} == {expected}

    def check_slots(self) -> None:
        """Guards against slots lost for good or still held by a router that is gone."""
        routers = {router.board.identity: router for router in self.live()}
        for replica_id in self.fleet.replicas:
            owners = [
                router
                for router in routers.values()
                if replica_id in router.policy._get_arbiter(router.board).replica_ids()
            ]
            assert len(owners) == 1, f"{replica_id} has {len(owners)} arbiters"
            state = owners[0].policy._get_arbiter(owners[0].board)._replicas[replica_id]
            assert state.held() == state.window == SLOTS
            for identity, share in state.shares.items():
                held = share.held(state.epoch)
                assert identity in routers or not held, f"{identity} is gone"
                if identity in routers:
                    allotment = routers[identity].policy._allotment
                    holding = allotment._holdings[replica_id]
                    assert holding.in_use == 0
                    assert holding.unused == held

    def check_capacity(self) -> None:
        """Guards against slots that count as free but cannot be used."""
        for _ in range(REPLICAS * SLOTS):
            self.fleet.arrive(self.find("r0"), "o0", LONGEST_SECONDS)
        self.wait(1.0)
        running = [len(replica.running) for replica in self.fleet.replicas.values()]
        assert running == [SLOTS] * REPLICAS


FleetMachine.TestCase.settings = settings(
    max_examples=30,
    stateful_step_count=25,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
TestFleetMachine = FleetMachine.TestCase

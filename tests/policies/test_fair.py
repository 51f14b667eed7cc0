"""Tests of the behaviour that the fair policies share."""

from __future__ import annotations

from random import Random

import pytest

from sequoiamoor.core.blackboard import Blackboard, create_blackboard
from sequoiamoor.core.upstreams import LoadReport, Replica
from sequoiamoor.options import Options
from sequoiamoor.policies import create_policy
from sequoiamoor.types import Address, CallRequest, RouterIdentity

SERVICE = "talk"


def build_board() -> Blackboard:
    options = Options.model_validate({})
    board = create_blackboard(RouterIdentity("router-0", 1, "zone-a"), options)
    for number in range(2):
        replica = Replica(f"talk-{number}", SERVICE, "zone-a", Address("10.0.0.1", 1))
        replica.load = LoadReport(1, 1, 0, 0, 40.0, False)
        board.upstreams.replicas[replica.replica_id] = replica
    return board


def build_call(call_id: str, deadline: float) -> CallRequest:
    return CallRequest(
        call_id=call_id,
        request_id=call_id,
        organisation="a",
        class_name="chat",
        service=SERVICE,
        arrival=0.0,
        deadline=deadline,
        wait_limit_at=100.0,
        body=b"",
    )


@pytest.mark.parametrize("name", ["local-fair", "arbitrated"])
def test_request_that_avoids_a_replica_does_not_block_the_others(name: str) -> None:
    """Guards against an idle slot because the first request avoids its replica.

    A request avoids a replica for some time after an attempt failed there.
    """
    board = build_board()
    policy = create_policy(name, rng=Random(1))
    for step in range(5):
        policy.step(board, 1.0 + 0.2 * step)
    busy = build_call("busy", 10.0)
    busy.excluded, busy.excluded_until = frozenset({"talk-0"}), 3.0
    board.queues.add(busy)
    start = policy.choose_start(board, SERVICE, 2.0)
    assert start is not None and start.replica_id == "talk-1"
    board.upstreams.replicas["talk-1"].in_use = 1
    board.queues.remove("busy")
    retried = build_call("retried", 20.0)
    retried.excluded, retried.excluded_until = frozenset({"talk-0"}), 2.5
    board.queues.add(retried)
    board.queues.add(build_call("behind", 30.0))
    start = policy.choose_start(board, SERVICE, 2.0)
    assert start is not None
    assert (start.call_id, start.replica_id) == ("behind", "talk-0")
    call = board.queues.remove("behind")
    assert call is not None
    board.upstreams.replicas["talk-0"].in_use = 1
    assert policy.choose_start(board, SERVICE, 2.1) is None
    board.upstreams.replicas["talk-0"].in_use = 0
    policy.finish(board, call, "talk-0", 2.2)
    assert policy.choose_start(board, SERVICE, 2.3) is None
    # After the exclusion time, a retry at the same replica is better than an idle slot.
    policy.step(board, 2.6)
    start = policy.choose_start(board, SERVICE, 2.6)
    assert start is not None
    assert (start.call_id, start.replica_id) == ("retried", "talk-0")

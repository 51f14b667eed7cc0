"""Tests of requests that meet a fault at any of the calls that a request makes."""

from __future__ import annotations

from typing import Any

import pytest

from sequoiamoor.core.freshness import KeyFreshness
from sequoiamoor.daemon.forwarder import Forwarder
from sequoiamoor.daemon.route_calls import RouteCalls
from sequoiamoor.daemon.route_listener import RouteListener
from sequoiamoor.logs import LineLimits
from sequoiamoor.platform import callers

from ..request_faults import (
    OWNERS,
    find_faults_that_show,
    find_lasting_faults_that_show,
)


def name_owner(owner: Any) -> str:
    return str(owner.__name__).rpartition(".")[2]


@pytest.mark.parametrize("path", ["/hold/1", "/chat/1", "/nowhere/1"])
@pytest.mark.parametrize("owner", OWNERS, ids=name_owner)
def test_no_fault_leaves_a_caller_without_an_answer(owner: Any, path: str) -> None:
    """Guards against a whole request that ends without an answer or a refusal.

    The request comes on a kept connection while the configuration changes. The end of
    that connection is announced, and requests beside it are answered.
    """
    assert find_faults_that_show(path, owner, ["LookupError", "TaskTimeout"]) == []


@pytest.mark.parametrize(
    "owner",
    [RouteListener, Forwarder, RouteCalls, KeyFreshness, LineLimits, callers],
    ids=name_owner,
)
def test_lasting_fault_of_a_refusal_leaves_no_caller_without_one(owner: Any) -> None:
    """Guards against a log line or a field of refusals that ends all of them."""
    assert find_lasting_faults_that_show("/nowhere/1", owner) == []

"""Tests of requests that meet a fault at any of the calls that a request makes."""

from __future__ import annotations

from typing import Any

import pytest

from ..request_faults import OWNERS, find_faults_that_show


@pytest.mark.parametrize("path", ["/hold/1", "/chat/1"])
@pytest.mark.parametrize(
    "owner", OWNERS, ids=lambda owner: owner.__name__.rpartition(".")[2]
)
def test_no_fault_leaves_a_caller_without_an_answer(owner: Any, path: str) -> None:
    """Guards against a whole request that ends without an answer or a refusal.

    The request comes on a kept connection while the configuration changes. The end of
    that connection is announced, and requests beside it are answered.
    """
    assert find_faults_that_show(path, owner, ["LookupError", "TaskTimeout"]) == []

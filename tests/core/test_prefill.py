"""Tests of the prediction of the time to the first event."""

from __future__ import annotations

from random import Random

import pytest

from sequoiamoor.core.prefill import (
    MAX_SAMPLE_SECONDS,
    FirstEventModel,
    PromptReads,
)


@pytest.mark.parametrize(("base", "rate"), [(0.03, 157_000.0), (0.05, 60_000.0)])
def test_model_follows_measured_times(base: float, rate: float) -> None:
    """Load: many long prompts. Guards against starts that cannot meet a target."""
    rng = Random(3)
    model = FirstEventModel()
    for _ in range(400):
        tokens = rng.uniform(200, 25_000)
        model.record_sample(tokens, base + tokens / rate + rng.uniform(-0.01, 0.01))
    for tokens in (500, 5_000, 20_000):
        assert model.predict(tokens) == pytest.approx(base + tokens / rate, abs=0.02)


def test_replica_that_hangs_does_not_change_the_model() -> None:
    """Guards against refusing all requests because one replica hung."""
    model = FirstEventModel()
    before = model.predict(5_000)
    model.record_sample(5_000, MAX_SAMPLE_SECONDS + 1)
    assert model.predict(5_000) == before


def test_prompt_counts_until_its_first_event_or_its_end() -> None:
    """Guards against a replica that counts as busy forever after a failed attempt."""
    reads = PromptReads()
    reads.start("a", "talk", "i-1", 4_000, ahead=0, now=0.0)
    reads.start("b", "talk", "i-1", 1_000, ahead=4_000, now=0.0)
    assert reads.count_unread_tokens("i-1") == 5_000
    reads.finish("a", 0.1, is_answered=True)
    reads.finish("a", 0.2, is_answered=False)
    assert reads.count_unread_tokens("i-1") == 1_000
    reads.finish("b", 0.3, is_answered=False)
    assert reads.count_unread_tokens("i-1") == 0


def test_model_of_a_service_is_built_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against fitting a new model at each look-up, for each free replica."""
    built: list[FirstEventModel] = []
    monkeypatch.setattr(
        FirstEventModel, "__post_init__", lambda model: built.append(model)
    )
    reads = PromptReads()
    assert reads.model("talk") is reads.model("talk")
    assert len(built) == 1

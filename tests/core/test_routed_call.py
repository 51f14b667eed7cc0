"""Tests of the charging of requests on routes."""

from __future__ import annotations

import pytest

from sequoiamoor.core.routed_call import PromptPart, RoutedCall
from sequoiamoor.core.routes import Route
from sequoiamoor.types import RouteKind

ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, True, True, 9.0, 0.4, 0.25, 2, (("talk", 1.0),)
)
EVENT_UNITS = 20.0


@pytest.mark.parametrize(
    ("expected_tokens", "charges"),
    [
        # A prompt of 900 tokens; each of four events has 10 generated tokens.
        (40, [980.0, 0.0, 0.0, 0.0]),
        (20, [940.0, 0.0, 20.0, 20.0]),
        (0, [920.0, 20.0, 20.0, 20.0]),
        (90, [1080.0, 0.0, 0.0, 0.0]),
    ],
)
def test_stream_is_charged_when_it_begins(
    expected_tokens: int, charges: list[float]
) -> None:
    """Load: two bursts of long streams, one after the other.

    Guards against organisations that cannot start requests while streams that they
    began long ago still generate, and against not charging more output than expected.
    """
    call = RoutedCall(
        "c-1", "q", "a", "r", "talk", 0.0, 0.4, 0.4, b"",
        route=ROUTE, parts=(PromptPart("own", 900),), output_tokens=expected_tokens,
    )  # fmt: skip
    charged_units = []
    for number in range(4):
        units = 0.0 if number else call.prepay(2.0)
        units += call.use_prepaid(EVENT_UNITS)
        call.charged += units
        charged_units.append(units)
    assert charged_units == charges
    assert call.prepay(2.0) == 0.0

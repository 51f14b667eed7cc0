"""The page that explains where a request would go."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qs

from ..core.blackboard import Blackboard
from ..core.routed_call import PromptPart
from ..policies import Policy
from ..policies.explanation import explain
from ..policies.placement_report import Question
from ..policies.shared_load import SharedLoadPolicy

EXPLAIN_PATH = "/explain"


@dataclass(frozen=True, slots=True)
class Page:
    """Status and JSON document of a page."""

    status: int
    document: dict[str, Any]


def build_page(
    board: Blackboard, policy: Policy | None, query: str, now: float
) -> Page:
    """Returns the page for a query.

    Args:
        board: State of the router.
        policy: Its policy.
        query: Query with ``host``, ``path`` and optionally ``organisation``,
            ``parts`` and ``output_tokens``.
        now: Monotonic time in seconds.
    """
    if not isinstance(policy, SharedLoadPolicy):
        return Page(
            404,
            {
                "error": "this router has no policy 'shared-load', the only one whose "
                "choices can be explained; ask a router with a section 'gateway'"
            },
        )
    try:
        question = parse_question(query)
    except ValueError as err:
        return Page(400, {"error": str(err)})
    return Page(200, asdict(explain(board, policy, question, now)))


def parse_question(query: str) -> Question:
    """Returns the request that a query describes.

    Raises:
        ValueError: If the query is invalid.
    """
    values = {name: items[-1] for name, items in parse_qs(query).items()}
    for name in ("host", "path"):
        if name not in values:
            raise ValueError(f"parameter {name!r} is missing; give host and path")
    return Question(
        values["host"],
        values["path"],
        values.get("organisation"),
        parse_parts(values.get("parts", "")),
        parse_count(values.get("output_tokens", "0")),
    )


def parse_parts(text: str) -> tuple[PromptPart, ...]:
    """Returns the prompt parts of ``ID:TOKENS,...``.

    Raises:
        ValueError: If the text has another form.
    """
    parts = []
    for item in filter(None, text.split(",")):
        part_id, separator, tokens = item.rpartition(":")
        if not separator or not part_id:
            raise ValueError(f"prompt part {item!r} is invalid; write ID:TOKENS,...")
        parts.append(PromptPart(part_id, parse_count(tokens)))
    return tuple(parts)


def parse_count(text: str) -> int:
    """Returns a number of tokens.

    Raises:
        ValueError: If the text is not a whole number from 0.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError(f"{text!r} is no number of tokens; give a whole one from 0")
    return int(text)

"""Interfaces of the HTTP formats for requests on routes."""

from __future__ import annotations

from typing import Protocol

from ..core.replica_loads import ReportedLoad
from ..core.routed_call import Fields, PromptPart, RoutedCall
from ..core.statements import Statement
from ..errors import RefusalError
from .http import Request, Response


class CallerFormat(Protocol):
    """The format of callers' requests and of refusals."""

    def select_fields(self, fields: Fields) -> Fields:
        """Returns the header fields of a request to forward to a replica."""

    def read_request_id(self, request: Request) -> str:
        """Returns the caller's identifier of the request.

        Raises:
            MalformedRequestError: If it is missing or invalid.
        """

    def read_host(self, request: Request) -> str:
        """Returns the host that the request is for, in lower case."""

    def read_remaining(self, request: Request) -> float | None:
        """Returns how many seconds the caller will wait, or None without a limit."""

    def read_key(self, request: Request) -> str | None:
        """Returns the bearer key of the request, or None if it has none."""

    def read_prompt(self, request: Request) -> tuple[PromptPart, ...]:
        """Returns the parts of the prompt."""

    def read_output_tokens(self, request: Request) -> tuple[int | None, int | None]:
        """Returns the caller's estimate and limit of the output length, in tokens."""

    def build_refusal(self, error: RefusalError, request_id: str | None) -> Fields:
        """Returns the header fields of a refusal."""


class UpstreamFormat(Protocol):
    """The format of requests to replicas and of their answers."""

    def build_fields(
        self,
        call: RoutedCall,
        replica_id: str,
        *,
        remaining: float,
        last_event: bytes | None,
    ) -> Fields:
        """Returns the header fields of an attempt.

        Args:
            call: The request.
            replica_id: Replica that runs the request; any other one refuses it.
            remaining: Seconds after which the replica abandons the request.
            last_event: Identifier of the last event that the caller received, if
                the attempt resumes a stream.
        """

    def read_request_id(self, response: Response) -> str | None:
        """Returns the identifier of the request that the response answers."""

    def states_not_run(self, response: Response) -> bool:
        """Returns whether the replica states that it did not run the request."""

    def read_statement(self, response: Response) -> Statement | None:
        """Returns what the answer says about the requests that its replica wants.

        None means that it says nothing about them.
        """

    def read_cold_seconds(self, response: Response) -> float | None:
        """Returns the seconds for which the replica remains cold.

        None means that the response does not tell.
        """

    def read_load(
        self, response: Response, *, least_figures: int = 4
    ) -> ReportedLoad | None:
        """Returns the load that the replica reports; None if it reports none."""

    def is_signed(self, response: Response) -> bool:
        """Returns whether the answer carries the signature of a replica."""

    def is_encoded(self, response: Response) -> bool:
        """Returns whether the body has a content encoding, which no request accepts."""

    def read_idle_limit(self, response: Response) -> float | None:
        """Returns the seconds after which the replica closes an idle connection.

        None means that the response states no limit.
        """

    def select_answer_fields(self, response: Response) -> Fields:
        """Returns the header fields of an answer to send to the caller."""

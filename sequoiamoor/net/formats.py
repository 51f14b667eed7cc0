"""What a wire format has to provide for requests on routes."""

from __future__ import annotations

from typing import Protocol

from ..core.routed import Fields, PromptPart, RoutedCall
from ..errors import RefusalError
from .http import Request, Response


class CallerFormat(Protocol):
    """How callers say what they want, and how refusals look."""

    def select_fields(self, fields: Fields) -> Fields:
        """Returns the header fields of a request that are passed on."""

    def read_request_id(self, request: Request) -> str:
        """Returns the caller's identifier of the request.

        Raises:
            MalformedRequestError: If it is missing or has another form.
        """

    def read_host(self, request: Request) -> str:
        """Returns the host that the request is for, in lower case."""

    def read_remaining(self, request: Request) -> float | None:
        """Returns how many seconds the caller will wait, if it says so."""

    def read_key(self, request: Request) -> str | None:
        """Returns the bearer key of the request, if it has one."""

    def read_prompt(self, request: Request) -> tuple[PromptPart, ...]:
        """Returns the parts of the prompt."""

    def read_output_tokens(self, request: Request) -> tuple[int | None, int | None]:
        """Returns the caller's guess and the limit of the output, in tokens."""

    def build_refusal(self, error: RefusalError, request_id: str | None) -> Fields:
        """Returns the header fields of a refusal."""


class UpstreamFormat(Protocol):
    """How requests look to replicas, and what their answers say."""

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
            replica_id: Replica that is to run it; any other one refuses it.
            remaining: Seconds after which the replica stops working.
            last_event: Identifier of the last event that the caller has, if the
                attempt goes on with a stream.
        """

    def read_request_id(self, response: Response) -> str | None:
        """Returns the identifier of the request that was answered."""

    def states_not_run(self, response: Response) -> bool:
        """Whether the replica states that it did not run the request."""

    def is_signed(self, response: Response) -> bool:
        """Whether the answer carries the signature of a replica."""

    def is_encoded(self, response: Response) -> bool:
        """Whether the body has an encoding that no caller asked for."""

    def read_idle_limit(self, response: Response) -> float | None:
        """Returns the seconds after which the replica closes the idle connection."""

    def select_answer_fields(self, response: Response) -> Fields:
        """Returns the header fields of an answer that the caller gets."""

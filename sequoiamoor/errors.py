"""Typed errors with stable codes; each message names the remedy."""

from __future__ import annotations

from typing import ClassVar

from .types import Execution


class SequoiamoorError(Exception):
    """Base of all errors of this package.

    Attributes:
        code: Stable code for programs.
    """

    code: ClassVar[str] = "internal"


class SettingsError(SequoiamoorError):
    """A settings file or declaration is invalid."""

    code = "settings-invalid"


class ProtocolError(SequoiamoorError):
    """A peer sent a message that does not follow the control protocol."""

    code = "protocol-invalid"


class PlatformUnavailableError(SequoiamoorError):
    """The platform did not answer, so the effect of an operation is unknown."""

    code = "platform-unavailable"


class HistoryLostError(SequoiamoorError):
    """The store has discarded the changes that a feed asked for."""

    code = "history-lost"


class VersionConflictError(SequoiamoorError):
    """A conditional write found another version.

    Attributes:
        version: Present version in the table.
        value: Present value in the table.
    """

    code = "version-conflict"

    def __init__(self, message: str, *, version: int, value: object) -> None:
        super().__init__(message)
        self.version = version
        self.value = value


class ChangeConflictError(SequoiamoorError):
    """Another version of the configuration is current; nothing was changed."""

    code = "change-conflict"


class ChangeUnknownError(SequoiamoorError):
    """The platform did not tell whether a change was accepted."""

    code = "change-unknown"


class VersionUnknownError(SequoiamoorError):
    """The configuration has no such version."""

    code = "version-unknown"


class LeaseHeldError(SequoiamoorError):
    """Another holder may still use the lease."""

    code = "lease-held"


class LeaseLostError(SequoiamoorError):
    """The lease is not held, or not any more."""

    code = "lease-lost"


class ReplicaUnknownError(SequoiamoorError):
    """The platform's list has no such engine."""

    code = "replica-unknown"


class OrderRefusedError(SequoiamoorError):
    """An engine refused an order; nothing was changed there."""

    code = "order-refused"


class OrderUnknownError(SequoiamoorError):
    """An engine did not tell whether it carries out an order."""

    code = "order-unknown"


class RouterUnavailableError(SequoiamoorError):
    """A router does not answer an operator's command."""

    code = "router-unavailable"


class RefusalError(SequoiamoorError):
    """A request is refused; the caller gets status, code and execution.

    Attributes:
        status: HTTP status code.
        execution: What the caller may conclude about the execution.
        retry_after: Seconds after which trying again may help, if it may.
    """

    code = "refused"
    status: ClassVar[int] = 503
    execution: Execution = Execution.WAS_NOT_RUN

    def __init__(
        self,
        message: str,
        *,
        execution: Execution | None = None,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        if execution is not None:
            self.execution = execution
        self.retry_after = retry_after


class MalformedRequestError(RefusalError):
    """The request does not follow HTTP/1.1 or this interface."""

    code = "request-malformed"
    status = 400


class HeadersTooLargeError(RefusalError):
    """The request head is over the limit."""

    code = "headers-too-large"
    status = 431


class BodyTooLargeError(RefusalError):
    """The request body is over the limit."""

    code = "body-too-large"
    status = 413


class RequestTimeoutError(RefusalError):
    """The caller did not send the whole request in time."""

    code = "request-timeout"
    status = 408


class TooManyConnectionsError(RefusalError):
    """The router has as many connections as its settings allow."""

    code = "too-many-connections"


class NotFoundError(RefusalError):
    """The path is unknown."""

    code = "not-found"
    status = 404


class MethodNotAllowedError(RefusalError):
    """The path does not support the method."""

    code = "method-not-allowed"
    status = 405


class UnknownOrganisationError(RefusalError):
    """The organisation is not declared."""

    code = "organisation-unknown"
    status = 403


class UnknownKeyError(RefusalError):
    """The request carries no key, or one that no organisation holds."""

    code = "key-unknown"
    status = 401


class KeysUncertainError(RefusalError):
    """Keys may have been taken away since this router last heard of them."""

    code = "keys-uncertain"


class DeadlineError(RefusalError):
    """The answer did not end within the route's or the caller's time."""

    code = "deadline"
    status = 504
    execution = Execution.MAY_HAVE_RUN


class UnknownServiceError(RefusalError):
    """The service is not declared."""

    code = "service-unknown"
    status = 404


class UnknownClassError(RefusalError):
    """The class of work is not declared."""

    code = "class-unknown"
    status = 400


class QueueFullError(RefusalError):
    """The organisation's queue on this router is full."""

    code = "queue-full"
    status = 429


class TargetUnreachableError(RefusalError):
    """The class's wait limit cannot be met with the work already waiting."""

    code = "wait-limit-unreachable"


class WaitLimitError(RefusalError):
    """The request waited as long as its class allows."""

    code = "wait-limit"


class NotReadyError(RefusalError):
    """The router has no configuration yet."""

    code = "not-ready"


class LeavingError(RefusalError):
    """The router is shutting down and takes no new work."""

    code = "leaving"


class UpstreamUnreachableError(RefusalError):
    """No attempt could be sent to any replica of the service."""

    code = "upstream-unreachable"
    status = 502


class UpstreamFailedError(RefusalError):
    """An attempt failed after it may have reached an upstream."""

    code = "upstream-failed"
    status = 502
    execution = Execution.MAY_HAVE_RUN


class UpstreamRefusedError(RefusalError):
    """An upstream stated that it did not run the request."""

    code = "upstream-refused"


class AnswerMismatchError(UpstreamFailedError):
    """An upstream sent something that is not the answer to this request."""

    code = "answer-mismatch"


class AnswerIncompleteError(UpstreamFailedError):
    """An answer ended before its end."""

    code = "answer-incomplete"


class InternalError(RefusalError):
    """A fault of the router ended the call."""

    code = "internal"
    status = 500


class RecordUnavailableError(RefusalError):
    """The at-most-once record cannot be written, so the call is not sent."""

    code = "record-unavailable"


class DuplicateCallError(RefusalError):
    """Another attempt of the same non-repeatable call was made before."""

    code = "duplicate-call"
    status = 409
    execution = Execution.MAY_HAVE_RUN


class RequestIdReusedError(RefusalError):
    """Another call was made under the same request identifier."""

    code = "request-id-reused"
    status = 422


class AnswerNotKeptError(RefusalError):
    """The call was run before, but its record holds no answer."""

    code = "answer-not-kept"
    status = 409
    execution = Execution.WAS_RUN


class ClaimExpiredError(RefusalError):
    """The claim on a non-repeatable call expired before anything was sent."""

    code = "claim-expired"


class DrainLimitError(RefusalError):
    """The router ended before the request did."""

    code = "drain-limit"
    execution = Execution.MAY_HAVE_RUN

"""Typed errors with stable codes; each message names the remedy."""

from __future__ import annotations

from typing import ClassVar

from .types import Execution


class SequoiamoorError(Exception):
    """Base of all errors of this package.

    Attributes:
        code: Stable error code that programs may rely on.
    """

    code: ClassVar[str] = "internal"


class SettingsError(SequoiamoorError):
    """A settings file or declaration is invalid."""

    code = "settings-invalid"


class ForeignRouterError(SequoiamoorError):
    """A router of another fleet has connected."""

    code = "foreign-router"


class ProtocolError(SequoiamoorError):
    """A peer sent a message that does not follow the control protocol."""

    code = "protocol-invalid"


class PlatformUnavailableError(SequoiamoorError):
    """The platform did not answer, so the effect of an operation is unknown."""

    code = "platform-unavailable"


class HistoryLostError(SequoiamoorError):
    """The store no longer has the changes that a feed asked for."""

    code = "history-lost"


class VersionConflictError(SequoiamoorError):
    """A conditional write found another version than the expected one.

    Attributes:
        version: Current version in the table.
        value: Current value in the table.
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
    """It is unknown whether the platform accepted a change."""

    code = "change-unknown"


class VersionUnknownError(SequoiamoorError):
    """The configuration has no such version."""

    code = "version-unknown"


class LeaseHeldError(SequoiamoorError):
    """Another holder may still use the lease."""

    code = "lease-held"


class LeaseLostError(SequoiamoorError):
    """The lease was never acquired or is no longer held."""

    code = "lease-lost"


class ReplicaUnknownError(SequoiamoorError):
    """The platform's list has no such engine."""

    code = "replica-unknown"


class OrderRefusedError(SequoiamoorError):
    """An engine refused an order; nothing was changed there."""

    code = "order-refused"


class OrderUnknownError(SequoiamoorError):
    """It is unknown whether an engine carries out an order."""

    code = "order-unknown"


class PartUnknownError(SequoiamoorError):
    """The store has no such prompt part."""

    code = "part-unknown"


class RouterUnavailableError(SequoiamoorError):
    """A router does not answer an operator's command."""

    code = "router-unavailable"


class RefusalError(SequoiamoorError):
    """Base of the errors with which a router refuses a request.

    The caller receives the status, the code and the execution.

    Attributes:
        status: HTTP status code.
        execution: What the caller may conclude about the execution.
        retry_after: Seconds after which a retry may succeed; None if a retry is not
            expected to help.
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
    """The request head is larger than the limit."""

    code = "headers-too-large"
    status = 431


class BodyTooLargeError(RefusalError):
    """The request body is larger than the limit."""

    code = "body-too-large"
    status = 413


class NoRoomError(RefusalError):
    """The request body did not fit into the memory that the router has for requests."""

    code = "no-room"


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
    """The request carries no key, or a key that belongs to no organisation."""

    code = "key-unknown"
    status = 401


class KeyUnconfirmedError(RefusalError):
    """The key may have been revoked since this router last confirmed its keys."""

    code = "keys-uncertain"


class ConfigurationUnusableError(RefusalError):
    """The entry of the configuration that the request needs cannot be used."""

    code = "configuration-unusable"


class DeadlineError(RefusalError):
    """The answer was not complete within the time limit of the route or the caller."""

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


class WaitLimitUnreachableError(RefusalError):
    """The wait limit of the class cannot be met behind the work already waiting."""

    code = "wait-limit-unreachable"


class WaitLimitError(RefusalError):
    """The request waited for the longest time that its class allows."""

    code = "wait-limit"


class NotReadyError(RefusalError):
    """The router has no configuration yet."""

    code = "not-ready"


class RouterShuttingDownError(RefusalError):
    """The router is shutting down and accepts no new work."""

    code = "leaving"


class UpstreamUnreachableError(RefusalError):
    """No attempt could be sent to any replica of the service."""

    code = "upstream-unreachable"
    status = 502


class UpstreamLeavingError(UpstreamUnreachableError):
    """The upstream of an attempt left before the request was sent to it."""

    code = "upstream-leaving"


class UpstreamTurnedAwayError(UpstreamLeavingError):
    """The upstream of an attempt asked for no requests before the send."""

    code = "upstream-turned-away"


class UpstreamColdError(UpstreamLeavingError):
    """The upstream of an attempt was cold and took no request from this router."""

    code = "upstream-cold"


class UpstreamsOutdatedError(UpstreamUnreachableError):
    """The list of upstreams was too old to send a request."""

    code = "upstreams-outdated"


class UpstreamFailedError(RefusalError):
    """An attempt failed after it may have reached an upstream."""

    code = "upstream-failed"
    status = 502
    execution = Execution.MAY_HAVE_RUN


class AnswerTooLargeError(UpstreamFailedError):
    """An answer did not fit into the memory that the router has for answers."""

    code = "answer-too-large"


class CallerClosedError(RefusalError):
    """The caller closed its side before its request was sent to a replica."""

    code = "caller-closed"


class CallerClosedLateError(RefusalError):
    """The caller closed its side after its request was sent to a replica."""

    code = "caller-closed-late"
    status = 502
    execution = Execution.MAY_HAVE_RUN


class UpstreamsUnavailableError(RefusalError):
    """All replicas of the service are leaving, or want no requests for too long."""

    code = "upstreams-unavailable"


class PartQuarantinedError(RefusalError):
    """The request has a prompt part under which replicas end."""

    code = "part-quarantined"


class UpstreamRefusedError(RefusalError):
    """An upstream stated that it did not run the request."""

    code = "upstream-refused"


class AnswerMismatchError(UpstreamFailedError):
    """An upstream sent something that is not the answer to this request."""

    code = "answer-mismatch"


class AnswerIncompleteError(UpstreamFailedError):
    """An answer ended before it was complete."""

    code = "answer-incomplete"


class HandoffLostError(RefusalError):
    """The router to which the connection was handed ended before its answer."""

    code = "handoff-lost"
    status = 502
    execution = Execution.MAY_HAVE_RUN


class InternalError(RefusalError):
    """The call failed because of a fault in the router."""

    code = "internal"
    status = 500


class RecordUnavailableError(RefusalError):
    """The at-most-once record cannot be written, so the call is not sent."""

    code = "record-unavailable"


class DuplicateCallError(RefusalError):
    """The same non-repeatable call was received before."""

    code = "duplicate-call"
    status = 409
    execution = Execution.MAY_HAVE_RUN


class RequestIdReusedError(RefusalError):
    """A different call was made with the same request identifier."""

    code = "request-id-reused"
    status = 422


class AnswerNotRecordedError(RefusalError):
    """The call was run before, but its record does not contain the answer."""

    code = "answer-not-kept"
    status = 409
    execution = Execution.WAS_RUN


class ClaimExpiredError(RefusalError):
    """The claim on a non-repeatable call expired before anything was sent."""

    code = "claim-expired"


class DrainLimitError(RefusalError):
    """The router shut down before the request was complete."""

    code = "drain-limit"
    execution = Execution.MAY_HAVE_RUN

"""Calls that wait for a slot of a replica, and calls that hold one."""

from __future__ import annotations

import contextlib
import logging
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass, field
from typing import Any

import curio

from ..core.actions import Action, Start
from ..core.blackboard import Blackboard
from ..core.choices import ChoiceCounts
from ..core.overload import Overload, bound_retry_after
from ..core.upstreams import Replica
from ..errors import QueueFullError, RefusalError, UpstreamsUnavailableError
from ..logs import LineLimits
from ..policies import Policy
from ..timeouts import wait_for
from ..types import CallRequest

_LOG = logging.getLogger(__name__)

CHOICES_LOG_SECONDS = 1.0
"""Shortest time between two lines on calls that were left waiting."""

FAILURE_LINES_PER_SECOND = 1.0
"""Sustained rate of lines about failed decisions of the same kind."""

FAILURE_BURST_LINES = 5.0
"""Such lines that may be written at once."""


@dataclass(slots=True)
class _PendingStart:
    """Start of one accepted call, awaited by the task that serves the call.

    Attributes:
        event: Set when the call has been given a slot, or cannot get one.
        replica: Replica where the call holds a slot, from its start to its release.
        error: Why the call cannot get a slot within its wait limit.
    """

    event: Any = field(default_factory=curio.Event)
    replica: Replica | None = None
    error: RefusalError | None = None


class Dispatcher:
    """Queues calls, starts them as the policy decides, and frees their slots.

    A decision concerns all calls of a service, and the task of any one of them may ask
    for it. So a failure of a decision is logged and not raised: the call that asked
    goes on, and those that wait are looked at again later, at the latest by the
    control's next step.

    Args:
        board: State of the router.
        policy: Chooses which waiting call starts next, and at which replica.
        perform: Carries out the actions that the policy returns.
        min_queued_requests: Number of waiting requests of an organisation up to which a
            request is queued regardless of its expected wait.
        refuses_unserved: Whether calls are refused as soon as no replica will take
            them within their wait limit.
    """

    def __init__(
        self,
        board: Blackboard,
        policy: Policy,
        *,
        perform: Callable[[Iterable[Action]], None] = lambda _: None,
        min_queued_requests: int = 0,
        refuses_unserved: bool = False,
    ) -> None:
        self._board = board
        self._policy = policy
        self._perform = perform
        self._overload = Overload(board.options, min_queued_requests)
        self._pending_starts: dict[str, _PendingStart] = {}
        self._refuses_unserved = refuses_unserved
        self._choices_logged_at = float("-inf")
        self._logged_counts = ChoiceCounts()
        self._failure_lines = LineLimits(
            rate=FAILURE_LINES_PER_SECOND, burst=FAILURE_BURST_LINES
        )

    @contextlib.contextmanager
    def _contain_failure(self, decision: str) -> Iterator[None]:
        """Logs an exception of a decision instead of raising it."""
        try:
            yield
        except Exception as err:
            left_out = self._failure_lines.take(decision, time.monotonic())
            if left_out is not None:
                _LOG.exception(
                    "a decision failed",
                    extra={
                        "reason": decision,
                        "error": repr(err),
                        "left_out": left_out or None,
                    },
                )

    @property
    def in_service(self) -> int:
        """Number of accepted calls that have not been answered completely."""
        return len(self._pending_starts)

    def accept(self, call: CallRequest) -> None:
        """Queues a new call.

        Raises:
            RefusalError: If the queue is full or the call would wait too long.
        """
        now = time.monotonic()
        waiting = self._count_waiting(call)
        self._overload.check_arrival(call, waiting, now)
        self._pending_starts[call.call_id] = _PendingStart()
        try:
            self._board.queues.add(call)
            self._overload.record_waiting(call, waiting + 1, now)
        except BaseException as error:
            # Nobody would wait for its start, and those behind it would wait for it.
            self._board.queues.remove(call.call_id)
            del self._pending_starts[call.call_id]
            if isinstance(error, QueueFullError):
                expected_wait = self._overload.estimate_wait(call, waiting, now)
                error.retry_after = bound_retry_after(expected_wait / 2)
            raise

    def accept_again(self, call: CallRequest) -> None:
        """Queues a call again after a failed attempt."""
        self._pending_starts[call.call_id] = _PendingStart()
        self._board.queues.put_back(call)
        self._overload.record_waiting(call, self._count_waiting(call), time.monotonic())

    def _count_waiting(self, call: CallRequest) -> int:
        return self._board.queues.count(call.service, call.organisation)

    async def wait_start(self, call: CallRequest) -> Replica:
        """Waits until the call is given a slot and returns the slot's replica.

        Raises:
            WaitLimitError: If the call reached its wait limit first.
            UpstreamsUnavailableError: If no replica will take it within that limit.
        """
        pending = self._pending_starts[call.call_id]
        await self.dispatch(call.service)
        if not pending.event.is_set():
            remaining = call.wait_limit_at - time.monotonic()
            await wait_for(max(remaining, 0.0), pending.event.wait)
        if pending.error is not None:
            raise pending.error
        if pending.replica is None:
            raise self._overload.build_wait_limit_error(
                call, self._count_waiting(call), time.monotonic()
            )
        return pending.replica

    async def dispatch(self, service: str) -> None:
        """Starts waiting calls of a service until the policy starts no more of them."""
        now = time.monotonic()
        with self._contain_failure("start"):
            while (
                start := self._policy.choose_start(self._board, service, now)
            ) is not None:
                await self._start(start, now)
        if self._refuses_unserved:
            with self._contain_failure("refuse unserved"):
                await self._refuse_unserved(service, now)
        with self._contain_failure("log"):
            self._log_choices(now)
        # The policy may have marked a report as due because calls are still waiting.
        with self._contain_failure("report"):
            self._perform(())

    async def _start(self, start: Start, now: float) -> None:
        """Gives a waiting call the slot that the policy chose."""
        replica = self._board.upstreams.replicas[start.replica_id]
        call = self._board.queues.remove(start.call_id)
        pending = self._pending_starts.get(start.call_id)
        if call is None or pending is None:
            _LOG.error("a call waited that nobody serves")
            return
        call.attempts += 1
        call.started_at = now
        self._board.running[call.call_id] = call
        pending.replica = replica
        # The count follows the slot whatever else fails, or the slot would be lost.
        in_use = replica.in_use + 1
        try:
            self._board.upstreams.record_start(replica, now, call.call_id)
            self._overload.record_start(call, self._count_waiting(call), now)
        finally:
            replica.in_use = in_use
            await pending.event.set()

    def _log_choices(self, now: float) -> None:
        """Logs why calls were left waiting, at most once per interval."""
        choices = self._board.choices
        if (
            now - self._choices_logged_at < CHOICES_LOG_SECONDS
            or choices.counts.left_waiting == self._logged_counts.left_waiting
        ):
            return
        counts = choices.counts.subtract(self._logged_counts)
        self._choices_logged_at, self._logged_counts = now, choices.copy_counts()
        held_back = choices.describe_held_back() if counts.held_back else None
        extra = {
            "choices": asdict(counts),
            "queued": len(self._board.queues),
            "held_back": None if held_back is None else asdict(held_back),
        }
        _LOG.info("calls were left waiting", extra=extra)

    async def _refuse_unserved(self, service: str, now: float) -> None:
        """Refuses waiting calls that no replica will take within their wait limit."""
        return_time = self._board.upstreams.find_return_time(service, now)
        if return_time is None:
            return
        for call in self._board.queues.requests():
            if call.service != service or call.wait_limit_at >= return_time:
                continue
            self._board.queues.remove(call.call_id)
            self._overload.record_waiting(call, self._count_waiting(call), now)
            pending = self._pending_starts[call.call_id]
            limit = max(call.wait_limit_at - now, 0.0)
            pending.error = UpstreamsUnavailableError(
                f"no replica of {service!r} takes requests within the {limit:.1f} s "
                "that this request may wait; try again later"
            )
            await pending.event.set()

    async def refuse_waiting(
        self, find_error: Callable[[CallRequest], RefusalError | None]
    ) -> None:
        """Refuses the waiting calls for which a function returns an error."""
        now = time.monotonic()
        for call in list(self._board.queues.requests()):
            error = find_error(call)
            if error is None:
                continue
            self._board.queues.remove(call.call_id)
            self._overload.record_waiting(call, self._count_waiting(call), now)
            pending = self._pending_starts[call.call_id]
            pending.error = error
            await pending.event.set()

    def find_wait_limit(self, call: CallRequest) -> float | None:
        """Returns how many seconds a call may wait to meet its target.

        None leaves the limit to the class or route of the call.
        """
        with self._contain_failure("wait limit"):
            return self._policy.find_wait_limit(call)
        return None

    async def record_first_event(self, call: CallRequest) -> None:
        """Tells the policy that the first event of a stream has arrived.

        The replica has read the prompt then, so waiting calls may start there.
        """
        with self._contain_failure("first event"):
            self._policy.record_first_event(self._board, call, time.monotonic())
        if call.service in self._board.queues.services():
            await self.dispatch(call.service)

    async def release(self, call: CallRequest) -> None:
        """Frees the slot of a started call and starts calls that wait for one."""
        pending = self._pending_starts[call.call_id]
        replica, pending.replica = pending.replica, None
        assert replica is not None
        self._board.running.pop(call.call_id, None)
        in_use = replica.in_use - 1
        try:
            with self._contain_failure("record end"):
                self._board.upstreams.record_end(replica, call.call_id)
        finally:
            replica.in_use = in_use
        with self._contain_failure("finish"):
            self._perform(
                self._policy.finish(
                    self._board, call, replica.replica_id, time.monotonic()
                )
            )
        await self.dispatch(call.service)

    async def forget(self, call: CallRequest) -> None:
        """Removes a call that ended from the queue or frees its slot."""
        if self._board.queues.remove(call.call_id) is not None:
            with self._contain_failure("record waiting"):
                waiting = self._count_waiting(call)
                self._overload.record_waiting(call, waiting, time.monotonic())
        pending = self._pending_starts.get(call.call_id)
        try:
            # A call can get its slot in the same pass of the event loop in which its
            # caller disconnects.
            if pending is not None and pending.replica is not None:
                await self.release(call)
        finally:
            self._pending_starts.pop(call.call_id, None)

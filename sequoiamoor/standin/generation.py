"""State of a stand-in engine: the answer of each request and the cached prefixes."""

from __future__ import annotations

import json
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from random import Random
from typing import Any

import curio
import xxhash

from .server import StandInConnection

MAX_CACHE_EVENTS = 10_000


def make_token_text(call_id: str, body: bytes, index: int) -> str:
    """Returns the text of a token, a function of call, body and index."""
    return hash_token(call_id, xxhash.xxh32_intdigest(body), index)


def hash_token(call_id: str, seed: int, index: int) -> str:
    """Returns the text of a token; ``seed`` is the hash of the request body."""
    return xxhash.xxh32_hexdigest(f"{call_id}:{index}".encode(), seed=seed)


@dataclass(slots=True)
class PrefixCache:
    """LRU cache of prompt prefixes; publishes its events late and with gaps.

    Attributes:
        capacity: Tokens that fit into the cache.
        lag: Seconds until an event is listed.
        loss: Fraction of the events that are never listed.
        used: Tokens in the cache.
        entries: Tokens of each prefix by key, least recently used first.
        events: Events with the time from which they are listed.
        sequence: Sequence number of the last event, also of a lost one.
    """

    capacity: int
    lag: float
    loss: float
    rng: Random
    used: int = 0
    entries: OrderedDict[str, int] = field(default_factory=OrderedDict)
    events: deque[tuple[float, dict[str, Any]]] = field(
        default_factory=lambda: deque(maxlen=MAX_CACHE_EVENTS)
    )
    sequence: int = 0

    def match(self, key: str, tokens: int) -> int:
        """Returns how many of ``tokens`` prefix tokens are cached."""
        if key not in self.entries:
            return 0
        self.entries.move_to_end(key)
        return min(self.entries[key], tokens)

    def store(self, key: str, tokens: int, now: float) -> None:
        """Stores a prefix and evicts the least recently used ones to make room.

        A prefix that exceeds the capacity, or is not longer than the one stored under
        its key, changes nothing.
        """
        present = self.entries.get(key, 0)
        if tokens <= present or tokens > self.capacity:
            return
        self.entries[key] = tokens
        self.entries.move_to_end(key)
        self.used += tokens - present
        self._publish(key, "stored", now)
        while self.used > self.capacity:
            evicted, size = self.entries.popitem(last=False)
            self.used -= size
            self._publish(evicted, "evicted", now)

    def _publish(self, key: str, kind: str, now: float) -> None:
        self.sequence += 1
        if self.rng.random() >= self.loss:
            event = {"seq": self.sequence, "prefix_key": key, "kind": kind}
            self.events.append((now + self.lag, event))

    def list_events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Returns the events listed by now with a sequence number above ``after``."""
        return [
            event
            for listed_at, event in self.events
            if event["seq"] > after and listed_at <= now
        ]


@dataclass(slots=True, eq=False)
class Generation:
    """A running request of the engine.

    Attributes:
        event_id: Identifier in the events; a fault makes it differ from ``call_id``.
        seed: Hash of the request body.
        prefill_left: Tokens still to be prefilled.
        prefilled: Tokens to prefill: uncached prompt tokens and, of a resumed request,
            the answer tokens before the resume index.
        cached: Prompt tokens found in the prefix cache.
        index: Index of the next token.
        tokens: Tokens of the whole answer.
        break_at: Index of the token before which the connection is closed, if any.
        end_at: Index of the token before which the answer is truncated, if any.
        unsent: Encoded chunks that the socket has not accepted yet.
        is_done: Whether the answer is complete, truncated or broken off.
        is_broken: Whether the connection is closed without the terminating chunk.
        is_lost: Whether the peer closed the connection.
    """

    connection: StandInConnection
    organisation: str
    event_id: str
    seed: int
    call_id: str
    prefill_left: int
    prefilled: int
    cached: int
    index: int
    tokens: int
    break_at: int | None
    end_at: int | None
    prefix_key: str | None
    prefix_tokens: int
    unsent: bytes = b""
    is_started: bool = False
    is_done: bool = False
    is_broken: bool = False
    is_lost: bool = False
    finished: Any = field(default_factory=curio.Event)

    def add_event(self, name: str, document: dict[str, Any]) -> None:
        """Appends a control event to the answer."""
        data = json.dumps(document, separators=(",", ":"))
        self._add_chunk(f"event: {name}\ndata: {data}\n\n")

    def add_token(self) -> None:
        """Appends the next token to the answer."""
        text = hash_token(self.call_id, self.seed, self.index)
        self._add_chunk(
            f'data: {{"id":"{self.event_id}","i":{self.index},"t":"{text}"}}\n\n'
        )
        self.index += 1

    def _add_chunk(self, text: str) -> None:
        self.unsent += f"{len(text):x}\r\n{text}\r\n".encode()

    def flush(self) -> None:
        """Sends as much as the socket accepts without blocking."""
        try:
            count = self.connection.send_now(self.unsent)
        except OSError:
            self.is_done = self.is_broken = self.is_lost = True
            return
        self.unsent = self.unsent[count:]

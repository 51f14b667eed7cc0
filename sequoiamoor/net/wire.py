"""Format of the messages between routers.

Each message is one msgpack array that begins with its kind. The encoder at one end of
a connection and the decoder at the other keep the same state: strings are sent once,
in ``Names``, and by index afterwards; some numbers are sent as the difference from the
previous row with the same names. These are served and lift in counters, released,
epoch and base in slots, the incarnation in loads, and served in sums. Therefore every
encoded message must be written, in order, or the connection must be closed.

Fields, in order; trailing fields of a row that are zero or nil are omitted:

==================== ==========================================================
Hello                protocol, router id, incarnation, zone, version, host, port;
                     a name sent right before it is the fleet of the sender: earlier
                     versions accept that, but no further field. If the name
                     ``FEED_STATUS_NAME`` precedes that one, the sender reads FeedStatus
Names                list of strings
Report               sequence, version, leaving, counters, slots
- counters           rows: service, organisation, served, waiting, running,
                     deadline in ms (plus 1 if not negative) or nil, lift
- slots              rows: replica, in use, released, epoch, base, prompt tokens,
                     window; a row with the replica alone removes it
Grants               rows: replica, epoch, granted, recalled; acknowledged report,
                     incarnation of the receiver
Snapshot             in parts: whether it is the last one, router id, incarnation,
                     zone, rows of service, organisation, served, lift, waiting,
                     running, deadline
Sum                  zone or nil, part, sequence, whether it is whole, origins as
                     rows of router id, incarnation, zone, or nil if unchanged, rows
                     of service, organisation, served
ConfigurationRequest version
Configuration        version, document
UpstreamState        replica, incarnation, leaving
Loads                rows: replica, incarnation, slots, running, queued, rate,
                     leaving; the replica alone repeats its previous row. Between
                     routers of the operators' platform the rate is the time that work
                     takes, in percent of the usual
Confirmation         version of the configuration, its time, version of the upstreams,
                     their time; times of the store in ms; era of the store, omitted
                     if it is 0, since versions before it accept no further field
PartCases            rows: service, part, revision, whether it is proven, whether it
                     is quarantined, probes, time to the next one in ms, Unix time of
                     the quarantine in ms, crashes as rows of process, call,
                     organisation
ColdReplicas         rows: replica, incarnation, remaining time in ms, era and version
                     of the replica's row in the store
Evacuations          rows: zone, era and version of the store, whether it is evacuated
FeedStatus            era and version of the last change of the prompt parts, whether
                     the sender follows them, whether its last call to the store
                     failed; sent only to routers whose Hello announces it
UpstreamList         time in ms, rows: replica, service, zone, host, port, leaving
==================== ==========================================================
"""

from __future__ import annotations

from dataclasses import dataclass

from ..types import RouterIdentity

PROTOCOL = 2
MESSAGE_LIMIT_BYTES = 1_048_576
RECEIVE_BYTES = 65_536
# The longest identifier of the platform is far shorter. The limit bounds the memory
# that a faulty peer can make a router allocate.
NAME_LIMIT_CHARACTERS = 256
NAMES_LIMIT = 65_536
ROWS_LIMIT = 262_144
# Elements of an array or map. The unpacker allocates an array as soon as it reads its
# length, before it reads the elements.
CONTAINER_LENGTH_LIMIT = 16_384
# A snapshot is sent in parts, so that each message of a fleet of the target size is
# below the message limit.
SNAPSHOT_PART_ROWS = 2_000
INTEGER_LIMIT = 1 << 62

HELLO, NAMES, REPORT, GRANTS, SNAPSHOT = range(5)
CONFIGURATION_REQUEST, CONFIGURATION, UPSTREAM_STATE, LOADS, UPSTREAM_LIST = range(
    5, 10
)
SUM = 10
CONFIRMATION = 11
PART_CASES = 12
EVACUATIONS = 13
COLD_REPLICAS = 14
FEED_STATUS = 15

FEED_STATUS_NAME = "\0reads-feed-status"
"""Name before Hello by which a router announces that it reads ``FeedStatus``; earlier
versions close a connection on which they receive an unknown kind."""

CounterKey = tuple[str, str]


@dataclass(slots=True)
class SumState:
    """The last sum of one scope and part that was sent on a connection."""

    origins: frozenset[RouterIdentity]
    served: dict[CounterKey, int]

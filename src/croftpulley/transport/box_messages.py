"""What routers, and they and control boxes, say to each other; JSON by `json_codec`."""

from __future__ import annotations

import attrs

from croftpulley.core import (
    halls,
    membership,
    origins,
    outlier_detection,
    prompt_part_index,
    suspect_messages,
)

RENEWALS_PATH = "/v1/boxes/renewals"
CONFIGURATION_PARTS_PATH = "/v1/boxes/configuration-parts"
SUSPECT_REPORTS_PATH = "/v1/suspects/reports"
TRIALS_PATH = "/v1/suspects/trials"
ORIGINS_TOLD_PATH = "/v1/streams/told"
ORIGIN_ASKED_PATH = "/v1/streams/asked"


@attrs.frozen(kw_only=True)
class LeaderAnswer:
    """Who leads, as a control box knows; empty where it knows of none."""

    leader_address: str = ""
    control_addresses: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class BoxReport:
    """What a router tells the leading control box at each renewal.

    The versions say what it knows, so that the answer holds only what is new; ``in_flight`` is how
    many requests it has at each endpoint, ``reading_tokens`` how many prompt tokens those endpoints
    still have to read for them. ``notes`` say which parts were sent where, and ``next_note`` is the
    number of the first note of others that this router lacks. ``outcomes`` are how requests ended
    at endpoints since the report before. ``holds_lease`` tells whether it may still act on a lease.
    ``suspects_revision`` is that of the suspects that it knows, ``halls_revision`` that of the
    evacuated halls that it obeys. ``leaving`` are endpoints that said so themselves and that it was
    not told of, ``resting_s`` those that want nothing from this box, and for how long.
    ``unreached`` are the pools of which it reaches no endpoint, ``answered`` those of which it had
    answers since the report before.
    """

    box: membership.Box
    configuration_version: int
    holds_lease: bool = False
    boxes_version: int
    endpoints_version: int
    in_flight: dict[str, int]
    reading_tokens: dict[str, int] = attrs.field(factory=dict)
    notes: prompt_part_index.NotesByEngine = attrs.field(factory=dict)
    next_note: int = 0
    outcomes: outlier_detection.Counts = attrs.field(factory=dict)
    suspects_revision: int = 0
    halls_revision: int = 0
    leaving: tuple[str, ...] = ()
    resting_s: dict[str, float] = attrs.field(factory=dict)
    unreached: tuple[str, ...] = ()
    answered: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class BoxReportAnswer:
    """What a control box answers; ``None`` means unchanged.

    ``lease_s`` is 0 where none is granted: then ``leader_address`` may say who grants. ``loads``
    are the requests in flight at each endpoint from all routers as last reported, and
    ``reading_tokens`` what the endpoints have to read for them, in the order of the list that
    ``endpoints_version`` names (`core.listed_counts`); without ``loads`` the router keeps all that
    it was told of both. ``notes`` are all routers' from the
    number that was asked for up to ``next_note``. ``held_off`` are endpoints that fail more than
    their peers. ``configuration_version`` is the newest, which a router fetches in parts
    (`core.configuration_transfer`): its length must not bear on the lease. ``silent_addresses`` are
    those of the ``control_addresses`` that lately answered the leader nothing: it is not fetched
    from there.
    ``suspects`` are the requests under which endpoints ended, as far as they changed.
    ``registered_boxes`` share the extra of retry budgets; each stays registered for ``kept_s``
    after the end of its lease. ``evacuated`` are the halls whose endpoints get no requests.
    ``cold`` says, in the order of the list, which endpoints are cold and how many requests the box
    may send there in any second, one more than that (`core.send_quotas`). ``unreached`` is how many
    boxes reach no endpoint of a pool, by pools, ``reaching`` some that do, for each pool that the
    router itself has lost, and ``answering`` the pools of which other boxes had answers lately.
    ``mixed`` are the pools whose endpoints have, or had lately, several versions; ``None`` where
    the box cannot tell.
    """

    lease_s: float = 0.0
    registered_boxes: int = 0
    kept_s: float = 0.0
    leader_address: str = ""
    control_addresses: tuple[str, ...] = ()
    silent_addresses: tuple[str, ...] = ()
    configuration_version: int = 0
    boxes_version: int = 0
    boxes: tuple[membership.Box, ...] | None = None
    endpoints_version: int = 0
    endpoints: tuple[membership.Endpoint, ...] | None = None
    loads: tuple[int, ...] | None = ()
    reading_tokens: tuple[int, ...] = ()
    notes: prompt_part_index.NotesByEngine = attrs.field(factory=dict)
    next_note: int = 0
    held_off: tuple[str, ...] = ()
    suspects: suspect_messages.SuspectsUpdate | None = None
    evacuated: halls.EvacuatedHalls | None = None
    cold: tuple[int, ...] = ()
    unreached: dict[str, int] = attrs.field(factory=dict)
    reaching: dict[str, tuple[str, ...]] = attrs.field(factory=dict)
    answering: tuple[str, ...] = ()
    mixed: tuple[str, ...] | None = None


@attrs.frozen(kw_only=True)
class SuspectReport:
    """What a router met of requests under which endpoints end; may be sent again."""

    report: suspect_messages.Report


@attrs.frozen(kw_only=True)
class SuspectReportAnswer:
    """Whether the report is in the log; only a box that leads takes one."""

    is_taken: bool = False


@attrs.frozen(kw_only=True)
class TrialRequest:
    """Asks whether a suspect may be tried now; what this router has yet to report comes first."""

    report: suspect_messages.Report
    fingerprint: str
    trial: str
    limit_s: float
    asker: suspect_messages.Asker = attrs.field(factory=suspect_messages.Asker)


@attrs.frozen(kw_only=True)
class TrialRequestAnswer:
    """The answer to a request for a trial; ``None`` of a box that does not lead."""

    answer: suspect_messages.TrialAnswer | None = None


@attrs.frozen(kw_only=True)
class OriginsTold:
    """Streams to remember; may be sent again."""

    streams: tuple[origins.OriginAnnouncement, ...]


@attrs.frozen(kw_only=True)
class OriginsTaken:
    """Says that they are remembered."""


@attrs.frozen(kw_only=True)
class OriginAsked:
    """Asks where a stream began."""

    stream: origins.StreamId


@attrs.frozen(kw_only=True)
class OriginAnswer:
    """What the box remembers.

    ``is_known`` without an ``origin``: two were told, and neither counts.
    """

    is_known: bool = False
    origin: origins.Origin | None = None

"""HTTP messages between routers and between routers and control boxes, encoded by `json_codec`."""

from __future__ import annotations

import attrs

from croftpulley.core import (
    control_announcements,
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
CONTROL_ANNOUNCEMENTS_PATH = "/v1/control/announcements"
ORIGIN_ANNOUNCEMENTS_PATH = "/v1/streams/told"
ORIGIN_QUERY_PATH = "/v1/streams/asked"


@attrs.frozen(kw_only=True)
class LeaderAnswer:
    """The control leader's address, as far as a control box knows it; empty if it knows none."""

    leader_address: str = ""
    control_addresses: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class BoxReport:
    """State that a router reports to the control leader with each lease renewal.

    Attributes:
        configuration_version, boxes_version, endpoints_version, suspects_revision, halls_revision:
            What the router has already, so that the answer holds only what is newer.
            ``halls_revision`` is that of the evacuated halls.
        holds_lease: Whether the router may still act on its lease.
        in_flight: Number of its requests in flight by endpoint.
        reading_tokens: Prompt tokens of its requests that are still to be prefilled, by endpoint.
        notes: Which prompt parts it sent to which engines.
        next_note: Number of the first note of other routers that it does not have.
        outcomes: How requests ended by endpoint, since the previous report.
        leaving: Endpoints that announced their shutdown to it and that the control boxes did not
            list as leaving.
        resting_s: Endpoints that asked it for a rest, and the rest's remaining length.
        unreached: Pools of which it reaches no endpoint.
        answered: Pools that answered it since the previous report.
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
    """A control box's answer to a `BoxReport`; ``None`` means unchanged.

    Attributes:
        lease_s: Duration of the lease, 0 if none is granted; ``leader_address`` may then name the
            box that grants leases.
        registered_boxes: Number of boxes that share the extra budget of retries.
        kept_s: How long a box stays registered after its lease ended.
        silent_addresses: Those of the ``control_addresses`` that have not answered the leader
            recently; routers do not fetch the configuration from them.
        configuration_version: The newest version. Routers fetch it in parts
            (`core.configuration_transfer`), so that its size does not delay lease renewals.
        loads: Requests in flight at each endpoint, from all routers as last reported, in the order
            of the list that ``endpoints_version`` names (`core.listed_counts`). If it is ``None``,
            the router keeps the ``loads`` and the ``reading_tokens`` that it has.
        reading_tokens: Prompt tokens that each endpoint has yet to prefill, in the same order.
        notes: Notes of all routers, from the requested number up to ``next_note``.
        held_off: Endpoints that fail more often than their peers.
        suspects: Changes to the requests under which endpoints crashed.
        evacuated: Halls whose endpoints get no requests.
        cold: Which endpoints are cold, in the order of the list, and how many requests the box may
            send there per second; encoded as that quota plus one (`core.send_quotas`).
        unreached: Number of boxes that reach no endpoint of a pool, by pool.
        reaching: Some boxes that reach a pool, for each pool that the router cannot reach itself.
        answering: Pools that answered other boxes recently.
        settled: The version of each pool whose endpoints have, and recently had, no other one;
            ``None`` if the control box cannot tell.
        is_from_redirector: Whether a control box without a disk answers, which can say no more than
            where to ask.
        announced: What control boxes announced to that box; ``None`` if nothing yet.
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
    settled: dict[str, str] | None = None
    is_from_redirector: bool = False
    announced: control_announcements.ControlAnnouncement | None = None


@attrs.frozen(kw_only=True)
class SuspectReport:
    """A router's observations of requests under which endpoints end. Sending it again is safe."""

    report: suspect_messages.Report


@attrs.frozen(kw_only=True)
class SuspectReportAnswer:
    """Whether the report was committed to the log; only the control leader accepts reports."""

    is_taken: bool = False


@attrs.frozen(kw_only=True)
class TrialRequest:
    """Asks for a trial of a suspect; ``report`` is applied before the decision is made."""

    report: suspect_messages.Report
    fingerprint: str
    trial: str
    limit_s: float
    asker: suspect_messages.Asker = attrs.field(factory=suspect_messages.Asker)


@attrs.frozen(kw_only=True)
class TrialRequestAnswer:
    """The answer to a `TrialRequest`; ``None`` from a box that is not the control leader."""

    answer: suspect_messages.TrialAnswer | None = None


@attrs.frozen(kw_only=True)
class ControlAnnouncementAck:
    """Confirms that a `control_announcements.ControlAnnouncement` was received."""


@attrs.frozen(kw_only=True)
class OriginAnnouncements:
    """Announces the origins of streams to an origin holder. Sending it again is safe."""

    streams: tuple[origins.OriginAnnouncement, ...]


@attrs.frozen(kw_only=True)
class OriginAnnouncementsAck:
    """Confirms that the announced origins are stored."""


@attrs.frozen(kw_only=True)
class OriginQuery:
    """Asks an origin holder for the origin of a stream."""

    stream: origins.StreamId


@attrs.frozen(kw_only=True)
class OriginAnswer:
    """The origin that the box stores for a stream.

    ``is_known`` without an ``origin`` means that two different origins were announced, so that
    neither is valid.
    """

    is_known: bool = False
    origin: origins.Origin | None = None

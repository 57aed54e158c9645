"""Typed messages between boxes; `codec` turns them into wire messages and back."""

from __future__ import annotations

import attrs

from croftpulley import codes
from croftpulley.core import assembly, attempts, membership, places


@attrs.frozen
class Renewal:
    """What an entry box tells the control boxes at each renewal.

    ``engines`` is ``None`` when the control box has already the version named.
    """

    box: membership.Box
    configuration_version: int
    directory_version: int
    engines_version: int
    engines: tuple[membership.Endpoint, ...] | None
    loads: tuple[membership.PoolLoad, ...]
    released: tuple[membership.Ownership, ...]


@attrs.frozen
class RenewalAnswer:
    """What the control boxes tell an entry box; ``None`` means unchanged."""

    lease_s: float
    configuration_version: int
    configuration_json: str | None
    directory: membership.Directory | None
    engines_version: int
    loads: tuple[membership.PoolLoad, ...]


@attrs.frozen(kw_only=True)
class BoxReport:
    """What a router tells the leading control box at each renewal.

    The versions say what it knows, so that the answer holds only what is new; ``in_flight`` is how
    many requests it has at each endpoint, ``reading_tokens`` how many prompt tokens those endpoints
    still have to read for them. ``notes`` say which parts were sent where, and ``next_note`` is the
    number of the first note of others that this router lacks.
    """

    box: membership.Box
    incarnation: str
    configuration_version: int
    boxes_version: int
    endpoints_version: int
    in_flight: dict[str, int]
    reading_tokens: dict[str, int] = attrs.field(factory=dict)
    notes: tuple[places.Note, ...] = ()
    next_note: int = 0


@attrs.frozen(kw_only=True)
class BoxReportAnswer:
    """What a control box answers; ``None`` means unchanged.

    ``lease_s`` is 0 where none is granted: then ``leader_address`` may say who grants. ``loads``
    are the requests in flight at each endpoint from all routers as last reported, and
    ``reading_tokens`` what the endpoints have to read for them. ``notes`` are all routers' from the
    number that was asked for up to ``next_note``.
    """

    lease_s: float = 0.0
    leader_address: str = ""
    control_addresses: tuple[str, ...] = ()
    configuration_version: int = 0
    configuration_json: str | None = None
    boxes_version: int = 0
    boxes: tuple[membership.Box, ...] | None = None
    endpoints_version: int = 0
    endpoints: tuple[membership.Endpoint, ...] | None = None
    loads: dict[str, int] = attrs.field(factory=dict)
    reading_tokens: dict[str, int] = attrs.field(factory=dict)
    notes: tuple[places.Note, ...] = ()
    next_note: int = 0


@attrs.frozen(kw_only=True)
class DispatchOrder:
    """One attempt at one engine, for the engine's owner to carry out."""

    request_id: str
    attempt: int
    engine: str
    epoch: int
    workspace: str
    request_class: str
    priority: int
    chat_key: str
    budget_s: float
    resume_offset_chars: int
    prefix_text: str
    body_json: bytes
    mean_evidence: float = 0.0


@attrs.frozen
class Finished:
    """The engine's answer is whole; token counts are the engine's own."""

    finish_reason: str
    total_chars: int
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@attrs.frozen
class Accepted:
    """The owner admitted the request and counts it."""


@attrs.frozen
class Refused:
    """The owner did not admit the request; ``outstanding`` is what the engine holds."""

    code: codes.ResultCode
    outstanding: int


@attrs.frozen
class Broken:
    """The attempt ended early; the phase says what the engine may have done."""

    code: codes.ResultCode
    phase: attempts.Phase


StreamEvent = assembly.Chunk | Finished
DispatchEvent = Accepted | Refused | Broken | assembly.Chunk | Finished

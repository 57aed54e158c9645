"""Typed messages between boxes; `codec` converts renewals and their answers to protobuf."""

from __future__ import annotations

import attrs

from croftpulley import codes
from croftpulley.core import assembly, attempts, membership


@attrs.frozen
class Renewal:
    """State that an entry box reports to the control boxes with each lease renewal.

    ``engines`` is ``None`` if the control box already has that ``engines_version``.
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
    """The answer to a `Renewal`; ``None`` means unchanged."""

    lease_s: float
    configuration_version: int
    configuration_json: str | None
    directory: membership.Directory | None
    engines_version: int
    loads: tuple[membership.PoolLoad, ...]


@attrs.frozen(kw_only=True)
class DispatchOrder:
    """One attempt at one engine, sent to the box that owns the engine."""

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
    """The engine's response is complete; the token counts are those that the engine reported."""

    finish_reason: str
    total_chars: int
    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int


@attrs.frozen
class Accepted:
    """The owner admitted the request and counts it as outstanding."""


@attrs.frozen
class Refused:
    """The owner rejected the request; ``outstanding`` is the engine's number of requests."""

    code: codes.ResultCode
    outstanding: int


@attrs.frozen
class AttemptFailed:
    """The attempt failed; ``phase`` tells how far the engine may have processed the request."""

    code: codes.ResultCode
    phase: attempts.Phase


StreamEvent = assembly.Chunk | Finished
DispatchEvent = Accepted | Refused | AttemptFailed | assembly.Chunk | Finished

"""Typed messages between boxes; `codec` turns them into wire messages and back."""

from __future__ import annotations

import attrs

from croftpulley import codes
from croftpulley.core import assembly, attempts, membership


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

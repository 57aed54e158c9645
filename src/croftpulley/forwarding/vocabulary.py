"""Names of the HTTP headers between callers, routers and endpoints."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class HeaderNames:
    """Header names in lower case, grouped by who sets them; see `ownership` for forwarding."""

    # Set by the caller and forwarded unchanged, as is every header not named here.
    request_id: str = "x-request-id"
    prompt_parts: str = "x-prompt-parts"
    """The parts of the prompt in order: ``ID:TOKENS,ID:TOKENS``."""
    last_event_id: str = "last-event-id"
    resumes: str = "x-resumes"
    """The id of the request that returned the first event of the stream to resume."""
    # Set by the caller for this box, and not forwarded.
    key: str = "x-key"
    # Set by the caller; the router replaces it for the endpoint.
    budget_ms: str = "x-deadline-ms"
    """How many milliseconds the sender, the caller or this box, will wait."""
    # Set by the router for the endpoint; replaces what the caller sent.
    workspace: str = "x-workspace"
    expected_incarnation: str = "x-expected-incarnation"
    """Any other incarnation at the address answers 421 and does not run the request."""
    priority: str = "x-priority"
    """0 to 9, 0 is served first."""
    cache_from: str = "x-cache-from"
    """The address of an engine from which to fetch cached parts of the prompt."""
    # Reserved for the fleet to set for an engine; it does not set them yet.
    expected_weights: str = "x-expected-weights"
    """An engine whose weights have another version answers 421 and does not run the request."""
    pin_ms: str = "x-pin-ms"
    """How long an engine retains the whole prompt and response, even if memory runs short."""
    reservation: str = "x-reservation"
    """Names a slot and memory that were reserved at the engine."""
    backup_to: str = "x-backup-to"
    """The address of an engine to which the request's memory is copied as it grows."""
    resume_copy: str = "x-resume-copy"
    """The engine and copy of a request's memory from which to resume."""
    # Set by the endpoint.
    proof: str = "x-proof"
    """Proves that the endpoint made the response; a success without it does not count as one."""
    not_run: str = "x-not-run"
    """The endpoint did not run the request."""
    leaving: str = "x-leaving"
    """The endpoint shuts down soon and wants no more requests."""
    load: str = "x-load"
    """Running and waiting requests, slots, and service time (`core.load_reports`)."""
    brittle: str = "x-brittle"
    """The endpoint crashes if it has to reject more requests in a second than this."""


FLEET_HEADER_NAMES = HeaderNames()
"""The header names of the fleet's own interface."""

"""The names of the headers by which callers, routers and endpoints speak of a request."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Vocabulary:
    """Header names in lower case, grouped by who sets them; `ownership` holds what follows."""

    # Set by the caller and passed on as they are, as is every header not named here.
    request_id: str = "x-request-id"
    prompt_parts: str = "x-prompt-parts"
    """The parts of the prompt in order: ``ID:TOKENS,ID:TOKENS``."""
    last_event_id: str = "last-event-id"
    resumes: str = "x-resumes"
    """The id of the request that brought the first event of a stream which is taken up."""
    # Set by the caller for this box, and not passed on.
    key: str = "x-key"
    # Set by the caller and set anew towards the endpoint.
    budget_ms: str = "x-deadline-ms"
    """How long the caller, or here this box, will wait."""
    # Set by the router towards the endpoint, whatever the caller sent.
    workspace: str = "x-workspace"
    expected_incarnation: str = "x-expected-incarnation"
    """Any other endpoint at the address answers 421 and does not run the request."""
    priority: str = "x-priority"
    """0 to 9, 0 goes first."""
    cache_from: str = "x-cache-from"
    """The address of an engine from which to take what it holds of the prompt."""
    # For the fleet to set towards an engine, which it does not do yet.
    expected_weights: str = "x-expected-weights"
    """An engine whose weights have another version answers 421 and does not run the request."""
    pin_ms: str = "x-pin-ms"
    """How long an engine keeps the whole prompt and answer, whoever else needs the memory."""
    reservation: str = "x-reservation"
    """Names a slot and memory that were reserved at the engine."""
    backup_to: str = "x-backup-to"
    """The address of an engine to which the request's memory is copied as it grows."""
    resume_copy: str = "x-resume-copy"
    """The engine and copy of a request's memory from which to go on."""
    # Set by the endpoint.
    proof: str = "x-proof"
    """Shows that the endpoint made the answer; a success without it is none."""
    not_run: str = "x-not-run"
    """The endpoint did not run the request."""
    leaving: str = "x-leaving"
    """The endpoint ends soon and wants no more requests."""
    load: str = "x-load"
    """What runs and waits there, its slots, and how long work takes (`core.load_reports`)."""
    brittle: str = "x-brittle"
    """It ends where it has to turn away more requests in a second than this says."""


OWN = Vocabulary()
"""The names of the fleet's own interface."""

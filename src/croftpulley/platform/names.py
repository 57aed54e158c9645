"""The platform's headers, by what they say here."""

from __future__ import annotations

from croftpulley.forwarding import vocabulary

VOCABULARY = vocabulary.HeaderNames(
    # "Attempt" is one request of the caller, not one of our attempts at an endpoint.
    request_id="croftpulley-attempt-id",
    prompt_parts="croftpulley-prompt-prefix",
    last_event_id="last-event-id",
    resumes="resumes",
    key="croftpulley-credential",
    # Not a point in time but what is left of it, in milliseconds.
    budget_ms="croftpulley-deadline-ms",
    workspace="croftpulley-tenant",
    # An instance id names an endpoint; a restart may keep it (`BORN` tells starts apart).
    expected_incarnation="croftpulley-expected-instance",
    priority="croftpulley-request-priority",
    cache_from="kv-fetch",
    expected_weights="croftpulley-expected-version",
    pin_ms="croftpulley-pin-ms",
    # A lease of a slot and memory, not how long a cache is retained.
    reservation="croftpulley-cache-retention",
    backup_to="croftpulley-kv-backup",
    resume_copy="kv-from",
    proof="croftpulley-server-signature",
    not_run="croftpulley-not-executed",
    leaving="server-leaving",
    # What work takes there, in hundredths of the usual time, is told where machines are shared.
    load="croftpulley-instance-load",
    brittle="server-brittle",
)

BORN = "born"
"""The field, in all that an endpoint says of itself, with the Unix time of its start in ms."""

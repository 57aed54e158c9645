"""The filter chain for forwarded requests, in its order."""

from __future__ import annotations

import attrs

from croftpulley import steps as linking
from croftpulley.forwarding import admission, base, by_peer, observe, relay, rules, take_up


@attrs.frozen(kw_only=True)
class Steps:
    """The steps of the chain, created by the daemon."""

    observe: observe.Observe
    limit_memory: rules.LimitMemory
    limit_unread: rules.LimitUnreadBytes
    find_route: rules.FindRoute
    limit_time: rules.LimitTime
    take_up: take_up.ResumeStream
    by_peer: by_peer.ForwardToPeer
    take_permit: admission.TakePermit
    relay: relay.Relay


def forward_chain(steps: Steps) -> base.Proceed:
    """Return a function that runs a request through all steps."""
    return linking.build_chain(
        (
            steps.observe,
            steps.limit_memory,
            steps.limit_unread,
            steps.find_route,
            steps.limit_time,
            steps.take_up,
            steps.by_peer,
            steps.take_permit,
            steps.relay,
        )
    )

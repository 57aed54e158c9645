"""The order of the filters in both chains; a new filter is one file and one entry here."""

from __future__ import annotations

import attrs

from croftpulley import steps
from croftpulley.filters import (
    admission,
    base,
    call,
    choice,
    claim,
    deadline,
    dispatch,
    identify,
    observe,
    relay,
    serving,
)


@attrs.frozen(kw_only=True)
class Filters:
    """An instance of each filter, created by the daemon."""

    observe: observe.Observe
    serving: serving.Serving
    identify: identify.Identify
    deadline: deadline.Deadline
    admission: admission.Admission
    choose_engine: choice.ChooseEngine
    relay: relay.Relay
    dispatch: dispatch.Dispatch
    claim: claim.Claim
    choose_worker: choice.ChooseWorker
    call_worker: call.CallWorker


def chat_chain(filters: Filters) -> base.Proceed:
    """Return the chain for chat completions.

    Relay comes before dispatch because it runs the rest of the chain once for each attempt.
    """
    return steps.build_chain(
        (
            filters.observe,
            filters.serving,
            filters.identify,
            filters.deadline,
            filters.admission,
            filters.choose_engine,
            filters.relay,
            filters.dispatch,
        )
    )


def service_chain(filters: Filters) -> base.Proceed:
    """Return the chain for calls to plain services."""
    return steps.build_chain(
        (
            filters.observe,
            filters.serving,
            filters.identify,
            filters.deadline,
            filters.admission,
            filters.claim,
            filters.choose_worker,
            filters.call_worker,
        )
    )

"""How long a router that is stopped as planned still takes requests.

What was seen on a simulated day of rolling stops: a box was told to stop, took a chat almost 4 s
later, and was ended with it 8 s after the stop, in the middle of the answer. What happened, in
order: the box was named no more, and served on for half of its grace, since callers keep what they
were told; a chat that streams for longer than the other half came at the very end of that. The
cause: the half was taken for long enough for every answer. Users count on what they send within
3 s of a stop with a grace of 8 s, and send elsewhere whatever is refused later.
"""

from __future__ import annotations

import pytest

from croftpulley.controllers import actors

SERVED_SHARE = 3 / 8
"""Of the grace: what users send later is not to be taken and cut."""


@pytest.mark.parametrize("grace_s", [8.0, 30.0])
def test_a_router_takes_requests_for_so_long_that_their_answers_can_end(
    make_site, monkeypatch, grace_s
):
    site = make_site(grace_s=grace_s, entry_ttl_s=5.0)
    waited_s = []
    monkeypatch.setattr(
        actors.View, "wait_for", lambda _view, _holds, timeout_s: waited_s.append(timeout_s)
    )
    site.routers[0].drain()
    assert waited_s[0] <= SERVED_SHARE * grace_s
    assert site.ask("GET", "/cancel/x").status == 503

"""What a leader knows of the other replicas."""

from __future__ import annotations

import attrs


@attrs.define
class Progress:
    """One other replica, as its leader sees it.

    ``since_s`` is when this leader began to follow it, so that one just met is not taken for
    silent. ``acknowledged_sent_s`` is when the newest request was sent that it has answered in this
    term: at that moment it followed this leader, whatever has happened since.
    """

    next_index: int
    since_s: float
    match_index: int = 0
    acknowledged_sent_s: float = float("-inf")
    in_flight: bool = False
    sent_s: float = float("-inf")

    def acknowledged(self, sent_s: float) -> None:
        """Note an answer to a request that was sent at ``sent_s``."""
        self.acknowledged_sent_s = max(self.acknowledged_sent_s, sent_s)


def quorum_value(values: list[float], quorum: int) -> float:
    """Return the largest value that at least ``quorum`` of ``values`` reach.

    >>> quorum_value([5, 3, 4], 2)
    4
    """
    if len(values) < quorum:
        return float("-inf")
    return sorted(values, reverse=True)[quorum - 1]

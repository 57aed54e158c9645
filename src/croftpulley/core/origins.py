"""Where a stream began: the pool and the version of software that wrote its first event.

What endpoints of two versions write does not fit together, so a stream goes on only where it began.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Origin:
    """The pool of the endpoint that wrote a stream's first event, and its software's version."""

    pool: str
    version: str

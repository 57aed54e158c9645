"""What callers hold of streams whose events name the version that wrote them."""

from __future__ import annotations

import http.client

import attrs

from croftpulley.fakes import forwarded


@attrs.define
class Stream:
    """What a caller holds of one stream, over all its tries."""

    first_id: str
    path: str
    numbers: list[int] = attrs.field(factory=list)
    writers: set[str] = attrs.field(factory=set)
    """The versions that wrote its events."""

    @property
    def is_whole(self) -> bool:
        return self.numbers == list(range(1, forwarded.EVENTS + 1))

    def read(self, response: http.client.HTTPResponse, wanted: int) -> None:
        """Read so many events, or all; one that ends within its line was not had."""
        while wanted and len(self.numbers) < forwarded.EVENTS:
            line = response.readline()
            if not line:
                return
            if line.startswith(b"data:") and line.endswith(b"\n"):
                _, _, number, *version = line.decode().split()
                self.numbers.append(int(number))
                self.writers.update(version)
                wanted -= 1

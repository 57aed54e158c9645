"""What a forwarded request's headers say, and what its prompt shares with others."""

from __future__ import annotations

import attrs

MOST_LOGGED_PARTS = 16
"""Of a prompt in one line of the log: more make a line too long to read."""


@attrs.frozen
class PromptPart:
    """A part of a prompt; requests that name the same part begin with the same text."""

    part: str
    tokens: int


@attrs.frozen(kw_only=True)
class CallFacts:
    """What the fleet knows of a request. Whatever the caller did not say is empty or ``None``."""

    request_id: str
    key: str = ""
    budget_s: float | None = None
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    """The id of the request that brought the first event of the stream that this one takes up."""

    @property
    def shared(self) -> tuple[PromptPart, ...]:
        """The beginning that other requests have too: the last part is the caller's own."""
        return self.prompt[:-1]

    @property
    def shared_names(self) -> list[str]:
        """The names of the shared parts for a line of the log."""
        return [part.part for part in self.shared[:MOST_LOGGED_PARTS]]

    @property
    def prompt_tokens(self) -> int:
        """The tokens of the whole prompt."""
        return sum(part.tokens for part in self.prompt)

    @property
    def shared_tokens(self) -> int:
        """The tokens of the beginning that other requests have too."""
        return sum(part.tokens for part in self.shared)


def parse_prompt(text: str) -> tuple[PromptPart, ...]:
    """Read ``ID:TOKENS,ID:TOKENS``; what is malformed says nothing and is left out.

    >>> parse_prompt("5c:800, e4:250")
    (PromptPart(part='5c', tokens=800), PromptPart(part='e4', tokens=250))
    >>> parse_prompt("nonsense")
    ()
    """
    parts = []
    for item in text.split(","):
        part, separator, tokens = item.strip().partition(":")
        if not (separator and tokens.isascii() and tokens.isdigit()):
            return ()
        parts.append(PromptPart(part, int(tokens)))
    return tuple(parts)


def parse_budget_s(text: str) -> float | None:
    """Read a number of milliseconds; ``None`` if it is not one.

    >>> parse_budget_s("1500"), parse_budget_s("soon"), parse_budget_s("-3")
    (1.5, None, None)
    """
    try:
        milliseconds_ms = float(text)
    except ValueError:
        return None
    return milliseconds_ms / 1000 if 0 <= milliseconds_ms < float("inf") else None

"""Metadata from a forwarded request's headers, and the parts that its prompt is made of."""

from __future__ import annotations

import attrs

MAX_LOGGED_PARTS = 16
"""Limits the prompt parts in one log line; with more of them the line is too long to read."""


@attrs.frozen
class PromptPart:
    """A part of a prompt. Requests with the same part id begin with the same text."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class CallFacts:
    """Metadata of a request. What the caller didn't send is empty or ``None``."""

    request_id: str
    key: str = ""
    budget_s: float | None = None
    prompt: tuple[PromptPart, ...] = ()
    last_event_id: str = ""
    resumes: str = ""
    """The id of the request that delivered the first event of the stream that this request
    resumes."""

    @property
    def shared_prefix(self) -> tuple[PromptPart, ...]:
        """The prompt's prefix that other requests may share: all parts but the last."""
        return self.prompt[:-1]

    @property
    def shared_part_ids(self) -> list[str]:
        """The ids of the first parts of the shared prefix, for a log line."""
        return [part.part_id for part in self.shared_prefix[:MAX_LOGGED_PARTS]]

    @property
    def prompt_tokens(self) -> int:
        """The number of tokens in the whole prompt."""
        return sum(part.tokens for part in self.prompt)

    @property
    def shared_tokens(self) -> int:
        """The number of tokens in the shared prefix."""
        return sum(part.tokens for part in self.shared_prefix)


def parse_prompt(text: str) -> tuple[PromptPart, ...]:
    """Parse ``ID:TOKENS,ID:TOKENS``. Return no parts if any item is malformed.

    >>> parse_prompt("5c:800, e4:250")
    (PromptPart(part_id='5c', tokens=800), PromptPart(part_id='e4', tokens=250))
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
    """Parse a number of milliseconds and return it in seconds.

    Return ``None`` if the text isn't a number, or if it is negative or infinite.

    >>> parse_budget_s("1500"), parse_budget_s("soon"), parse_budget_s("-3")
    (1.5, None, None)
    """
    try:
        value_ms = float(text)
    except ValueError:
        return None
    return value_ms / 1000 if 0 <= value_ms < float("inf") else None

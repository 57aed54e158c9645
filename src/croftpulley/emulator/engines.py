"""An engine that batches, reads prompts one after the other and keeps what it has read."""

from __future__ import annotations

import collections

import attrs

from croftpulley.core import calls


@attrs.frozen(kw_only=True)
class EngineSize:
    """How large and fast an engine is; the figures of the users' sheets, which are much alike."""

    slots: int = 64
    cache_tokens: int = 232_000
    step_ms: float = 5.5
    step_ms_per_request: float = 0.012
    read_tokens_a_ms: float = 40.0


@attrs.frozen
class Begun:
    """When a request's first token comes and when it ends, and what the engine held of it."""

    first_s: float
    end_s: float
    held_tokens: int


@attrs.define
class Engine:
    """One engine; a prompt is read when all that came before have been.

    >>> engine = Engine("e", EngineSize())
    >>> part = calls.PromptPart("p", 4000)
    >>> engine.begin(0.0, (part,), 100).held_tokens, engine.begin(1.0, (part,), 100).held_tokens
    (0, 4000)
    """

    name: str
    size: EngineSize
    running: int = 0
    reads_until_s: float = 0.0
    _kept: collections.OrderedDict[str, int] = attrs.field(factory=collections.OrderedDict)
    _kept_tokens: int = 0
    _waiting_until_s: list[float] = attrs.field(factory=list)

    def begin(self, now_s: float, prompt: tuple[calls.PromptPart, ...], out_tokens: int) -> Begun:
        """Take a request in; the caller counts it out by `end` at its end."""
        self.running += 1
        held = self.held_tokens(prompt)
        total = sum(part.tokens for part in prompt)
        # Prompts before it are read while it waits for a slot: one after the other would count the
        # same time twice, and twice again with each request that waits.
        wait_s = max(0.0, self.reads_until_s - now_s, self._wait_for_slot_s(now_s))
        first_s = now_s + wait_s + (total - held) / self.size.read_tokens_a_ms / 1000
        self.reads_until_s = first_s
        self._keep(prompt)
        # Those that wait for a slot slow nobody down.
        batch = min(self.running, self.size.slots)
        step_ms = self.size.step_ms + self.size.step_ms_per_request * batch
        end_s = first_s + out_tokens * step_ms / 1000
        self._waiting_until_s.append(end_s)
        return Begun(first_s, end_s, held)

    def end(self) -> None:
        """Count a request out."""
        self.running -= 1

    def _wait_for_slot_s(self, now_s: float) -> float:
        """Return how long until one of the requests in the batch has ended."""
        ends_s = sorted(end_s for end_s in self._waiting_until_s if end_s > now_s)
        self._waiting_until_s = ends_s
        beyond = len(ends_s) - self.size.slots
        return ends_s[beyond] - now_s if beyond >= 0 else 0.0

    def held_tokens(self, prompt: tuple[calls.PromptPart, ...]) -> int:
        """Return how much of the prompt's beginning is kept."""
        held = 0
        for part in prompt:
            if part.part_id not in self._kept:
                break
            held += part.tokens
        return held

    def _keep(self, prompt: tuple[calls.PromptPart, ...]) -> None:
        """Keep all parts; those unused longest give way."""
        for part in prompt:
            if part.part_id not in self._kept:
                self._kept[part.part_id] = part.tokens
                self._kept_tokens += part.tokens
            self._kept.move_to_end(part.part_id)
        while self._kept_tokens > self.size.cache_tokens and len(self._kept) > 1:
            _, tokens = self._kept.popitem(last=False)
            self._kept_tokens -= tokens

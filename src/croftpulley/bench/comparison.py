"""What arms came to, from the counters of all routers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import attrs

from croftpulley.bench import scrape, table

Z_95 = 1.96
"""How many standard deviations hold 95 % of a normal distribution."""
_REQUESTS = "croftpulley_arm_requests_total"
_TOKENS = "croftpulley_arm_prompt_tokens_total"
_DECISIONS = "croftpulley_arm_decisions_total"


@attrs.frozen
class Share:
    """A share of some requests and the range in which the true share lies with 95 %.

    Wilson's interval, which holds for few requests and for shares near 0 and 1 too.

    >>> share = Share(9, 10)
    >>> share.value, round(share.low, 2), round(share.high, 2)
    (0.9, 0.6, 0.98)
    """

    part: float
    total: float

    @property
    def value(self) -> float:
        """The share as counted, 0 of nothing."""
        return self.part / self.total if self.total else 0.0

    @property
    def low(self) -> float:
        """The lower end of the range."""
        return self._bound(-1) if self.total else 0.0

    @property
    def high(self) -> float:
        """The upper end of the range."""
        return self._bound(1) if self.total else 1.0

    def _bound(self, sign: int) -> float:
        square = Z_95 * Z_95
        middle = self.value + square / (2 * self.total)
        spread = self.value * (1 - self.value) / self.total + square / (4 * self.total**2)
        return (middle + sign * Z_95 * math.sqrt(spread)) / (1 + square / self.total)


@attrs.frozen(kw_only=True)
class Result:
    """What one arm came to: of all its requests, of its prompts' tokens, of its decisions."""

    arm: str
    in_time: Share
    refused: Share
    failed: Share
    held_tokens: Share
    program_failed: Share
    as_built_in: Share


def of(samples: list[Any]) -> list[Result]:
    """Add up the samples of all routers, one result an arm, by name."""
    names = {sample.labels["arm"] for sample in samples if sample.name == _REQUESTS}
    return [_result(samples, name) for name in sorted(names)]


def _result(samples: list[Any], arm: str) -> Result:
    requests = scrape.total(samples, _REQUESTS, arm=arm)
    tokens = scrape.total(samples, _TOKENS, arm=arm)
    decisions = scrape.total(samples, _DECISIONS, arm=arm)

    def share(result: str) -> Share:
        return Share(scrape.total(samples, _REQUESTS, arm=arm, result=result), requests)

    def decided(decision: str) -> Share:
        return Share(scrape.total(samples, _DECISIONS, arm=arm, decision=decision), decisions)

    return Result(
        arm=arm,
        in_time=share("in_time"),
        refused=share("refused"),
        failed=share("failed"),
        held_tokens=Share(scrape.total(samples, _TOKENS, arm=arm, held="yes"), tokens),
        program_failed=decided("failed"),
        as_built_in=decided("alike"),
    )


def rows(result: Result) -> Iterable[table.Row]:
    """Return one arm's figures with the ends of their ranges."""
    yield table.Row(f"{result.arm}_requests", result.in_time.total)
    for name in ("in_time", "refused", "failed", "program_failed", "as_built_in"):
        share: Share = getattr(result, name)
        yield table.Row(f"{result.arm}_{name}_share", round(share.value, 4))
        yield table.Row(f"{result.arm}_{name}_low", round(share.low, 4))
        yield table.Row(f"{result.arm}_{name}_high", round(share.high, 4))
    # Tokens of one prompt are held or not together: a range from their number would be too narrow.
    yield table.Row(f"{result.arm}_held_tokens_share", round(result.held_tokens.value, 4))


def as_text(results: list[Result]) -> str:
    """Return a table for a person."""
    if not results:
        return "no arm has had a request"
    head = f"{'arm':<20}{'requests':>9}  {'in time':<22}{'failed':<22}{'refused':<22}{'held':>6}"
    return "\n".join([head, *map(_line, results)])


def _line(result: Result) -> str:
    shares = (result.in_time, result.failed, result.refused)
    ranges = "".join(f"{each.value:.3f} ({each.low:.3f}-{each.high:.3f})   " for each in shares)
    requests = int(result.in_time.total)
    return f"{result.arm:<20}{requests:>9}  {ranges}{result.held_tokens.value:>6.3f}"

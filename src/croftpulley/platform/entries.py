"""The entries of a list in a document, each on its own.

A list may hold entries of other writers. One that cannot be read must not make the others
unreadable, so a document that is no JSON as a whole is taken apart into its entries first.
"""

from __future__ import annotations

import re
from typing import Any

import attrs
import orjson

from croftpulley import codes, errors

_DEEPEST = 64
"""Nested lists and objects in one entry; the sound ones have three."""
_SIGNIFICANT = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},]', re.DOTALL)
"""A whole string, or a byte that opens, closes or parts."""
_OPENING = b"[{"
_CLOSING = b"]}"


class Unreadable:
    """Stands for an entry whose bytes cannot be read."""


UNREADABLE = Unreadable()


@attrs.frozen
class Entries:
    """The entries of one document, and its other fields as far as they could be read."""

    values: list[Any]
    rest: dict[str, Any]


def parse(body: bytes, name: str) -> Entries:
    """Return the entries of the list called ``name`` in a JSON object.

    An entry that cannot be read is `UNREADABLE`. Raises `errors.CroftpulleyError` (ENGINE_BROKE) if
    the document cannot be taken apart, or holds no such list.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return _taken_apart(body, name)
    if not isinstance(document, dict) or not isinstance(document.get(name), list):
        raise _broken(f"got no object with a list {name!r}")
    return Entries(document.pop(name), document)


def _taken_apart(body: bytes, name: str) -> Entries:
    """Cut the list out, so that the document around it and each entry are read apart."""
    key = re.search(rb'"' + re.escape(name.encode()) + rb'"\s*:\s*\[', body)
    if key is None:
        raise _broken(f"got neither JSON nor a list {name!r} to take out of it")
    cuts = _cuts(body, key.end())
    if not cuts:
        raise _broken(f"the list {name!r} has no end")
    begin, end = key.end(), cuts[-1]
    rest = _read(body[: begin - 1] + b"null" + body[end + 1 :])
    if not isinstance(rest, dict):
        raise _broken("what is around the list is no object")
    starts = [begin, *(cut + 1 for cut in cuts[:-1])]
    pieces = [body[start:cut] for start, cut in zip(starts, cuts, strict=True)]
    if len(pieces) == 1 and not pieces[0].strip():
        pieces = []
    return Entries([_read(piece) for piece in pieces], rest)


def _cuts(body: bytes, begin: int) -> list[int]:
    """Return where the entries of the list that begins at ``begin`` end; the last ends the list.

    Nothing is returned for a list that has no end, or whose entries are nested too deeply.
    """
    found: list[int] = []
    depth = 0
    for match in _SIGNIFICANT.finditer(body, begin):
        sign = match.group()
        if sign in _OPENING:
            depth += 1
        elif sign == b"," and not depth:
            found.append(match.start())
        elif sign in _CLOSING:
            depth -= 1
        if depth < 0:
            return [*found, match.start()]
        if depth > _DEEPEST:
            break
    return []


def _read(piece: bytes) -> Any:
    try:
        return orjson.loads(piece)
    except orjson.JSONDecodeError:
        return UNREADABLE


def _broken(problem: str) -> errors.CroftpulleyError:
    return errors.CroftpulleyError(codes.ResultCode.ENGINE_BROKE, problem)

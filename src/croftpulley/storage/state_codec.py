"""Encodes the state machine for snapshots: JSON, compressed if it is long (`text_compression`)."""

from __future__ import annotations

from typing import Any

import attrs
import cattrs
import orjson
from cattrs import strategies
from cattrs.preconf import orjson as orjson_converter

from croftpulley.core import (
    claims,
    halls,
    membership,
    pool_versions,
    replicated_state,
    submissions,
    suspect_rules,
    suspects,
)
from croftpulley.storage import text_compression

_REGISTERS: Any = submissions.Submissions | submissions.HighestNumber


@attrs.frozen
class _KeyedClaim:
    workspace: str
    key: str
    claim: claims.Claim


@attrs.frozen
class _Document:
    register: Any
    claims: tuple[_KeyedClaim, ...]
    boxes: tuple[membership.Box, ...]
    owners: tuple[membership.Ownership, ...]
    suspects: tuple[suspect_rules.Suspect, ...] = ()
    suspects_revision: int = 0
    evacuated: halls.EvacuatedHalls = attrs.field(factory=halls.EvacuatedHalls)
    pool_versions: pool_versions.PoolVersions = attrs.field(factory=pool_versions.PoolVersions)


def encode(state: replicated_state.ReplicatedState) -> str:
    """Return the encoded state, as `restore` reads it."""
    document = _Document(
        register=_CONVERTER.unstructure(state.submissions, _REGISTERS),
        claims=tuple(
            _KeyedClaim(workspace, key, claim)
            for (workspace, key), claim in state.claims.by_key.items()
        ),
        boxes=tuple(state.boxes.values()),
        owners=tuple(state.owners.values()),
        suspects=state.suspects.all(),
        suspects_revision=state.suspects.revision,
        evacuated=state.evacuated,
        pool_versions=state.pool_versions,
    )
    return text_compression.pack(orjson.dumps(_CONVERTER.unstructure(document)).decode())


def restore(text: str, state: replicated_state.ReplicatedState) -> None:
    """Replace the content of ``state`` by the encoded state in ``text``.

    An empty text is the state before the first command. Raises `ValueError` for a text that holds
    no state.
    """
    if not text:
        # The log is applied from its first entry next, even on a box that has applied some of it.
        state.clear()
        return
    try:
        document = _CONVERTER.structure(orjson.loads(text_compression.unpack(text)), _Document)
        register = _CONVERTER.structure(_upgrade_register(document.register), _REGISTERS)
    except (KeyError, cattrs.BaseValidationError) as failure:
        raise ValueError(f"snapshot holds no state: {failure}") from failure
    state.submissions = register
    state.claims = claims.Claims(
        {(each.workspace, each.key): each.claim for each in document.claims}
    )
    state.boxes = {box.name: box for box in document.boxes}
    state.owners = {owner.engine: owner for owner in document.owners}
    state.suspects = suspects.Suspects.restore(document.suspects, document.suspects_revision)
    state.evacuated = document.evacuated
    state.pool_versions = document.pool_versions


def _upgrade_register(register: dict[str, Any]) -> dict[str, Any]:
    """Return a register in the current format.

    An older format had the document and its version as two separate fields of the register.
    """
    if "held" in register:
        return register
    names = ("version", "document_json")
    held = {name: register[name] for name in names}
    rest = {name: value for name, value in register.items() if name not in names}
    return rest | {"held": held}


def _make_converter() -> cattrs.Converter:
    converter = orjson_converter.make_converter()
    strategies.configure_tagged_union(_REGISTERS, converter, tag_name="rule")
    return converter


_CONVERTER = _make_converter()

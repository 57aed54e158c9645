"""Loads JSON with comments into attrs classes and reports its faults together."""

from __future__ import annotations

import json
import pathlib
import typing
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs import errors as cattrs_errors
from cattrs import gen

from croftpulley import errors

T = TypeVar("T")
_MOST_FAULTS = 20
"""Of one list and of the unknown keys of one object: an error for each would take far more memory
than the document."""


def _strict_hook(kind: type, *also_accepted: type) -> Any:
    """Return a hook that accepts ``kind`` or ``also_accepted``, without other conversions."""

    def hook(value: Any, _type: Any) -> Any:
        wrong_bool = isinstance(value, bool) and kind is not bool
        if wrong_bool or not isinstance(value, (kind, *also_accepted)):
            raise ValueError(f"got {errors.shown(value)}, allowed is {_KIND_NAMES[kind]}")
        return kind(value)

    return hook


_KIND_NAMES = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects wrong types and unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict_hook(str))
    converter.register_structure_hook(int, _strict_hook(int))
    converter.register_structure_hook(float, _strict_hook(float, int))
    converter.register_structure_hook(bool, _strict_hook(bool))
    converter.register_structure_hook_factory(attrs.has, lambda kind: _class_hook(kind, converter))
    converter.register_structure_hook_factory(
        _is_list, lambda kind: _list_hook(typing.get_args(kind)[0], converter)
    )
    return converter


def _is_list(kind: Any) -> bool:
    return typing.get_origin(kind) is tuple and typing.get_args(kind)[1:] == (Ellipsis,)


def _list_hook(kind: Any, converter: cattrs.Converter) -> Any:
    """Return the hook for a tuple of values of ``kind``."""
    structure_value = converter.get_structure_hook(kind)

    def hook(values: Any, _type: Any) -> Any:
        if not isinstance(values, (list, tuple)):
            raise ValueError(f"got {errors.shown(values)}, allowed is a list")
        structured: list[Any] = []
        faults: list[Exception] = []
        for index, value in enumerate(values):
            try:
                structured.append(structure_value(value, kind))
            except Exception as fault:
                fault.add_note(cattrs.IterableValidationNote("in a list", index, kind))
                faults.append(fault)
            if len(faults) == _MOST_FAULTS:
                break
        if faults:
            raise cattrs_errors.IterableValidationError("a list is not valid", faults, tuple)
        return tuple(structured)

    return hook


def _class_hook(kind: type, converter: cattrs.Converter) -> Any:
    """Return the hook for an attrs class, which runs the validators field by field.

    If the class ran them itself, the first fault would end the validation, without naming its key.
    """
    overrides: Any = {
        field.name: gen.override(struct_hook=_field_hook(field, converter))
        for field in attrs.fields(kind)
        if field.validator is not None
    }
    return gen.make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True, **overrides)


def _field_hook(field: attrs.Attribute[Any], converter: cattrs.Converter) -> Any:
    """Return a hook that structures one field and then runs its validator."""

    def hook(value: Any, kind: Any) -> Any:
        structured = converter.structure(value, kind)
        field.validator(None, field, structured)  # type: ignore[misc]
        return structured

    return hook


_CONVERTER = make_converter()


def load(path: str, kind: type[T]) -> T:
    """Load the file at ``path`` as ``kind``.

    Raises `errors.SettingsErrorGroup` with one error for each fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as failure:
        fault = errors.SettingsError(path, "(file)", f"cannot be read: {failure.strerror}")
        raise errors.SettingsErrorGroup("settings are not valid", [fault]) from failure
    except UnicodeDecodeError as failure:
        fault = errors.SettingsError(path, "(file)", f"is not UTF-8: {failure.reason}")
        raise errors.SettingsErrorGroup("settings are not valid", [fault]) from failure
    return parse(text, kind, path)


def parse(text: str, kind: type[T], path: str = "(text)") -> T:
    """Parse ``text`` as ``kind``; errors name ``path`` and are raised as by `load`."""
    try:
        document = parse_json(text)
    except (ValueError, RecursionError) as failure:
        fault = errors.SettingsError(path, "(syntax)", str(failure))
        raise errors.SettingsErrorGroup("settings are not valid", [fault]) from failure
    return structure(document, kind, path)


def parse_json(text: str) -> Any:
    """Parse JSON with or without comments; raises `ValueError`, also for a duplicate key.

    The parser that accepts comments is written in Python and takes seconds for a configuration of a
    thousand routes (84 kB: 1.8 s on a busy machine). Valid JSON without comments does not need it.
    """
    try:
        return json.loads(text, object_pairs_hook=_object_with_unique_keys)
    except ValueError:
        # Imported only if needed, so that routers start faster (`daemons.start_up`).
        import json5

        return json5.loads(text, allow_duplicate_keys=False)


def _object_with_unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        raise ValueError("got a key twice")
    return document


def structure(document: Any, kind: type[T], path: str = "(document)") -> T:
    """Convert a parsed document to ``kind`` and validate it; raises as `load`."""
    if not isinstance(document, dict):
        fault = errors.SettingsError(path, "(document)", "got no object, allowed is {…}")
        raise errors.SettingsErrorGroup("settings are not valid", [fault])
    try:
        return _CONVERTER.structure(document, kind)
    except cattrs_errors.BaseValidationError as group:
        faults = list(_faults(group, path, ""))
        raise errors.SettingsErrorGroup("settings are not valid", faults) from None


def unstructure(value: Any) -> Any:
    """Convert an attrs value to plain JSON types."""
    return _CONVERTER.unstructure(value)


def _faults(failure: BaseException, path: str, key: str) -> list[errors.SettingsError]:
    """Flatten an exception of the converter into one error for each fault."""
    if isinstance(failure, cattrs_errors.BaseValidationError):
        return [
            fault for inner in failure.exceptions for fault in _faults_at_note(inner, path, key)
        ]
    if isinstance(failure, cattrs_errors.ForbiddenExtraKeysError):
        allowed = ", ".join(sorted(attrs.fields_dict(failure.cl)))
        return [
            errors.SettingsError(path, _join_key(key, name), f"unknown key; allowed are {allowed}")
            for name in sorted(failure.extra_fields)[:_MOST_FAULTS]
        ]
    if isinstance(failure, KeyError):
        return [
            errors.SettingsError(path, _join_key(key, failure.args[0]), "missing; it is required")
        ]
    return [errors.SettingsError(path, key or "(document)", str(failure))]


def _faults_at_note(failure: BaseException, path: str, key: str) -> list[errors.SettingsError]:
    """Extend ``key`` by the attribute or index in the notes of ``failure``, and flatten it."""
    for note in getattr(failure, "__notes__", []):
        if isinstance(note, cattrs.AttributeValidationNote):
            missing = isinstance(failure, KeyError) and failure.args == (note.name,)
            return _faults(failure, path, key if missing else _join_key(key, note.name))
        if isinstance(note, cattrs.IterableValidationNote):
            return _faults(failure, path, f"{key}[{note.index}]")
    return _faults(failure, path, key)


def _join_key(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


__all__ = ["load", "make_converter", "parse", "parse_json", "structure", "unstructure"]

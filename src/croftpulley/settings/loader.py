"""Loading of JSON with comments into attrs classes, with every fault reported at once."""

from __future__ import annotations

import json
import pathlib
from typing import Any, TypeVar

import attrs
import cattrs
from cattrs import errors as cattrs_errors
from cattrs import gen

from croftpulley import errors

T = TypeVar("T")


def _strict(kind: type, *also: type) -> Any:
    """Make a hook that takes a value of ``kind`` as it is and refuses any other."""

    def hook(value: Any, _type: Any) -> Any:
        wrong_bool = isinstance(value, bool) and kind is not bool
        if wrong_bool or not isinstance(value, (kind, *also)):
            raise ValueError(f"got {value!r}, allowed is {_KIND_NAMES[kind]}")
        return kind(value)

    return hook


_KIND_NAMES = {str: "a string", int: "a whole number", float: "a number", bool: "true or false"}


def make_converter() -> cattrs.Converter:
    """Make a converter that refuses wrong types and unknown keys."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict(str))
    converter.register_structure_hook(int, _strict(int))
    converter.register_structure_hook(float, _strict(float, int))
    converter.register_structure_hook(bool, _strict(bool))
    converter.register_structure_hook_factory(attrs.has, lambda kind: _class_hook(kind, converter))
    return converter


def _class_hook(kind: type, converter: cattrs.Converter) -> Any:
    """Make the hook for an attrs class whose validators run field by field.

    Run by the class itself they would stop at the first fault and not name the key.
    """
    overrides: Any = {
        field.name: gen.override(struct_hook=_field_hook(field, converter))
        for field in attrs.fields(kind)
        if field.validator is not None
    }
    return gen.make_dict_structure_fn(kind, converter, _cattrs_forbid_extra_keys=True, **overrides)


def _field_hook(field: attrs.Attribute[Any], converter: cattrs.Converter) -> Any:
    """Make a hook that structures one field and then runs its validator."""

    def hook(value: Any, kind: Any) -> Any:
        structured = converter.structure(value, kind)
        field.validator(None, field, structured)  # type: ignore[misc]
        return structured

    return hook


_CONVERTER = make_converter()


def load(path: str, kind: type[T]) -> T:
    """Load the file at ``path`` as ``kind``.

    Raises `errors.SettingsErrorGroup` that holds one error for each fault.
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
    """Parse ``text``, which came from ``path``, as ``kind``; errors as for `load`."""
    try:
        document = read(text)
    except ValueError as failure:
        fault = errors.SettingsError(path, "(syntax)", str(failure))
        raise errors.SettingsErrorGroup("settings are not valid", [fault]) from failure
    return structure(document, kind, path)


def read(text: str) -> Any:
    """Read JSON, which may have comments; raises `ValueError`, also for a key that comes twice.

    The reader of comments is written in Python and takes seconds for a configuration of a thousand
    routes (84 kB: 1.8 s on a busy machine). A text without comments never comes to it.
    """
    try:
        return json.loads(text, object_pairs_hook=_unique_keys)
    except ValueError:
        # Not loaded where no text has comments: routers start sooner (`daemons.start_up`).
        import json5

        return json5.loads(text, allow_duplicate_keys=False)


def _unique_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    document = dict(pairs)
    if len(document) < len(pairs):
        raise ValueError("got a key twice")
    return document


def structure(document: Any, kind: type[T], path: str = "(document)") -> T:
    """Check a parsed document against ``kind``; errors as for `load`."""
    if not isinstance(document, dict):
        fault = errors.SettingsError(path, "(document)", "got no object, allowed is {…}")
        raise errors.SettingsErrorGroup("settings are not valid", [fault])
    try:
        return _CONVERTER.structure(document, kind)
    except cattrs_errors.BaseValidationError as group:
        faults = list(_faults(group, path, ""))
        raise errors.SettingsErrorGroup("settings are not valid", faults) from None


def unstructure(value: Any) -> Any:
    """Turn an attrs value into plain JSON types."""
    return _CONVERTER.unstructure(value)


def _faults(failure: BaseException, path: str, key: str) -> list[errors.SettingsError]:
    """Flatten what the converter raised into one error for each fault."""
    if isinstance(failure, cattrs_errors.BaseValidationError):
        return [fault for inner in failure.exceptions for fault in _inner(inner, path, key)]
    if isinstance(failure, cattrs_errors.ForbiddenExtraKeysError):
        allowed = ", ".join(sorted(attrs.fields_dict(failure.cl)))
        return [
            errors.SettingsError(path, _join(key, name), f"unknown key; allowed are {allowed}")
            for name in sorted(failure.extra_fields)
        ]
    if isinstance(failure, KeyError):
        return [errors.SettingsError(path, _join(key, failure.args[0]), "missing; it is required")]
    return [errors.SettingsError(path, key or "(document)", str(failure))]


def _inner(failure: BaseException, path: str, key: str) -> list[errors.SettingsError]:
    """Follow the note that names the attribute or index where ``failure`` arose."""
    for note in getattr(failure, "__notes__", []):
        if isinstance(note, cattrs.AttributeValidationNote):
            missing = isinstance(failure, KeyError) and failure.args == (note.name,)
            return _faults(failure, path, key if missing else _join(key, note.name))
        if isinstance(note, cattrs.IterableValidationNote):
            return _faults(failure, path, f"{key}[{note.index}]")
    return _faults(failure, path, key)


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name


__all__ = ["load", "make_converter", "parse", "read", "structure", "unstructure"]

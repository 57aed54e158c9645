"""Exceptions with a result code, and whether an endpoint may have run the request."""

from __future__ import annotations

from collections.abc import Sequence

from croftpulley import codes


class CroftpulleyError(Exception):
    """An error with a result code.

    ``run_state`` says whether an endpoint ran the request, by default not. ``retry_after_s`` is the
    delay before a retry. It and ``detail`` default to the entry of the code in `codes.INFO`.
    """

    def __init__(
        self,
        code: codes.ResultCode,
        detail: str = "",
        *,
        run_state: codes.RunState = codes.RunState.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        info = codes.INFO[code]
        self.code = code
        self.detail = detail or info.meaning
        self.run_state = run_state
        self.retry_after_s = info.retry_after_s if retry_after_s is None else retry_after_s
        super().__init__(f"{code.name} ({code.value}): {self.detail}")


class SettingsError(CroftpulleyError):
    """One error in a settings file: its path, the key, and what is wrong with the value."""

    def __init__(self, path: str, key: str, problem: str) -> None:
        self.path = path
        self.key = key
        super().__init__(codes.ResultCode.SETTINGS_INVALID, f"{path}: {key}: {problem}")


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """All errors found in one settings file."""

    def derive(self, excs: Sequence[SettingsError]) -> SettingsErrorGroup:  # type: ignore[override]
        """Return a group of the same class, as `ExceptionGroup.split` requires."""
        return SettingsErrorGroup(self.message, excs)


def shown(value: object) -> str:
    """Return the beginning of how a value that was got from outside is written.

    >>> shown("a" * 200) == "'" + "a" * 99
    True
    """
    try:
        return f"{value!r:.100}"
    except RecursionError:
        return "a value nested too deep to be shown"

"""Typed errors; each carries its result code and what is known about running."""

from __future__ import annotations

from collections.abc import Sequence

from croftpulley import codes


class CroftpulleyError(Exception):
    """An error with a result code.

    ``run_state`` says whether an endpoint ran the request; ``retry_after_s`` when to come back.
    Both default to what the table of result codes and a request never sent imply.
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
    """One fault in a settings file: where it is, what was got and what is allowed."""

    def __init__(self, path: str, key: str, problem: str) -> None:
        self.path = path
        self.key = key
        super().__init__(codes.ResultCode.SETTINGS_INVALID, f"{path}: {key}: {problem}")


class SettingsErrorGroup(ExceptionGroup[SettingsError]):
    """Every fault found in one settings file."""

    def derive(self, excs: Sequence[SettingsError]) -> SettingsErrorGroup:  # type: ignore[override]
        """Make a group of the same kind, as the exception group protocol asks."""
        return SettingsErrorGroup(self.message, excs)

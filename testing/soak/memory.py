"""Processes that take more memory than a machine has, or end by themselves."""

from __future__ import annotations

import collections
import threading

import client_crowds
from soak import fleet, processes

_SAMPLE_S = 0.2


class Watch:
    """Looks at the peak of each process's memory while a run goes on."""

    def __init__(self, site: fleet.Fleet) -> None:
        self.most_bytes: collections.Counter[str] = collections.Counter()
        self._ended: set[str] = set()
        self._site = site
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._watch, daemon=True)

    def start(self) -> None:
        """Begin."""
        self._thread.start()

    def stop(self) -> None:
        """Look for the last time."""
        if not self._stopped.is_set():
            self._stopped.set()
            self._thread.join()
            self._look()

    def broken(self) -> list[str]:
        """Return the processes that took too much, or ended by themselves."""
        limit_bytes = client_crowds.MACHINE_MEMORY_BYTES
        large = [
            f"{name} took {size_bytes} bytes, {limit_bytes} are allowed"
            for name, size_bytes in sorted(self.most_bytes.items())
            if size_bytes > limit_bytes
        ]
        return large + [f"{name} ended by itself" for name in sorted(self._ended)]

    def _watch(self) -> None:
        while not self._stopped.wait(_SAMPLE_S):
            self._look()

    def _look(self) -> None:
        for each in self._site.programs:
            if each.has_ended_by_itself:
                self._ended.add(each.name)
            elif each.runs:
                self._note(each)

    def _note(self, program: processes.Program) -> None:
        try:
            peak_bytes = client_crowds.peak_memory_bytes(program.pid)
        except (OSError, StopIteration):
            # It has just been ended.
            return
        self.most_bytes[program.name] = max(self.most_bytes[program.name], peak_bytes)

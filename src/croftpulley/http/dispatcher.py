"""The threads that serve requests, started as they are needed.

Each thread that has served costs a process some 20 to 50 KB, and most boxes need a few at most
times; waitress by itself starts all of them at once.
"""

from __future__ import annotations

from typing import Any

import waitress.task

FIRST_THREADS = 2
"""Enough for a box at rest; a request that finds all busy has one more started."""


class GrowingDispatcher(waitress.task.ThreadedTaskDispatcher):
    """Starts with few threads and adds one whenever a request would have to wait for another."""

    def __init__(self, most_threads: int) -> None:
        super().__init__()
        self._most_threads = most_threads
        self.set_thread_count(min(FIRST_THREADS, most_threads))

    def add_task(self, task: Any) -> None:
        """Queue a request and see to it that a thread is free for it, up to the most."""
        super().add_task(task)
        with self.lock:
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            wanted = running + max(0, len(self.queue) - idle)
        if wanted > running:
            self.set_thread_count(min(wanted, self._most_threads))

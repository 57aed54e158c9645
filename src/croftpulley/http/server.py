"""A waitress server set up for streams, with error bodies that carry result codes."""

from __future__ import annotations

import errno
import logging
import math
import socket
import sys
import threading
import time
from collections.abc import Iterable
from typing import Any

import waitress.server
import waitress.task
import waitress.trigger
import waitress.wasyncore

from croftpulley.core import request_room
from croftpulley.endpoints import sockets
from croftpulley.http import channel, wsgi
from croftpulley.observe import events
from croftpulley.settings import fleet, schema

_LOG = logging.getLogger(__name__)

FIRST_THREADS = 2
"""Enough for a box at rest; a request that finds all busy has one more started."""
_SHUTDOWN_TIMEOUT_S = 0.5
_FLUSH_S = 0.05
"""How long an answer may wait for its caller when a server stops."""
_STALLED_S = 2.0
"""A planned stop does not wait for callers that have taken nothing for so long."""
_TAKEN_CHECK_S = 0.02
_REST_S = 0.1
"""After an error of a listening address."""
_SHORT_OF = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
_SEND_BUFFER_BYTES = 65_536
"""A caller that takes 5 KB a second frees enough of it within ten seconds to be seen to read."""


class _Wakeup(waitress.trigger.trigger):
    """A trigger that does nothing once it is closed.

    Every thread that answers pulls it, and the loop closes it. The library's own writes to its
    descriptor unasked: after the close that fails, or reaches whoever has opened the same number.
    """

    def __init__(self, sockets: Any) -> None:
        self._pull_lock = threading.Lock()
        super().__init__(sockets)

    def _close(self) -> None:
        with self._pull_lock:
            super()._close()  # type: ignore[misc]

    def _physical_pull(self) -> None:
        with self._pull_lock:
            if not self._closed:  # type: ignore[attr-defined]
                super()._physical_pull()  # type: ignore[misc]


class GrowingDispatcher(waitress.task.ThreadedTaskDispatcher):
    """Starts with few threads and adds one whenever a request would have to wait for another.

    Each thread that has served costs a process some 20 to 50 KB, and most boxes need a few at most
    times; waitress by itself starts all of them at once.
    """

    def __init__(self, most_threads: int) -> None:
        super().__init__()
        self._most_threads = most_threads
        self.set_thread_count(min(FIRST_THREADS, most_threads))

    def add_task(self, task: Any) -> None:
        """Queue a request and see to it that a thread is free for it, up to the most."""
        super().add_task(task)
        try:
            self._grow()
        except RuntimeError as failure:
            # The system starts no more threads; those that run will come to it.
            events.emit(_LOG, events.Event.INTERNAL_ERROR, level=logging.ERROR, failure=failure)

    def start_new_thread(self, target: Any, thread_no: int) -> None:
        """Start a thread; one that cannot be started counts as none."""
        try:
            super().start_new_thread(target, thread_no)
        except RuntimeError:
            self.threads.discard(thread_no)
            raise

    def _grow(self) -> None:
        with self.lock:
            running = len(self.threads) - self.stop_count
            idle = running - self.active_count
            wanted = running + max(0, len(self.queue) - idle)
        if wanted > running:
            self.set_thread_count(min(wanted, self._most_threads))


class HttpServer:
    """One listening address with its own threads.

    ``room`` is for the requests of all listeners of a process, by default for those of this one.
    ``single_headers`` are refused when given twice. ``passes_headers`` leaves headers that speak of
    proxies as they came. ``header_slack_bytes`` may come beyond the limit on headers.
    """

    def __init__(
        self,
        application: wsgi.Application,
        address: str,
        threads: int,
        limits: schema.HttpLimits,
        body_factor: int = 1,
        *,
        room: request_room.RequestRoom | None = None,
        single_headers: tuple[str, ...] = ("host", "content-length"),
        passes_headers: bool = False,
        header_slack_bytes: int = 0,
    ) -> None:
        self._header_slack_bytes = header_slack_bytes
        self._room = room or request_room.RequestRoom(limits.request_total_bytes)
        host, _, port = address.rpartition(":")
        self._map: dict[int, Any] = {}
        create_server: Any = waitress.server.create_server
        self._server = _bind(
            address,
            create_server,
            application,
            host=host,
            port=int(port),
            _dispatcher=GrowingDispatcher(threads),
            map=self._map,
            ident="croftpulley",
            connection_limit=limits.connections,
            cleanup_interval=1,
            max_request_body_size=limits.body_size_bytes * body_factor + 1,
            max_request_header_size=limits.header_size_bytes + header_slack_bytes + 1,
            # Lets waitress notice a caller that goes away while its request runs.
            channel_request_lookahead=1,
            # A request's body stays in memory, where it is counted, and takes no file.
            inbuf_overflow=sys.maxsize,
            outbuf_high_watermark=limits.unread_size_bytes,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=not passes_headers,
        )
        self._server.trigger.close()
        self._server.trigger = _Wakeup(self._map)
        self._server.channel_class = channel.Channel
        self._server.room = self._room
        self._server.give_up_soon = self._give_up_soon
        self._server.closes_connections = False
        self._server.reads = True
        self._server.read_lock = threading.Lock()
        self._is_accepting = self._server.readable
        self._server.readable = self._accepts
        # Connections have it from their listener.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, sockets.RECEIVE_BUFFER_BYTES
        )
        # The library's own looks at the time of day, which may jump.
        self._server.maintenance = self._end_idle
        # What the system holds for a caller hides for as long whether it reads.
        self._server.adj.socket_options = [
            *self._server.adj.socket_options,
            (socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
        ]
        self._server.adj.max_header_lines = channel.max_header_lines(limits.header_count)
        self._server.adj.single_headers = tuple(name.encode() for name in single_headers)
        self._idle_s = float(limits.idle_connection_s)
        self._header_wait_s = self._idle_s
        self._unread_s = float(limits.unread_s)
        self._unread_bytes = 0
        self.address = f"{host}:{self._server.effective_port}"
        self._fit(limits.body_size_bytes * body_factor)
        self._accept = self._server.accept
        self._server.accept = self._accept_or_rest
        self._accepts_from_s = -math.inf
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def set_limits(self, limits: fleet.WireLimits) -> None:
        """Change the limits for what is read from now on; both sizes may just be reached."""
        header_size_bytes = limits.header_size_bytes + self._header_slack_bytes
        self._server.adj.max_request_header_size = header_size_bytes + 1
        self._server.adj.max_request_body_size = limits.body_size_bytes + 1
        self._fit(limits.body_size_bytes)
        self._header_wait_s = limits.header_wait_ms / 1000
        self._idle_s = limits.idle_ms / 1000

    @property
    def unread_bytes(self) -> int:
        """What waited for callers that had not taken it yet, when that was last looked at."""
        return self._unread_bytes

    def close_connections(self) -> None:
        """End every connection with its next answer, as a planned stop does."""
        self._server.closes_connections = True

    def wait_until_taken(self, timeout_s: float) -> None:
        """Wait until callers have taken all that they are owed now, or take nothing any more.

        Those that have not are logged; `stop` ends their connections. Whoever comes meanwhile is
        not waited for.
        """
        ends_at_s = time.monotonic() + timeout_s
        owing = _owing(self._server.active_channels.values())
        while time.monotonic() < ends_at_s and _are_reading(owing):
            time.sleep(_TAKEN_CHECK_S)
            owing = _owing(owing)
        for each in owing:
            channel.log_cut(each)

    def stop(self) -> None:
        """End the threads, then every socket; a planned stop has waited for callers before.

        Nothing more is read, and what has been read is answered first, within a moment for all of
        it. The sockets are closed by the thread that waits on them: closed by another they would
        stay open until that wait ends, and the address with them.
        """
        ends_at_s = time.monotonic() + _SHUTDOWN_TIMEOUT_S
        with self._server.read_lock:
            self._server.reads = False
        while time.monotonic() < ends_at_s and self._has_to_answer():
            time.sleep(_TAKEN_CHECK_S)
        left_s = max(0.0, ends_at_s - time.monotonic())
        self._server.task_dispatcher.shutdown(timeout=left_s)
        if not self._thread.is_alive():
            self._close_all()
            return
        self._server.trigger.pull_trigger(self._close_all)
        self._thread.join(_SHUTDOWN_TIMEOUT_S)

    def _has_to_answer(self) -> bool:
        channels = list(self._server.active_channels.values())
        return any(each.is_owing and not each.is_unread(_FLUSH_S) for each in channels)

    def _run(self) -> None:
        """Serve until all sockets are closed, whatever else ends the loop."""
        while self._map:
            try:
                self._server.run()
                return
            except Exception as failure:
                events.emit(_LOG, events.Event.INTERNAL_ERROR, level=logging.ERROR, failure=failure)
                time.sleep(_REST_S)

    def _accepts(self) -> bool:
        """Tell whether new connections are accepted; at the limit, one that rests makes way."""
        if not self._server.reads:
            return False
        if len(self._map) >= self._server.adj.connection_limit:
            self._close_longest_resting()
        return bool(self._is_accepting()) and time.monotonic() >= self._accepts_from_s

    def _accept_or_rest(self) -> Any:
        """Accept a connection; without a descriptor for it, one that rests makes way."""
        try:
            return self._accept()
        except OSError as failure:
            if failure.errno not in _SHORT_OF:
                raise
            events.emit(
                _LOG,
                events.Event.DESCRIPTORS_USED_UP,
                level=logging.ERROR,
                address=self.address,
                connections=len(self._map),
                problem=str(failure),
            )
            self._close_longest_resting()
            # What cannot be accepted is told again at once.
            self._accepts_from_s = time.monotonic() + _REST_S
            return None

    def _close_longest_resting(self) -> None:
        resting = [each for each in self._server.active_channels.values() if each.is_resting]
        if resting:
            min(resting, key=lambda each: each.used_at_s).will_close = True

    def _fit(self, body_size_bytes: int) -> None:
        """Have room for one request of the largest size that is allowed here."""
        head_size_bytes = self._server.adj.max_request_header_size
        self._room.fit(self.address, head_size_bytes + body_size_bytes)

    def _give_up_soon(self, giving_up: channel.Channel) -> None:
        """Have the loop's thread refuse what a connection sends; called by any thread."""
        self._server.trigger.pull_trigger(giving_up.give_up)

    def _close_all(self) -> None:
        waitress.wasyncore.close_all(self._map, ignore_all=True)

    def _end_idle(self, _now_s: float) -> None:
        """End connections that rest too long, whose request takes too long to come, or whose caller
        takes nothing of an answer; count what waits for the others.
        """
        now_s = time.monotonic()
        unread_bytes = 0
        for each in list(self._server.active_channels.values()):
            unread_bytes += each.total_outbufs_len
            if each.is_unread(self._unread_s):
                channel.cut(each)
            elif now_s >= each.ends_at_s(self._header_wait_s, self._idle_s):
                each.will_close = True
        self._unread_bytes = unread_bytes


def _bind(address: str, create_server: Any, application: wsgi.Application, **settings: Any) -> Any:
    """Make a server; raises `OSError` with the address."""
    try:
        return create_server(application, **settings)
    except OSError as failure:
        raise OSError(failure.errno, f"{address}: {failure.strerror}") from failure


def _are_reading(channels: list[channel.Channel]) -> bool:
    return any(not each.is_unread(_STALLED_S) for each in channels)


def _owing(channels: Iterable[channel.Channel]) -> list[channel.Channel]:
    return [each for each in list(channels) if each.is_owing]

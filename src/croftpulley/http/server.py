"""A waitress server set up for streams, with error bodies that carry result codes."""

from __future__ import annotations

import logging
import socket
import threading
import time
from typing import Any

import waitress.channel
import waitress.parser
import waitress.server
import waitress.task
import waitress.trigger
import waitress.wasyncore

from croftpulley import codes, errors
from croftpulley.endpoints import sockets
from croftpulley.http import dispatcher, wsgi
from croftpulley.observe import events
from croftpulley.settings import fleet, schema

_LOG = logging.getLogger(__name__)
_CODES_BY_STATUS = {
    413: codes.ResultCode.BODY_TOO_LARGE,
    431: codes.ResultCode.HEADER_TOO_LARGE,
}
_SHUTDOWN_TIMEOUT_S = 0.5
_SEND_BUFFER_BYTES = 65_536
"""A caller that takes 5 KB a second frees enough of it within ten seconds to be seen to read."""


class _CodedErrorTask(waitress.task.ErrorTask):
    """Answers what waitress itself refuses, with a result code."""

    def execute(self) -> None:
        refused: Any = self.request.error  # type: ignore[attr-defined]
        fallback = (
            codes.ResultCode.INTERNAL if refused.code >= 500 else codes.ResultCode.BAD_REQUEST
        )
        code = _CODES_BY_STATUS.get(refused.code, fallback)
        response = wsgi.error_response(errors.CroftpulleyError(code, str(refused.body)))
        body = response.body if isinstance(response.body, bytes) else b""
        self.status = f"{refused.code} {refused.reason}"
        self.response_headers = [
            ("Content-Type", response.content_type or wsgi.JSON),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
            *response.headers,
        ]
        self.close_on_finish = True
        self.content_length = len(body)
        self.write(body)


class _StrictParser(waitress.parser.HTTPRequestParser):
    """Refuses what two readers of one request could understand differently."""

    def parse_header(self, header_plus: bytes) -> None:
        names = []
        for line in header_plus.split(b"\r\n")[1:]:
            if line[:1] in (b" ", b"\t"):
                raise waitress.parser.ParsingError("A header is folded")
            names.append(line.partition(b":")[0].strip().lower())
        if b"content-length" in names and b"transfer-encoding" in names:
            raise waitress.parser.ParsingError("Both lengths are given")
        adj: Any = self.adj
        for name in adj.single_headers:
            if names.count(name) > 1:
                raise waitress.parser.ParsingError(f"{name.decode()} is given twice")
        super().parse_header(header_plus)


class _Task(waitress.task.WSGITask):
    """Keeps the connection after an answer of unknown length, and ends it in a planned stop.

    An answer that breaks off although only the connection's end would end it ends with a reset.
    """

    def execute(self) -> None:
        try:
            super().execute()
        except BaseException:
            if self.wrote_header and not self.chunked_response and self.content_length is None:
                _reset_on_close(self.channel.socket)
            raise

    def build_response_header(self) -> bytes:
        server: Any = self.channel.server
        if server.closes_connections:
            self.set_close_on_finish()
        return super().build_response_header()

    def set_close_on_finish(self) -> None:
        # The library closes after every answer in chunks, although its last chunk ends it.
        if not self.chunked_response or self.wrote_header:
            super().set_close_on_finish()


def _reset_on_close(sock: socket.socket | None) -> None:
    if sock is None:
        return
    try:
        sockets.reset_on_close(sock)
    except OSError:
        # The caller's connection is closed already.
        return


class _Channel(waitress.channel.HTTPChannel):
    """A connection that knows by the steady clock when it was last used."""

    error_task_class = _CodedErrorTask
    task_class = _Task
    parser_class = _StrictParser

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        self.used_at_s = time.monotonic()
        self.taken_at_s = self.used_at_s
        """When the caller last took something, or something first waited for it."""
        super().__init__(*args, **kwargs)

    def received(self, data: bytes) -> bool:
        # The beginning of a request counts, not each piece of it: its headers have a time limit.
        if self.request is None:
            self.used_at_s = time.monotonic()
        return bool(super().received(data))

    def service(self) -> None:
        super().service()
        self.used_at_s = time.monotonic()

    def write_soon(self, data: Any) -> int:
        if not self.total_outbufs_len:
            self.taken_at_s = time.monotonic()
        return int(super().write_soon(data))

    def _flush_some(self, do_close: bool = True) -> bool:
        has_sent = bool(super()._flush_some(do_close))  # type: ignore[misc]
        if has_sent:
            self.taken_at_s = time.monotonic()
        return has_sent

    def is_unread(self, unread_s: float) -> bool:
        """Tell whether the caller has taken nothing of what waits for it for so long."""
        waits = bool(self.total_outbufs_len)
        return waits and time.monotonic() >= self.taken_at_s + unread_s

    def ends_at_s(self, header_wait_s: float, idle_s: float) -> float:
        """Return when this connection should be closed if nothing happens until then."""
        if self.requests or self.total_outbufs_len:
            return float("inf")
        if self.request is not None and not self.request.headers_finished:
            return self.used_at_s + header_wait_s
        return self.used_at_s + idle_s


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


class HttpServer:
    """One listening address with its own threads.

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
        single_headers: tuple[str, ...] = ("host", "content-length"),
        passes_headers: bool = False,
        header_slack_bytes: int = 0,
    ) -> None:
        self._header_slack_bytes = header_slack_bytes
        host, _, port = address.rpartition(":")
        self._map: dict[int, Any] = {}
        create_server: Any = waitress.server.create_server
        self._server = create_server(
            application,
            host=host,
            port=int(port),
            _dispatcher=dispatcher.GrowingDispatcher(threads),
            map=self._map,
            ident="croftpulley",
            connection_limit=limits.connections,
            cleanup_interval=1,
            max_request_body_size=limits.body_size_bytes * body_factor + 1,
            max_request_header_size=limits.header_size_bytes + header_slack_bytes + 1,
            # Lets waitress notice a caller that goes away while its request runs.
            channel_request_lookahead=1,
            outbuf_high_watermark=limits.unread_size_bytes,
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=not passes_headers,
        )
        self._server.trigger.close()
        self._server.trigger = _Wakeup(self._map)
        self._server.channel_class = _Channel
        self._server.closes_connections = False
        # The library's own looks at the time of day, which may jump.
        self._server.maintenance = self._end_idle
        # What the system holds for a caller hides for as long whether it reads.
        self._server.adj.socket_options = [
            *self._server.adj.socket_options,
            (socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES),
        ]
        self._server.adj.single_headers = tuple(name.encode() for name in single_headers)
        self._idle_s = float(limits.idle_connection_s)
        self._header_wait_s = self._idle_s
        self._unread_s = float(limits.unread_s)
        self._unread_bytes = 0
        self.address = f"{host}:{self._server.effective_port}"
        self._thread = threading.Thread(target=self._server.run, name="http", daemon=True)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def set_limits(self, limits: fleet.WireLimits) -> None:
        """Change the limits for what is read from now on; both sizes may just be reached."""
        header_size_bytes = limits.header_size_bytes + self._header_slack_bytes
        self._server.adj.max_request_header_size = header_size_bytes + 1
        self._server.adj.max_request_body_size = limits.body_size_bytes + 1
        self._header_wait_s = limits.header_wait_ms / 1000
        self._idle_s = limits.idle_ms / 1000

    @property
    def unread_bytes(self) -> int:
        """What waited for callers that had not taken it yet, when that was last looked at."""
        return self._unread_bytes

    def close_connections(self) -> None:
        """End every connection with its next answer, as a planned stop does."""
        self._server.closes_connections = True

    def stop(self) -> None:
        """End the threads, then every socket; a planned stop has waited for replies before.

        The sockets are closed by the thread that waits on them: closed by another they would stay
        open until that wait ends, and the address with them.
        """
        self._server.task_dispatcher.shutdown(timeout=_SHUTDOWN_TIMEOUT_S)
        if not self._thread.is_alive():
            self._close_all()
            return
        self._server.trigger.pull_trigger(self._close_all)
        self._thread.join(_SHUTDOWN_TIMEOUT_S)

    def _close_all(self) -> None:
        waitress.wasyncore.close_all(self._map, ignore_all=True)

    def _end_idle(self, _now_s: float) -> None:
        """End connections that rest too long, whose request takes too long to come, or whose caller
        takes nothing of an answer; count what waits for the others.
        """
        now_s = time.monotonic()
        unread_bytes = 0
        for channel in list(self._server.active_channels.values()):
            unread_bytes += channel.total_outbufs_len
            if channel.is_unread(self._unread_s):
                _cut(channel)
            elif now_s >= channel.ends_at_s(self._header_wait_s, self._idle_s):
                channel.will_close = True
        self._unread_bytes = unread_bytes


def _cut(channel: _Channel) -> None:
    """End a connection whose caller takes nothing; whoever writes to it is told so at once."""
    events.emit(
        _LOG,
        events.Event.CALLER_CUT,
        level=logging.WARNING,
        caller=str(channel.addr),
        unread_bytes=channel.total_outbufs_len,
        unread_s=round(time.monotonic() - channel.taken_at_s, 3),
    )
    # A connection that takes nothing is never reported as one that may be written to.
    channel.handle_close()

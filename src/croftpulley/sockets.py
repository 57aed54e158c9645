"""How the system ends a connection whose socket is closed."""

from __future__ import annotations

import socket
import struct

_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with timeout 0."""
_FLUSH = struct.pack("ii", 0, 0)
"""SO_LINGER off, the default."""


def reset_on_close(sock: socket.socket) -> None:
    """Have a close reset the connection and drop undelivered data; raises `OSError`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)


def flush_after_close(sock: socket.socket) -> None:
    """Have the system deliver pending data after a close; raises `OSError`."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _FLUSH)

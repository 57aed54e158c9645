"""gRPC channels and servers with the library's own retries and balancing switched off."""

from __future__ import annotations

import threading
from concurrent import futures

import grpc

_OPTIONS = [
    ("grpc.enable_retries", 0),
    ("grpc.service_config_disable_resolution", 1),
    ("grpc.lb_policy_name", "pick_first"),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.keepalive_time_ms", 10_000),
    ("grpc.keepalive_timeout_ms", 3_000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.enable_http_proxy", 0),
]
_SERVER_OPTIONS = [
    *_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 5_000),
]


class Channels:
    """A pool with one channel for each address, opened on first use. Thread-safe."""

    def __init__(self) -> None:
        self._channels: dict[str, grpc.Channel] = {}
        self._lock = threading.Lock()

    def to(self, address: str) -> grpc.Channel:
        """Return the channel to ``address``, opening it on first use."""
        with self._lock:
            if address not in self._channels:
                self._channels[address] = grpc.insecure_channel(address, options=_OPTIONS)
            return self._channels[address]

    def close(self) -> None:
        """Close every channel."""
        with self._lock:
            for channel in self._channels.values():
                channel.close()
            self._channels.clear()


def make_server(threads: int) -> grpc.Server:
    """Return a server that handles up to ``threads`` calls at once and rejects further ones."""
    pool = futures.ThreadPoolExecutor(max_workers=threads, thread_name_prefix="grpc")
    return grpc.server(pool, options=_SERVER_OPTIONS, maximum_concurrent_rpcs=threads)


def bind(server: grpc.Server, address: str) -> str:
    """Bind ``server`` to ``address`` and return the address with the assigned port.

    Raises `OSError` if the server cannot listen there, such as when the address is in use.
    """
    try:
        port = server.add_insecure_port(address)
    except RuntimeError as failure:
        raise OSError(f"cannot listen on {address}: {failure}") from failure
    return f"{address.rpartition(':')[0]}:{port}"

"""Attempts at engines that another box owns: one hop over gRPC to the owner."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import grpc

from croftpulley import cancel, codes, errors
from croftpulley.core import assembly, attempts
from croftpulley.dispatch import local
from croftpulley.endpoints import base
from croftpulley.observe import metrics
from croftpulley.transport import channels, codec, messages
from croftpulley.transport._generated import fleet_pb2_grpc as services

_GRACE_S = 1.0
"""How much longer than the deadline a call may last, so that the owner's own answer comes first."""


class _Peer:
    """The channel to one box, and whether it is connected."""

    def __init__(self, channel: grpc.Channel) -> None:
        self.stub = services.PeerStub(channel)
        self._changed = threading.Condition()
        self._ready = False
        channel.subscribe(self._follow, try_to_connect=True)
        self._channel = channel

    def wait_ready(self, timeout_s: float) -> bool:
        """Wait until connected; return whether that came in time."""
        if self._ready:
            return True
        self._channel.subscribe(_ignore, try_to_connect=True)
        with self._changed:
            return self._changed.wait_for(lambda: self._ready, timeout_s)

    def _follow(self, connectivity: grpc.ChannelConnectivity) -> None:
        with self._changed:
            self._ready = connectivity is grpc.ChannelConnectivity.READY
            self._changed.notify_all()


def _ignore(_connectivity: grpc.ChannelConnectivity) -> None:
    """Subscribing is only for its side effect: an idle channel connects again."""


class RemoteDispatcher:
    """Asks an engine's owner to carry out an attempt."""

    def __init__(
        self, pool: channels.Channels, connect_timeout_s: float, counters: metrics.Metrics
    ) -> None:
        self._channels = pool
        self._connect_timeout_s = connect_timeout_s
        self._counters = counters
        self._lock = threading.Lock()
        self._peers: dict[str, _Peer] = {}

    def start(
        self,
        peer_address: str,
        order: messages.DispatchOrder,
        attempt: attempts.Attempt,
        token: cancel.CancelToken,
    ) -> base.EngineStream:
        """Start an attempt; raises `local.NotAdmittedError` or PEER_LOST.

        Nothing is sent before the channel is connected, so that an owner that is gone is known
        not to have run anything.
        """
        token.check()
        peer = self._peer(peer_address)
        if not peer.wait_ready(self._connect_timeout_s):
            raise errors.CroftpulleyError(
                codes.ResultCode.PEER_LOST, f"{peer_address}: not connected"
            )
        attempt.enter(attempts.Phase.SENT)
        request = codec.order_to_wire(order)
        self._counters.control_bytes("Dispatch", request.ByteSize(), 0)
        call = peer.stub.Dispatch(request, timeout=max(0.0, order.budget_s) + _GRACE_S)
        stream = RemoteAttempt(call, attempt, token)
        token.on_cancel(stream.shutdown)
        try:
            stream.await_admission()
        except BaseException:
            stream.close()
            raise
        return stream

    def _peer(self, address: str) -> _Peer:
        with self._lock:
            if address not in self._peers:
                self._peers[address] = _Peer(self._channels.to(address))
            return self._peers[address]


class RemoteAttempt(base.EngineStream):
    """An attempt that another box carries out."""

    def __init__(
        self, call: grpc.Call, attempt: attempts.Attempt, token: cancel.CancelToken
    ) -> None:
        self._call = call
        self._attempt = attempt
        self._token = token

    def await_admission(self) -> None:
        """Wait for the owner's word; raises `local.NotAdmittedError` if it refuses."""
        for event in self._events():
            if isinstance(event, messages.Accepted):
                return
            if isinstance(event, messages.Refused):
                self._attempt.adopt(attempts.Phase.REFUSED)
                raise local.NotAdmittedError(event.code, event.outstanding)
            break
        raise self._lost("the owner answered neither yes nor no")

    def batches(self) -> Iterator[base.EventBatch]:
        """Yield the engine's events as the owner passes them on."""
        for event in self._events():
            match event:
                case assembly.Chunk():
                    self._attempt.adopt(attempts.Phase.ANSWERING)
                    yield (event,)
                case messages.Finished():
                    self._attempt.adopt(attempts.Phase.DONE)
                    yield (event,)
                    return
                case messages.Broken(code, phase):
                    self._attempt.adopt(phase)
                    raise self._failed(code, "the owner's attempt broke off")
        raise self._lost("the owner's stream ended before its end event")

    def shutdown(self) -> None:
        """End `batches` from another thread."""
        self._call.cancel()

    def close(self) -> None:
        """Cancel what is still under way."""
        self._token.forget(self.shutdown)
        self._call.cancel()

    def _events(self) -> Iterator[messages.DispatchEvent]:
        try:
            for event in self._call:  # type: ignore[attr-defined]
                yield codec.event_from_wire(event)
        except (grpc.RpcError, ValueError) as failure:
            raise self._lost(type(failure).__name__) from failure

    def _lost(self, detail: str) -> errors.CroftpulleyError:
        return self._failed(codes.ResultCode.PEER_LOST, detail)

    def _failed(self, code: codes.ResultCode, detail: str) -> errors.CroftpulleyError:
        return errors.CroftpulleyError(
            self._token.reason or code, detail, run_state=self._attempt.run_state
        )

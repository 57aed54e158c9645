"""The calls by which callers, operators and the platform reach the fleet there."""

from __future__ import annotations

import urllib.parse
from collections.abc import Callable

from croftpulley import codes, errors, interface
from croftpulley.controllers import actors, control_plane, router_state
from croftpulley.endpoints import base as endpoints
from croftpulley.forwarding import vocabulary
from croftpulley.http import wsgi
from croftpulley.platform import documents, instances, names
from croftpulley.settings import formats

_SUBMIT_PATH = "/Configuration.Replace"
_READ_PATH = "/Configuration.Read"
_MOST_ADDRESSES = 64
"""Callers look at no more addresses of one answer."""


class PlatformInterface(interface.Interface):
    """The platform's interface."""

    @property
    def names(self) -> vocabulary.Vocabulary:
        """The names of the headers."""
        return names.VOCABULARY

    @property
    def documents(self) -> formats.DocumentFormat:
        """The platform's form of a configuration."""
        return documents.PlatformDocuments()

    def endpoint_list(self, address: str) -> endpoints.PlatformList:
        """Make the reader of ``GET /instances``."""
        return instances.InstanceList(address)

    def directory(self, view: actors.View[router_state.RouterState], ttl_s: float) -> wsgi.Handler:
        """Make the handler of ``GET /resolution``."""

        def handle(request: wsgi.Request) -> wsgi.Response:
            interface.require(request, "GET", "/resolution")
            hall = dict(urllib.parse.parse_qsl(request.query)).get("zone", "")
            boxes = interface.named_boxes(view.get().boxes, hall)
            addresses = [box.caller_address for box in boxes[:_MOST_ADDRESSES]]
            return wsgi.json_response({"addresses": addresses, "ttlS": ttl_s})

        return handle

    def readiness(self, not_ready: Callable[[], str]) -> wsgi.Handler:
        """Make the handler of ``GET /readiness``."""
        return interface.readiness_handler("/readiness", not_ready)

    def operator(self, plane: control_plane.ControlPlane, address: str) -> wsgi.Handler:
        """Make the handler of the operator's two calls; a box that does not lead names the leader.

        The operator's address has the same port on every box.
        """
        port = address.rpartition(":")[2]

        def handle(request: wsgi.Request) -> wsgi.Response:
            try:
                return _operate(plane, request)
            except control_plane.NotLeaderError as failure:
                return _redirect(failure, port, request.path)

        return handle


def _operate(plane: control_plane.ControlPlane, request: wsgi.Request) -> wsgi.Response:
    if request.path == _SUBMIT_PATH:
        wsgi.require_method(request, "POST")
        document_json = _text(request.body)
        version = plane.submit(documents.number(document_json), document_json)
        return wsgi.json_response({"version": version})
    interface.require(request, "GET", _READ_PATH)
    current = plane.read()
    if not current.version:
        raise errors.CroftpulleyError(codes.ResultCode.NO_CONFIGURATION)
    return wsgi.Response(200, wsgi.JSON, current.document_json.encode())


def _text(body: bytes) -> str:
    try:
        return body.decode()
    except UnicodeDecodeError as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.CONFIGURATION_INVALID, f"the document is not UTF-8: {failure}"
        ) from failure


def _redirect(failure: control_plane.NotLeaderError, port: str, path: str) -> wsgi.Response:
    host = failure.leader_address.rpartition(":")[0]
    if not host:
        return wsgi.error_response(failure)
    location = ("Location", f"http://{host}:{port}{path}")
    return wsgi.Response(307, wsgi.JSON, b"{}", (location,))

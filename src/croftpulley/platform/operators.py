"""The calls by which the platform's operator reaches a control box."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.controllers import control_plane
from croftpulley.endpoints import caches
from croftpulley.http import wsgi
from croftpulley.interfaces import callers, operators
from croftpulley.platform import caches as platform_caches
from croftpulley.platform import documents, instances
from croftpulley.settings import decoding

_SUBMIT_PATH = "/Configuration.Replace"
_READ_PATH = "/Configuration.Read"
_EVACUATE_PATH = "/Evacuation.Begin/"
_RETURN_PATH = "/Evacuation.Finish/"


class PlatformOperators(instances.PlatformInterface, operators.OperatorInterface):
    """The platform's interface for operators."""

    def cache_reader(self) -> caches.CacheReader:
        """Make the reader of ``GET /kv-list``."""
        return platform_caches.EngineCaches()

    def operator(self, plane: control_plane.ControlPlane, address: str) -> wsgi.Handler:
        """Make the handler of the operator's calls; a box that does not lead names the leader.

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
    if operators.has_own_call(request):
        return operators.own_response(plane, request)
    if request.path.startswith((_EVACUATE_PATH, _RETURN_PATH)):
        return _order_hall(plane, request)
    if request.path == _SUBMIT_PATH:
        wsgi.require_method(request, "POST")
        document_json = _text(request.body)
        number = decoding.decode(documents.number, document_json)
        version = plane.submit(number, document_json)
        return wsgi.json_response({"version": version})
    callers.require(request, "GET", _READ_PATH)
    current = plane.read_configuration()
    if not current.version:
        raise errors.CroftpulleyError(codes.ResultCode.NO_CONFIGURATION)
    return wsgi.Response(200, wsgi.JSON, current.document_json.encode())


def _order_hall(plane: control_plane.ControlPlane, request: wsgi.Request) -> wsgi.Response:
    wsgi.require_method(request, "POST")
    evacuate = request.path.startswith(_EVACUATE_PATH)
    hall = request.path.removeprefix(_EVACUATE_PATH if evacuate else _RETURN_PATH)
    evacuated = operators.order_hall(plane, request, hall, evacuate=evacuate)
    return wsgi.json_response({"evacuated": list(evacuated.names)})


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

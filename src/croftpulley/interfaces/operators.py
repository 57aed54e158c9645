"""What operators speak with a control box."""

from __future__ import annotations

import abc
from typing import Any

import orjson

from croftpulley import codes, errors
from croftpulley.controllers import control_plane
from croftpulley.core import halls, suspect_rules
from croftpulley.endpoints import caches
from croftpulley.http import tokens, wsgi
from croftpulley.interfaces import base, callers
from croftpulley.settings import decoding

SUSPECTS_PATH = "/v1/suspects"
"""Requests under which endpoints ended; the fleet's own call, whatever interface is spoken."""
HALLS_PATH = "/v1/halls"
"""Which data halls are evacuated; the fleet's own call too."""

ENDPOINTS_PATH = "/v1/endpoints"
"""What all boxes know of the endpoints; the fleet's own call too."""


class OperatorInterface(base.Interface):
    """Formats and calls of operators; decides nothing."""

    @abc.abstractmethod
    def cache_reader(self) -> caches.CacheReader:
        """Make the reader of what engines keep of prompts."""

    @abc.abstractmethod
    def operator(self, plane: control_plane.ControlPlane, address: str) -> wsgi.Handler:
        """Make the handler of operators' calls on ``address``."""


class OwnOperatorInterface(base.OwnInterface, OperatorInterface):
    """The fleet's own interface (``docs/INTERFACES.md``).

    With a ``token_file`` every call needs the token in it; without one, whoever reaches the address
    is an operator.
    """

    def __init__(self, token_file: str = "") -> None:
        self._token = tokens.TokenCheck(token_file) if token_file else None

    def cache_reader(self) -> caches.CacheReader:
        """Return a reader of nothing: the fleet's own engines do not tell what they keep."""
        return caches.NoCacheReader()

    def operator(self, plane: control_plane.ControlPlane, address: str) -> wsgi.Handler:
        """Make the handler of ``/v1/config`` and ``/v1/status``."""

        def handle(request: wsgi.Request) -> wsgi.Response:
            if self._token is not None:
                self._token.check(request)
            if (request.method, request.path) == ("POST", "/v1/config/submissions"):
                number, document = decoding.decode(_parse_submission, request.body)
                version = plane.submit(number, document)
                return wsgi.json_response({"version": version, "in_force": True})
            if (request.method, request.path) == ("GET", "/v1/status"):
                return wsgi.json_response(plane.status())
            if has_own_call(request):
                return own_response(plane, request)
            callers.require(request, "GET", "/v1/config")
            current = plane.read_configuration()
            held = orjson.Fragment(current.document_json)
            return wsgi.json_response({"version": current.version, "document": held})

        return handle


def has_own_call(request: wsgi.Request) -> bool:
    """Tell whether a request is one of the calls that every interface has."""
    return request.path.startswith((SUSPECTS_PATH, HALLS_PATH, ENDPOINTS_PATH))


def own_response(plane: control_plane.ControlPlane, request: wsgi.Request) -> wsgi.Response:
    """Answer a call that every interface has."""
    if request.path.startswith(HALLS_PATH):
        return _halls_response(plane, request)
    if request.path.startswith(ENDPOINTS_PATH):
        return _endpoints_response(plane, request)
    return _suspects_response(plane, request)


def order_hall(
    plane: control_plane.ControlPlane, request: wsgi.Request, hall: str, *, evacuate: bool
) -> halls.EvacuatedHalls:
    """Carry out an order about a hall, which is a call without a body."""
    if request.body:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST, f"got a body of {len(request.body)} bytes, expected none"
        )
    return plane.evacuate(hall) if evacuate else plane.return_hall(hall)


def _halls_response(plane: control_plane.ControlPlane, request: wsgi.Request) -> wsgi.Response:
    """Answer ``GET /v1/halls`` and ``POST`` or ``DELETE /v1/halls/HALL/evacuation``."""
    if request.path == HALLS_PATH:
        wsgi.require_method(request, "GET")
        return _described_halls(plane, plane.halls())
    hall, slash, rest = request.path.removeprefix(f"{HALLS_PATH}/").partition("/")
    if not slash or rest != "evacuation":
        raise errors.CroftpulleyError(codes.ResultCode.NOT_FOUND, f"got path {request.path!r:.100}")
    if request.method != "DELETE":
        wsgi.require_method(request, "POST")
    evacuate = request.method == "POST"
    return _described_halls(plane, order_hall(plane, request, hall, evacuate=evacuate))


def _described_halls(
    plane: control_plane.ControlPlane, evacuated: halls.EvacuatedHalls
) -> wsgi.Response:
    names = sorted(plane.hall_names | set(evacuated.names))
    described = [{"hall": name, "evacuated": name in evacuated.names} for name in names]
    return wsgi.json_response({"halls": described, "revision": evacuated.revision})


def _endpoints_response(plane: control_plane.ControlPlane, request: wsgi.Request) -> wsgi.Response:
    """Answer ``GET /v1/endpoints``."""
    callers.require(request, "GET", ENDPOINTS_PATH)
    described = [
        {
            "endpoint": each.endpoint.key,
            "pool": each.endpoint.pool,
            "version": each.endpoint.version,
            "hall": each.endpoint.hall,
            "address": each.endpoint.address,
            "leaving": each.endpoint.leaving,
            "held_off": each.is_held_off,
            "in_flight": each.in_flight,
            "resting_s": {box: round(left_s, 1) for box, left_s in each.resting_s.items()},
        }
        for each in plane.endpoints()
    ]
    return wsgi.json_response({"endpoints": described})


def _suspects_response(plane: control_plane.ControlPlane, request: wsgi.Request) -> wsgi.Response:
    """Answer ``GET /v1/suspects`` and ``DELETE /v1/suspects/FINGERPRINT``."""
    if request.path == SUSPECTS_PATH:
        wsgi.require_method(request, "GET")
        return wsgi.json_response({"suspects": [_described(each) for each in plane.suspects()]})
    wsgi.require_method(request, "DELETE")
    fingerprint = request.path.removeprefix(f"{SUSPECTS_PATH}/")
    plane.clear_suspect(fingerprint)
    return wsgi.json_response({"cleared": fingerprint})


def _described(suspect: suspect_rules.Suspect) -> dict[str, Any]:
    return {
        "fingerprint": suspect.fingerprint,
        "workspace": suspect.workspace,
        "crashes": suspect.crashes,
        "endpoints": list(suspect.lives),
        "last_crash_wall_s": suspect.last_crash_wall_s,
        "trials": suspect.trials,
        "refused_until_wall_s": suspect.refused_until_wall_s,
    }


def _parse_submission(body: bytes) -> tuple[int, str]:
    try:
        fields = orjson.loads(body)
        number, document = fields["number"], fields["document"]
    except (ValueError, KeyError, TypeError) as failure:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST, 'expected a JSON object with "number" and "document"'
        ) from failure
    if type(number) is not int or number < 1:
        raise errors.CroftpulleyError(
            codes.ResultCode.BAD_REQUEST,
            f"got number {errors.shown(number)}, expected a number from 1",
        )
    return number, base.document_json(document)

"""The platform's form of a configuration."""

from __future__ import annotations

from croftpulley import codes, errors
from croftpulley.interfaces import base
from croftpulley.platform import fields
from croftpulley.settings import fleet

_KINDS = {
    "idempotent": fleet.RouteKind.REPEATABLE,
    "non_idempotent": fleet.RouteKind.ONCE,
    "streaming": fleet.RouteKind.STREAM,
}
_WEIGHT_SCALE = 1000
"""Weights may be fractions there and are whole numbers here; only their proportion counts."""


class PlatformDocuments(base.DocumentFormat):
    """Reads what the platform's operator submits."""

    def parse(self, document_json: str) -> fleet.FleetConfiguration:
        """Parse and check."""
        document = fields.parse(document_json)
        try:
            configuration = _configuration(document)
            fleet.check(configuration)
        except errors.SettingsErrorGroup as group:
            raise base.invalid_configuration(group) from group
        except ValueError as failure:
            raise errors.CroftpulleyError(
                codes.ResultCode.CONFIGURATION_INVALID, str(failure)
            ) from failure
        return configuration


def number(document_json: str) -> int:
    """Return the number by which the operator orders documents."""
    return fields.parse(document_json).whole("version")


def _configuration(document: fields.Fields) -> fleet.FleetConfiguration:
    limits = document.object("limits")
    defaults = fleet.WireLimits()
    return fleet.FleetConfiguration(
        version=document.whole("version"),
        routes=tuple(_route(each) for each in document.objects("routes")),
        pools=tuple(_pool(each) for each in document.objects("services")),
        workspaces=tuple(_workspace(each) for each in document.objects("tenants")),
        # The fleet's own addition: the platform's form has no place for operators' programs.
        arms=tuple(_arm(each) for each in document.objects("arms")),
        limits=fleet.WireLimits(
            header_size_bytes=limits.whole("maxHeaderBytes", defaults.header_size_bytes),
            body_size_bytes=limits.whole("maxBodyBytes", defaults.body_size_bytes),
            header_wait_ms=limits.number("headerTimeoutMs", defaults.header_wait_ms),
            idle_ms=limits.number("idleTimeoutMs", defaults.idle_ms),
        ),
    )


def _route(route: fields.Fields) -> fleet.Route:
    kind = _KINDS.get(route.text("kind"))
    if kind is None:
        raise ValueError(f"got kind {route.text('kind')!r}, allowed are {', '.join(_KINDS)}")
    time_limit_ms = route.number("timeoutMs")
    return fleet.Route(
        name=route.text("name"),
        host=route.text("host"),
        path_prefix=route.text("pathPrefix"),
        kind=kind,
        shares=_shares(route),
        time_limit_ms=time_limit_ms,
        # A latency, not a moment: until the answer, of a stream until its first event.
        objective_ms=route.number("targetLatencyMs", time_limit_ms),
        gap_ms=route.number("gapTargetMs", time_limit_ms),
        priority=route.whole("priority", 0),
        attempts=route.whole("maxAttempts", 1),
        open=route.flag("anonymous", False),
        # Says only that requests name the parts of their prompt; no caller is bound to a box.
        sticky=route.flag("stickySessions", False),
        resumable=route.flag("streamResumption", False),
        home_regions=route.texts("allowedRegions"),
    )


def _shares(route: fields.Fields) -> tuple[fleet.Share, ...]:
    if not route.has("trafficSplit"):
        return (fleet.Share(pool=route.text("service")),)
    return tuple(
        fleet.Share(pool=each.text("service"), weight=int(each.number("weight") * _WEIGHT_SCALE))
        for each in route.objects("trafficSplit")
    )


def _pool(service: fields.Fields) -> fleet.Pool:
    engine = service.object("inferenceEngine")
    return fleet.Pool(
        name=service.text("name"),
        health_path=service.text("healthCheckPath", "/health"),
        connections=service.whole("connectionLimit", 1000),
        slots=engine.whole("slots", 0),
        cache_tokens=engine.whole("kvCacheTokens", 0),
        cold_per_s=service.number("coldPerS", 0.0),
    )


def _arm(arm: fields.Fields) -> fleet.Arm:
    return fleet.Arm(
        name=arm.text("name"),
        weight=arm.whole("weight", 1),
        score=arm.text("score", ""),
        admit=arm.text("admit", ""),
        acts=arm.flag("acts", True),
    )


def _workspace(tenant: fields.Fields) -> fleet.Workspace:
    return fleet.Workspace(
        name=tenant.text("name"),
        keys=tenant.texts("apiKeys"),
        priority=tenant.whole("priority", 0),
        home_regions=tenant.texts("allowedRegions"),
    )

"""The fleet's agreed configuration: what operators submit and every router obeys."""

from __future__ import annotations

from typing import Any

import attrs

from croftpulley.settings import loader


def _positive(_instance: object, _attribute: attrs.Attribute[Any], value: float) -> None:
    if value <= 0:
        raise ValueError(f"got {value!r}, allowed is more than 0")


def _at_least_one(_instance: object, _attribute: attrs.Attribute[Any], value: float) -> None:
    if value < 1:
        raise ValueError(f"got {value!r}, allowed is 1 or more")


@attrs.frozen(kw_only=True)
class RequestClass:
    """A class of requests; a larger ``priority`` goes first at the engine."""

    name: str
    priority: int = 0


@attrs.frozen(kw_only=True)
class Workspace:
    """A customer and its limit of requests in flight at one entry box."""

    name: str
    in_flight_per_box: int = attrs.field(default=1000, validator=_positive)


@attrs.frozen(kw_only=True)
class Model:
    """A model that callers name and the pool of engines that serves it."""

    name: str
    pool: str


@attrs.frozen(kw_only=True)
class Service:
    """A plain service, the pool of its workers and which calls may not be repeated."""

    name: str
    pool: str
    unrepeatable_calls: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class FleetConfiguration:
    """One version of the configuration. ``version`` 0 means none has been submitted."""

    version: int = 0
    cap_multiple: float = attrs.field(default=1.25, validator=_at_least_one)
    classes: tuple[RequestClass, ...] = (RequestClass(name="standard"),)
    workspaces: tuple[Workspace, ...] = ()
    models: tuple[Model, ...] = ()
    services: tuple[Service, ...] = ()

    def request_class(self, name: str) -> RequestClass | None:
        """Return the class called ``name``, or the first for an empty name."""
        if not name:
            return self.classes[0] if self.classes else None
        return next((each for each in self.classes if each.name == name), None)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace called ``name``."""
        return next((each for each in self.workspaces if each.name == name), None)

    def model(self, name: str) -> Model | None:
        """Return the model called ``name``."""
        return next((each for each in self.models if each.name == name), None)

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``."""
        return next((each for each in self.services if each.name == name), None)


def parse(text: str, path: str = "(submission)") -> FleetConfiguration:
    """Parse and check a submitted document; errors as for `loader.load`."""
    return loader.parse(text, FleetConfiguration, path)

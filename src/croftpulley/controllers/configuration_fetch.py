"""A router's side of configurations in parts: one request at a time, each to one control box.

The renewal controller calls `ConfigurationFetch.step` between its renewals, so that a lease waits
for one call at most, whatever the length of the configuration.
"""

from __future__ import annotations

import logging
import random

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.core import parts
from croftpulley.observe import events
from croftpulley.transport import box_messages, json_codec, links, packing

_LOG = logging.getLogger(__name__)


@attrs.frozen
class Fetched:
    """The whole text of a version and how long fetching took."""

    version: int
    document: str
    size_bytes: int
    took_s: float


class ConfigurationFetch:
    """Fetches the newest version that this router has heard of."""

    def __init__(self, outgoing: links.Links, clock: clocks.Clock, chance: random.Random) -> None:
        self._outgoing = outgoing
        self._clock = clock
        self._chance = chance
        self._gathering = parts.Gathering()
        self._addresses: tuple[str, ...] = ()
        self._leader_address = ""
        self._sources: list[str] = []
        self._others_lag = False
        self._began_s = 0.0
        self._fails = False

    def aim(self, version: int) -> None:
        """Learn of a version; one that is not newer changes nothing."""
        if version > self._gathering.version:
            self._began_s = self._clock.monotonic_s()
        self._gathering.aim(version)

    @property
    def is_incomplete(self) -> bool:
        """Tell whether anything is missing of the newest version."""
        return self._gathering.request() is not None

    @property
    def may_step(self) -> bool:
        """Tell whether there is a part to ask for and a control box not asked in vain yet."""
        return self.is_incomplete and bool(self._sources)

    def begin_round(self, addresses: tuple[str, ...], leader_address: str) -> None:
        """Ask each of these control boxes, the leader last, until one has the next part.

        While others are about to hold the version the leader sends one part a round: guards against
        all routers taking the whole from it before the next heartbeat (0.1 s) tells the others of a
        commit. A configuration of one part is whole at once all the same.
        """
        self._addresses = addresses
        self._leader_address = leader_address
        self._others_lag = False
        self._order_sources()

    def step(self) -> Fetched | None:
        """Ask one control box for the next part; return the whole text with the last part."""
        request = self._gathering.request()
        if request is None or not self._sources:
            return None
        address = self._sources[0]
        try:
            packed = self._gathering.take(self._ask(address, request))
        except errors.CroftpulleyError as failure:
            self._failed(address, request, failure)
            self._sources.pop(0)
            return None
        if packed is not None:
            return self._fetched(packed)
        if self._gathering.request() == request:
            # Not held there yet: a follower learns of a commit with the next heartbeat.
            self._sources.pop(0)
            self._others_lag = True
            return None
        self._fails = False
        if address == self._leader_address:
            # The others may hold it by now; what the leader sends delays its heartbeats.
            self._order_sources()
            if self._others_lag:
                self._sources.remove(address)
        return None

    def _order_sources(self) -> None:
        ordered = parts.sources(self._addresses, self._leader_address, self._chance)
        self._sources = list(ordered)

    def _ask(self, address: str, request: parts.ConfigurationRequest) -> parts.ConfigurationPart:
        body = self._outgoing.to(address).post(
            box_messages.CONFIGURATION_PARTS_PATH, json_codec.encode(request)
        )
        return json_codec.decode(body, parts.ConfigurationPart)

    def _fetched(self, packed: bytes) -> Fetched:
        self._fails = False
        took_s = self._clock.monotonic_s() - self._began_s
        document = packing.unpack(packed)
        return Fetched(self._gathering.version, document, len(packed), took_s)

    def _failed(
        self, address: str, request: parts.ConfigurationRequest, failure: errors.CroftpulleyError
    ) -> None:
        """Log the first failure of a row."""
        if not self._fails:
            events.emit(
                _LOG,
                events.Event.CONFIGURATION_PART_FAILED,
                level=logging.WARNING,
                address=address,
                configuration_version=request.version,
                offset=request.offset,
                problem=str(failure),
            )
        self._fails = True

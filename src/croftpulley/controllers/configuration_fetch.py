"""Downloads configurations to a router in parts, with one request at a time to one control box.

The renewal controller calls `ConfigurationFetch.step` between lease renewals: a renewal is delayed
by one request at most, whatever the size of the configuration.
"""

from __future__ import annotations

import logging
import random

import attrs

from croftpulley import clock as clocks
from croftpulley import errors
from croftpulley.core import configuration_transfer
from croftpulley.observe import events
from croftpulley.transport import box_messages, json_codec, links

_LOG = logging.getLogger(__name__)


@attrs.frozen
class FetchedConfiguration:
    """A complete configuration; ``size_bytes`` is its compressed size."""

    version: int
    document: str
    size_bytes: int
    took_s: float


class ConfigurationFetch:
    """Downloads the newest configuration version that this router knows of."""

    def __init__(self, control_links: links.Links, clock: clocks.Clock, rng: random.Random) -> None:
        self._links = control_links
        self._clock = clock
        self._rng = rng
        self._assembler = configuration_transfer.ConfigurationDownload()
        self._addresses: tuple[str, ...] = ()
        self._leader_address = ""
        self._sources: list[str] = []
        self._followers_lag = False
        self._started_s = 0.0
        self._is_failing = False

    def set_target_version(self, version: int) -> None:
        """Set the version to download; ignored unless it is newer than the current one."""
        if version > self._assembler.version:
            self._started_s = self._clock.monotonic_s()
        self._assembler.set_target(version)

    @property
    def is_incomplete(self) -> bool:
        """Whether parts of the newest version are missing."""
        return self._assembler.request() is not None

    @property
    def may_step(self) -> bool:
        """Whether a part is missing and this round has a control box left to request it from."""
        return self.is_incomplete and bool(self._sources)

    def begin_round(self, addresses: tuple[str, ...], leader_address: str) -> None:
        """Start a round in which each box is tried, the leader last, until one has the next part.

        While followers are about to receive the version, the leader is asked for one part per
        round. Otherwise all routers would download the whole text from it before the next heartbeat
        (0.1 s) tells the followers of the commit. A configuration of one part completes in one
        round all the same.
        """
        self._addresses = addresses
        self._leader_address = leader_address
        self._followers_lag = False
        self._order_sources()

    def step(self) -> FetchedConfiguration | None:
        """Request the next part from one control box; return the configuration once complete."""
        request = self._assembler.request()
        if request is None or not self._sources:
            return None
        address = self._sources[0]
        try:
            packed = self._assembler.add_part(self._request_part(address, request))
        except errors.CroftpulleyError as failure:
            self._on_failure(address, request, failure)
            self._sources.pop(0)
            return None
        if packed is not None:
            return self._finish(packed)
        if self._assembler.request() == request:
            # That box doesn't have it yet: a follower learns of a commit with the next heartbeat.
            self._sources.pop(0)
            self._followers_lag = True
            return None
        self._is_failing = False
        if address == self._leader_address:
            # Followers may have it by now, and sending parts delays the heartbeats of the leader.
            self._order_sources()
            if self._followers_lag:
                self._sources.remove(address)
        return None

    def _order_sources(self) -> None:
        ordered = configuration_transfer.fetch_order(
            self._addresses, self._leader_address, self._rng
        )
        self._sources = list(ordered)

    def _request_part(
        self, address: str, request: configuration_transfer.ConfigurationRequest
    ) -> configuration_transfer.ConfigurationPart:
        body = self._links.to(address).post(
            box_messages.CONFIGURATION_PARTS_PATH, json_codec.encode(request)
        )
        return json_codec.decode(body, configuration_transfer.ConfigurationPart)

    def _finish(self, packed: bytes) -> FetchedConfiguration:
        self._is_failing = False
        took_s = self._clock.monotonic_s() - self._started_s
        document = configuration_transfer.unpack(packed)
        return FetchedConfiguration(self._assembler.version, document, len(packed), took_s)

    def _on_failure(
        self,
        address: str,
        request: configuration_transfer.ConfigurationRequest,
        failure: errors.CroftpulleyError,
    ) -> None:
        """Log the first of consecutive failures."""
        if not self._is_failing:
            events.emit(
                _LOG,
                events.Event.CONFIGURATION_PART_FAILED,
                level=logging.WARNING,
                address=address,
                configuration_version=request.version,
                offset=request.offset,
                problem=str(failure),
            )
        self._is_failing = True

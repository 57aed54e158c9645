"""Boxes without sockets or threads of their own, for sessions whose every byte is compared.

All is the product's own code but for three doubles: scripted engines, the bytes between two
boxes handed over in memory, and a clock moved by hand.
"""

from __future__ import annotations

import itertools
import json

import attrs

from croftpulley import clock as clocks
from croftpulley import codes, errors
from croftpulley.controllers import actors, gate, state, streams
from croftpulley.core import assembly, attempts, membership
from croftpulley.dispatch import local, remote
from croftpulley.endpoints import base as endpoints
from croftpulley.endpoints import connection
from croftpulley.filters import (
    admission,
    base,
    chain,
    choice,
    deadline,
    dispatch,
    identify,
    observe,
    relay,
    serving,
)
from croftpulley.http import caller_app, peer_app, wsgi
from croftpulley.observe import metrics
from croftpulley.settings import fleet
from croftpulley.transport import messages

WORDS = ("Sow ", "the ", "barley ", "in ", "May.")
ANSWER = "".join(WORDS)


class Transcript:
    """The lines of a session's golden file."""

    def __init__(self):
        self.lines = []

    def add(self, line):
        self.lines.append(line)

    @property
    def text(self):
        return "\n".join(self.lines) + "\n"


class Engines(endpoints.EngineClient):
    """Engines that all give the same answer; one may break off after some words."""

    def __init__(self, transcript):
        self._transcript = transcript
        self.break_after = {}

    def start(self, address, order, attempt, token):
        self._transcript.add(
            f"  engine {address}: attempt {order.attempt} from {order.resume_offset_chars}"
            f" priority {order.priority}"
        )
        attempt.enter(attempts.Phase.SENT)
        attempt.enter(attempts.Phase.ANSWERING)
        return EngineStream(self._words(order, address), attempt)

    def _words(self, order, address):
        offset, events = 0, []
        for word in WORDS:
            if offset >= order.resume_offset_chars:
                events.append((assembly.Chunk(offset, word),))
            offset += len(word)
        left = self.break_after.pop(address, None)
        if left is not None:
            return [*events[:left], None]
        return [*events, (messages.Finished("stop", offset, 12, 4, len(WORDS)),)]

    def cancel(self, address, request_id, attempt):
        self._transcript.add(f"  engine {address}: cancel attempt {attempt}")

    def load(self, address):
        raise NotImplementedError


class EngineStream(endpoints.EngineStream):
    """Yields what the script says; ``None`` is a connection that breaks."""

    def __init__(self, script, attempt):
        self._script = script
        self._attempt = attempt

    def batches(self):
        for batch in self._script:
            if batch is None:
                raise errors.CroftpulleyError(codes.ResultCode.ENGINE_BROKE)
            if isinstance(batch[-1], messages.Finished):
                self._attempt.enter(attempts.Phase.DONE)
            yield batch

    def shutdown(self):
        raise NotImplementedError

    def close(self):
        pass


class InMemoryExchange(connection.Exchange):
    """Hands the bytes to the other box's application and reads its body."""

    def __init__(self, app, attempt, token):
        target = connection.Target("127.0.0.1:1", 1.0, 1.0)
        super().__init__(target, attempt, token, connection.PEER_FAILURES)
        self._app = app
        self._body = iter(())
        self._end = lambda: None

    def begin(self, request, on_headers):
        self._attempt.enter(attempts.Phase.SENT)
        response = self._app.handle(
            wsgi.Request(request.method, request.path, "", {}, request.body, {})
        )
        self._body, self._end = iter(response.body), response.close

    def read(self, size_bytes):
        return next(self._body, b"")

    def close(self):
        self._end()


class InMemoryRemote(remote.RemoteDispatcher):
    """Reaches the other boxes of the same session."""

    def __init__(self, peers, counters):
        super().__init__(1.0, 1.0, counters)
        self._peers = peers

    def _exchange(self, peer_address, attempt, token):
        return InMemoryExchange(self._peers[peer_address], attempt, token)


class AtOnce(local.LocalDispatcher):
    """Sends cancel orders in the caller's own thread, so that their place in the file is fixed."""

    def end(self, order, address, attempt):
        if attempt.phase in (attempts.Phase.SENT, attempts.Phase.ANSWERING):
            self._cancel_and_release(order, address)
        else:
            super().end(order, address, attempt)


class Session:
    """Two boxes, two engines, one owned by each."""

    def __init__(self, configuration=None):
        self.transcript = Transcript()
        self.clock = clocks.ManualClock()
        self.engines = Engines(self.transcript)
        self.peers = {}
        self.apps = {}
        self.views = {}
        self.closed = {}
        self._ids = (f"r-{number}" for number in itertools.count(1))
        boxes = tuple(
            membership.Box(name, "hall-a", f"{name}:callers", f"{name}:peers")
            for name in ("box-1", "box-2")
        )
        self.state = state.FleetState(
            lease_until_s=1000.0,
            configuration=configuration or default_configuration(),
            directory=membership.Directory(
                version=1,
                boxes=boxes,
                engines=tuple(engine(f"engine-{n}") for n in (1, 2)),
                owners=tuple(membership.Ownership(f"engine-{n}", f"box-{n}", 1) for n in (1, 2)),
            ),
        )
        for box in boxes:
            self._make_box(box)

    def _make_box(self, box):
        counters = metrics.Metrics()
        view = actors.View(self.state)
        closed = actors.View(False)
        watch = streams.Streams(100, self.clock, counters)
        engine_gate = gate.EngineGate(box.name, self.clock, counters)
        engine_gate.apply_fleet_state(self.state, ())
        for each in engine_gate.unheard():
            engine_gate.begin_load_query(each.name)
            engine_gate.store_load_report(each.name, running=0, slots=0)
        dispatcher = AtOnce(engine_gate, self.engines)
        self.peers[box.peer_address] = peer_app.PeerApp(dispatcher, watch, self.clock, counters)
        filters = chain.Filters(
            observe=observe.Observe(counters, self.clock),
            serving=serving.Serving(view, closed, self.clock),
            identify=identify.Identify(),
            deadline=deadline.Deadline(watch, 60_000, 600_000),
            admission=admission.Admission(watch),
            choose_engine=choice.ChooseEngine(),
            relay=relay.Relay(6, 0.0, counters),
            dispatch=dispatch.Dispatch(
                box.name,
                dispatcher,
                InMemoryRemote(self.peers, counters),
                8,
                view,
                0.0,
                self.clock,
            ),
            claim=None,
            choose_worker=None,
            call_worker=None,
        )
        app = caller_app.CallerApp(
            view,
            chain.chat_chain(filters),
            _no_services,
            5.0,
            self.clock,
            lambda: next(self._ids),
        )
        self.apps[box.name] = wsgi.Application(app.handle, 64)
        self.views[box.name], self.closed[box.name] = view, closed

    def change(self, **changes):
        """Publish a changed fleet state on every box."""
        self.state = attrs.evolve(self.state, **changes)
        for view in self.views.values():
            view.publish(self.state)

    def ask(self, box, query):
        """Ask a box which boxes to use."""
        self._exchange(box, "GET", "/v1/entry", query, b"", {}, None)

    def chat(self, box, chat="chat-1", read_events=None, **changes):
        """Send one turn; ``read_events`` is after how many the caller goes away."""
        body = {
            "model": "almanac",
            "messages": [{"role": "user", "content": "what shall I sow"}],
            "stream": True,
        }
        headers = {"HTTP_X_WORKSPACE": "thistledown", "HTTP_X_CHAT": chat}
        headers |= changes.pop("headers", {})
        data = json.dumps(body | changes).encode()
        self._exchange(box, "POST", "/v1/chat/completions", "", data, headers, read_events)

    def note(self, line):
        self.transcript.add(f"# {line}")

    def _exchange(self, box, method, path, query, body, headers, read_events):
        self.transcript.add(f"> {box} {method} {path} {query} {body.decode()}".rstrip())
        environ = {
            "REQUEST_METHOD": method,
            "PATH_INFO": path,
            "QUERY_STRING": query,
            "wsgi.input": _Whole(body),
            **headers,
        }

        def start_response(status, response_headers):
            self.transcript.add(f"< {status}")
            for name, value in response_headers:
                self.transcript.add(f"< {name}: {value}")

        chunks = self.apps[box](environ, start_response)
        for number, chunk in enumerate(chunks):
            if number == read_events:
                self.transcript.add("# the caller goes away")
                break
            for line in chunk.decode().splitlines():
                self.transcript.add(f"< {line}".rstrip())
        chunks.close()
        self.transcript.add("")


@attrs.frozen
class _Whole:
    body: bytes

    def read(self):
        return self.body


def _no_services(_exchange: base.Exchange) -> base.Reply:
    raise NotImplementedError


def engine(name, leaving=False):
    kind = membership.EndpointKind.ENGINE
    return membership.Endpoint(name, kind, "llm", name, "hall-a", "1", leaving)


def default_configuration(**changes):
    fields = {
        "classes": (fleet.RequestClass(name="hint", priority=10),),
        "workspaces": (fleet.Workspace(name="thistledown"),),
        "models": (fleet.Model(name="almanac", pool="llm"),),
    }
    return fleet.FleetConfiguration(version=1, **(fields | changes))

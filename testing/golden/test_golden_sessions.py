"""Whole sessions against their golden files.

``CROFTPULLEY_WRITE_GOLDEN=1 make test`` writes the files anew; read the difference before you
commit it.
"""

from __future__ import annotations

import os
import pathlib

import attrs
import pytest

from golden import sessions

FOLDER = pathlib.Path(__file__).parent / "files"


def returning():
    session = sessions.Session()
    session.ask("box-2", "workspace=thistledown&chat=chat-1")
    session.chat("box-1")
    session.note("the chat returns after a pause, on the other box")
    session.clock.advance(300.0)
    session.chat("box-2")
    session.chat("box-2", stream=False)
    return session


def engine_death():
    session = sessions.Session()
    for name in ("engine-1", "engine-2"):
        session.note(f"{name} breaks off after two words, if it is asked")
        session.engines.break_after = {name: 2}
        session.chat("box-1", stream_options={"include_usage": True})
    session.note("both break off")
    session.engines.break_after = {"engine-1": 2, "engine-2": 1}
    session.chat("box-1")
    return session


def refused():
    session = sessions.Session()
    session.chat("box-1", headers={"HTTP_X_WORKSPACE": "nobody"})
    session.chat("box-1", headers={"HTTP_X_CLASS": "urgent"})
    session.chat("box-1", headers={"HTTP_X_DEADLINE_MS": "-5"})
    session.chat("box-1", model="none")
    session.note("every engine is leaving")
    directory = session.state.directory
    leaving = tuple(attrs.evolve(each, leaving=True) for each in directory.engines)
    session.change(directory=attrs.evolve(directory, version=2, engines=leaving))
    session.chat("box-1")
    session.note("the lease has ended")
    session.clock.advance(2000.0)
    session.chat("box-1")
    return session


def caller_gone():
    session = sessions.Session()
    session.note("at the box that owns the engine")
    session.chat("box-1", read_events=2)
    session.note("at the other box")
    session.chat("box-2", read_events=2)
    return session


def planned_stop():
    session = sessions.Session()
    session.ask("box-1", "workspace=thistledown&chat=chat-1")
    session.note("box-1 drains: it is named no more and still serves cached answers")
    directory = session.state.directory
    boxes = (attrs.evolve(directory.boxes[0], draining=True), directory.boxes[1])
    session.change(directory=attrs.evolve(directory, version=2, boxes=boxes))
    session.ask("box-2", "workspace=thistledown&chat=chat-1")
    session.chat("box-1")
    session.note("the cached answers have run out")
    session.closed["box-1"].publish(True)
    session.chat("box-1")
    return session


@pytest.mark.parametrize(
    "play", [returning, engine_death, refused, caller_gone, planned_stop], ids=lambda f: f.__name__
)
def test_a_session_is_byte_for_byte_its_golden_file(play):
    got = play().transcript.text
    path = FOLDER / f"{play.__name__}.txt"
    if os.environ.get("CROFTPULLEY_WRITE_GOLDEN"):
        path.parent.mkdir(exist_ok=True)
        path.write_text(got, encoding="utf-8")
    assert got == path.read_text(encoding="utf-8")

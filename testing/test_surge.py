"""A surge of chats that all prefer one engine, seen from the engines' side."""

from __future__ import annotations

from concurrent import futures

from croftpulley.core import choice

CHATS = 24
ENGINES = 3
CAP_MULTIPLE = 1.25


def chats_of_one_engine(fleet):
    """Return chats that prefer the same engine."""
    names = [engine.settings.name for engine in fleet.engines]
    wanted = []
    for number in range(1000):
        key = choice.chat_key("clinic", "triage", f"chat-{number}", [])
        if choice.order(key, names)[0] == names[0]:
            wanted.append(f"chat-{number}")
    return wanted[:CHATS]


def test_no_engine_is_buried_by_chats_that_all_prefer_it(make_fleet):
    """The mean never exceeds CHATS / ENGINES, so nor may the cap computed from it."""
    fleet = make_fleet(entries=2, engines=ENGINES)
    chats = chats_of_one_engine(fleet)

    def send(number):
        box = fleet.entries[number % 2]
        slow = {"token_interval_ms": 30}
        return fleet.chat(chats[number], box, max_tokens=30, metadata=slow).status

    with futures.ThreadPoolExecutor(CHATS) as pool:
        statuses = list(pool.map(send, range(CHATS)))
    assert statuses == [200] * CHATS
    most = CAP_MULTIPLE * CHATS / ENGINES + 1
    assert max(engine.most_running for engine in fleet.engines) <= most

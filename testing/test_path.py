"""The whole path: caller, entry boxes, control, engines and workers, over real sockets."""

from __future__ import annotations

import json

from croftpulley.fakes import answers


def expected(response_request):
    return "".join(answers.tokens(response_request, 16))


def request_of(chat):
    messages = [{"role": "user", "content": f"the question of {chat}"}]
    return {"model": "triage", "messages": messages}


def test_a_whole_answer_comes_back(make_fleet):
    fleet = make_fleet()
    answer = fleet.chat("chat-1")
    assert answer.status == 200
    content = answer.json()["choices"][0]["message"]["content"]
    assert content == expected(request_of("chat-1"))


def test_a_streamed_answer_ends_with_done(make_fleet):
    fleet = make_fleet()
    data = fleet.chat("chat-1", stream=True).read().decode()
    events = [line.removeprefix("data: ") for line in data.splitlines() if "data: " in line]
    texts = [json.loads(event)["choices"][0]["delta"].get("content", "") for event in events[:-1]]
    assert events[-1] == "[DONE]"
    assert "".join(texts) == expected(request_of("chat-1"))


def test_every_box_answers_for_every_chat_and_the_chat_stays_at_its_engine(make_fleet):
    fleet = make_fleet(entries=3, engines=4)
    for box in fleet.entries:
        for number in range(8):
            assert fleet.chat(f"chat-{number}", box).status == 200
    served = {}
    for engine in fleet.engines:
        for record in engine.records():
            served.setdefault(record.chat_key, set()).add(engine.settings.name)
    assert len(served) == 8
    assert all(len(engines) == 1 for engines in served.values())


def test_a_call_with_a_key_runs_once_whichever_box_it_is_resent_through(make_fleet):
    fleet = make_fleet(entries=2, workers=2)
    first = fleet.call("confirm", key="k-1", box=fleet.entries[0])
    again = fleet.call("confirm", key="k-1", box=fleet.entries[1])
    assert first.status == again.status == 200
    assert first.data == again.data
    assert sum(worker.runs["k-1"] for worker in fleet.workers) == 1

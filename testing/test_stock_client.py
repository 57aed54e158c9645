"""A stock chat-completions client works against an entry box, unchanged."""

from __future__ import annotations

import openai
import pytest


@pytest.fixture
def client(make_fleet):
    fleet = make_fleet()
    with openai.OpenAI(
        base_url=f"http://{fleet.entries[0].caller_address}/v1",
        api_key="unused",
        default_headers={"X-Workspace": "clinic"},
        max_retries=0,
    ) as made:
        yield made


MESSAGES = [{"role": "user", "content": "when is the next slot"}]


def test_whole_and_streamed_answers_are_the_same(client):
    whole = client.chat.completions.create(model="triage", messages=MESSAGES)
    stream = client.chat.completions.create(
        model="triage", messages=MESSAGES, stream=True, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    text = "".join(each.choices[0].delta.content or "" for each in chunks if each.choices)
    assert text == whole.choices[0].message.content
    assert whole.choices[0].finish_reason == "stop"
    assert chunks[-1].usage.prompt_tokens == whole.usage.prompt_tokens == 5


def test_models_are_listed(client):
    assert [model.id for model in client.models.list()] == ["triage"]


def test_an_error_has_the_shape_that_clients_know(client):
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(model="none", messages=MESSAGES)
    assert caught.value.type == "unknown_model"
    assert caught.value.code == "13"

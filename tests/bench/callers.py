"""Send requests to the nodes of a test system as callers do."""

import json


def call(world, node, method, path, workspace="counter", extra_headers=None, **options):
    """Send a caller's request to a node."""
    credential = world.credential(node.fleet, workspace)
    headers = {"Authorization": f"Bearer {credential}", **(extra_headers or {})}
    url = node.callers_url + path
    return world.http.request(method, url, headers=headers, **options)


def chat(world, node, content, max_tokens, **options):
    """Send a streamed model request to a node."""
    document = {
        "model": "parts",
        "messages": [{"role": "user", "content": content}],
        "max_tokens": max_tokens,
        "stream": True,
    }
    return call(world, node, "POST", "/v1/chat/completions", json=document, **options)


def text_of(stream):
    """Return the text of an event stream; fail if its end marker is missing."""
    events = stream.decode().split("\n\n")
    assert events[-2:] == ["data: [DONE]", ""], events[-2:]
    chunks = [json.loads(event.removeprefix("data: ")) for event in events[:-2]]
    deltas = [chunk["choices"][0]["delta"] for chunk in chunks]
    return "".join(delta.get("content", "") for delta in deltas)

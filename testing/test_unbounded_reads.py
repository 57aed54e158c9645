"""No code reads bytes without saying how many, but in the places that are named here."""

from __future__ import annotations

import ast
import pathlib

import pytest

SOURCE = pathlib.Path(__file__).parents[1] / "src" / "croftpulley"
SIZED = ("read", "read1", "readline", "recv", "read_chunked", "stream")
"""Bounded only by an argument."""
NEVER = ("readall", "readlines", "drain_conn", "get_all")
"""Bounded by nothing."""
WHOLE = ("request", "urlopen")
"""Of the HTTP library: these read a whole body unless they are told not to."""
HTTP = ("urllib3", "http.client", "croftpulley.endpoints.sockets")
STATE = ("_command_log", "log")
"""What is read from these is this process's own state."""
ALLOWED = {
    ("http/wsgi.py", "stream.read()"): "a request's body in memory, within its listener's limits",
    ("controllers/listing.py", "self._platform.read()"): "a list, of MAX_DOCUMENT_BYTES a page",
    ("controllers/endpoints.py", "self._platform.read()"): "the same",
    ("fakes/forwarded.py", "connection.reader.read()"): "a stand-in; its caller sends nothing more",
    ("bench/caller.py", "self._pool.request"): "the bench's own boxes",
    ("bench/scrape.py", "_POOL.request"): "the bench's own boxes",
}


def names_of_http(tree):
    """Tell whether a module uses the HTTP library."""
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {each.name for each in node.names}
        elif isinstance(node, ast.ImportFrom):
            names |= {f"{node.module}.{each.name}" for each in node.names}
    return any(name.startswith(HTTP) for name in names)


def is_bounded(call):
    """Tell whether a call has a size that may be one."""
    sizes = [*call.args, *(each.value for each in call.keywords if each.arg in ("size", "amt"))]
    if not sizes:
        return False
    try:
        size = ast.literal_eval(sizes[0])
    except ValueError:
        return True
    return isinstance(size, int) and size >= 0


def is_preloaded(call):
    """Tell whether a call of the HTTP library's reads a whole body."""
    return not any(
        each.arg == "preload_content" and getattr(each.value, "value", None) is False
        for each in call.keywords
    )


def is_state(function):
    """Tell whether a method is one of this process's own state."""
    holder = function.value
    return getattr(holder, "attr", getattr(holder, "id", "")) in STATE


def unbounded(text):
    """Return the expressions of a module that read without a bound."""
    tree = ast.parse(text)
    uses_http = names_of_http(tree)
    found = []
    for node in ast.walk(tree):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)):
            continue
        name = node.func.attr
        if name in NEVER or (name in SIZED and not is_bounded(node) and not is_state(node.func)):
            found.append(ast.unparse(node))
        elif name in WHOLE and uses_http and is_preloaded(node):
            found.append(ast.unparse(node.func))
    return found


def test_no_code_reads_without_a_bound():
    found = {
        (str(path.relative_to(SOURCE)), each)
        for path in SOURCE.rglob("*.py")
        for each in unbounded(path.read_text(encoding="utf-8"))
    }
    assert found == set(ALLOWED)


@pytest.mark.parametrize(
    "text",
    [
        "self.fp.readline()",
        "self.fp.readline(-1)",
        "file.read(None)",
        "file.read(size=-1)",
        "file.readlines(100)",
        "raw.readall()",
        "import urllib3\npool.request('GET', '/').data",
        "from croftpulley.endpoints import sockets\npool.urlopen('GET', '/', preload_content=True)",
    ],
)
def test_a_read_without_a_bound_is_found(text):
    assert len(unbounded(text)) == 1


@pytest.mark.parametrize(
    "text",
    [
        "self.fp.readline(MAX_LINE_BYTES)",
        "file.read(65_536)",
        "self._command_log.read()",
        "import urllib3\npool.request('GET', '/', preload_content=False)",
    ],
)
def test_a_read_with_a_bound_is_not(text):
    assert unbounded(text) == []

"""What a program sets and leaves out while it loads, to serve sooner and to take less memory.

A router's start is a good part of each outage on a box with half a core.
"""

from __future__ import annotations

import contextlib
import ctypes
import gc
import importlib.util
import sys
import types

_NOT_SPOKEN = ("ssl", "_hashlib")
"""Our programs speak no TLS. The HTTP library works without, as on a Python that is built without
OpenSSL; hashing then comes from Python's own modules. A router takes 25.7 MB instead of 30.1 MB
(resident size after loading, means of three loads each)."""
_LIBRARY, _UNUSED_PART = "urllib3", "urllib3.http2"
"""HTTP/2 is not spoken either. What the HTTP library loads for it reads the metadata of installed
packages, and that takes a fifth of the time that the library takes in all."""
_UNUSED = ("getopt",)
"""What a library reads command lines with."""
_LOADED_WITHOUT = ("hashlib", "http.client", "urllib.request")
"""Modules that lack what needs TLS for good. Whatever is loaded later gets them whole; those that
were loaded before go on with theirs."""


_MAX_ARENAS_OPTION = -8
"""M_ARENA_MAX of the system's ``malloc.h``."""


def share_allocator() -> None:
    """Have all threads allocate from one pool; call this before there is a second thread.

    The system's allocator makes pools for up to eight threads a processor. Each keeps what its
    threads once needed, so that a process grows with every burst of long answers. Python's threads
    allocate in turn anyway. Without such an option of the allocator this does nothing.
    """
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_MAX_ARENAS_OPTION, 1)


def begin() -> None:
    """Call this before anything else is loaded."""
    share_allocator()
    # Nothing that loading makes is garbage, so nobody need look for it. With that, and without the
    # libraries that serve no request (`observe.metrics`), a router loads in 0.39 s of processor
    # time instead of 0.44 s (means of 12 loads each in turn on a busy machine, standard deviations
    # 0.03 and 0.04 s).
    gc.disable()
    for name in _NOT_SPOKEN:
        # An import of it fails as if it were not there.
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
    for name in _UNUSED:
        sys.modules.setdefault(name, types.ModuleType(name))
    if _LIBRARY not in sys.modules:
        sys.modules[_UNUSED_PART] = _empty_package(_UNUSED_PART)


def _empty_package(name: str) -> types.ModuleType:
    """Return a package without what its own code defines; its modules can be loaded."""
    library, _, part = name.partition(".")
    found = importlib.util.find_spec(library)
    folders = found.submodule_search_locations if found else None
    package = types.ModuleType(name)
    package.__path__ = [f"{folder}/{part}" for folder in folders or ()]
    return package


def finish() -> None:
    """Call this when all is loaded: what is asked for later may load anything."""
    for name in _NOT_SPOKEN:
        if sys.modules.get(name, name) is None:
            del sys.modules[name]
    for name in (*_LOADED_WITHOUT, *_UNUSED, _UNUSED_PART):
        sys.modules.pop(name, None)
    gc.freeze()
    gc.enable()

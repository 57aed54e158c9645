"""Forwards requests unchanged: each gets a route, an endpoint and one response.

The body is opaque here. The fleet reads what it must know of a request from headers, whose names
are in a `vocabulary.HeaderNames`.
"""

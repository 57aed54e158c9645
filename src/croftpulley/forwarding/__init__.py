"""Requests passed on as they are: found a route, an endpoint, and one answer each.

The body is opaque here. What the fleet must know of a request stands in headers whose names are a
`vocabulary.Vocabulary`.
"""

"""Engines, traffic and routers in virtual time, to compare ways of choosing."""

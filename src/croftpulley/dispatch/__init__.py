"""Runs one attempt at one engine: in this box if it owns the engine, else in the owner."""

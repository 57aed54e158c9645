"""Carrying out one attempt at one engine: by this box if it owns the engine, else by the owner."""

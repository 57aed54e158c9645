"""The users' platform: its names, formats and calls, decoded into the fleet's own types.

Nothing here decides anything, and no name of the platform is known outside (a test holds both the
code and this boundary together). What the names mean: ``docs/PLATFORM.md``.
"""

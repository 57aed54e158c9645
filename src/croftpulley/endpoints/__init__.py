"""Clients of what the fleet serves and of the platform, behind abstract base classes."""

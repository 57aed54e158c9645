"""Clients for engines, workers and the platform, behind abstract base classes."""

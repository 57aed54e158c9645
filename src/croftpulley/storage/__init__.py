"""Durable storage in the data folder."""

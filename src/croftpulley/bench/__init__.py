"""Experiments behind ``croftpulley bench``."""

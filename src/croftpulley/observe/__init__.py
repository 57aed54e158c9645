"""Observability: numbered log events, structured logs, metrics and log analysis."""

"""Operators' programs for routing and admission."""

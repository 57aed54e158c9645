"""Durable state under the data folder."""

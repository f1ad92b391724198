"""Feeds: long-lived event streams from backend servers to callers."""

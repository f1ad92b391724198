"""Decisions for flows that are passed on packet by packet; no I/O."""

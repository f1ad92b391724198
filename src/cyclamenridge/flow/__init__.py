"""Forwarding decisions for the packets of flows; no I/O."""

"""Balancer core: events in, effects out."""

"""Interfaces that the core needs from the outside."""

"""Interfaces between the core and its environment; adapters implement them."""

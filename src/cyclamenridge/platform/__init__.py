"""Adapters for the platform's packets, settings, store and its records."""

"""Benchmark experiments."""

"""Benchmark experiments and the report of scored runs."""

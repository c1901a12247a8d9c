"""Benchmarks; each module prints a table with targets beside figures."""

"""Benchmarks; each module prints tables of its results and their targets."""

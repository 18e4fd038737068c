"""Provide stand-ins of the platform for tests and benchmarks."""

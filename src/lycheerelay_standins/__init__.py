"""Stand in for the platform in tests and benchmarks."""

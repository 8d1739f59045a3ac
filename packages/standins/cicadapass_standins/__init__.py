"""HTTP stand-ins for the platform and the upstreams in tests and benchmarks."""

"""Stand-ins for platform and upstreams, a load generator and a demonstration."""

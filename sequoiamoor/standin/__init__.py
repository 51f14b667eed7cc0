"""Small stand-ins for the platform and the upstreams, and a demonstration."""

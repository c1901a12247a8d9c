"""Small stand-ins for the platform, for tests and local runs."""

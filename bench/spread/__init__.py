"""Models of ways to spread a configuration."""

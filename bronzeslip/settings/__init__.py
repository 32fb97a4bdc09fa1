"""Settings of the programs from flags and environment variables."""

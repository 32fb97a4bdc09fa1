"""HTTP server shared by the daemons."""

"""Routes, workspaces and limits of the active configuration."""

"""Routes, workspaces and limits of the configuration in force."""

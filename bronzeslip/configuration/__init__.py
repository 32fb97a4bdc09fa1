"""Storage, patching and activation of the numbered configuration."""

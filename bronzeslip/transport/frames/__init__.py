"""Messages that cross a peer connection."""

"""Messages of the peer protocol."""

"""Stand-in for a faulty endpoint that sends more than one response."""

"""Stand-ins for the external systems that bronzeslip talks to."""

"""Clock that a test moves."""


class ManualClock:
    """Monotonic clock that stands still until it is moved."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s

    def advance(self, seconds):
        self.now_s += seconds

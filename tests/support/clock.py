"""Clock that a test advances manually."""


class ManualClock:
    """Monotonic clock that changes only when it is advanced."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s

    def advance(self, seconds):
        self.now_s += seconds

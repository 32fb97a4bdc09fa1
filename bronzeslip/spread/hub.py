"""States of all prefixes that a process replicates."""

from bronzeslip.spread import local_follower
from bronzeslip.spread import prefix_state


class PrefixHub:
    """States by prefix, updated by sources and read by followers."""

    def __init__(self, prefixes: tuple[str, ...]) -> None:
        self._states = {
            prefix: prefix_state.PrefixState(prefix) for prefix in prefixes
        }

    def states(self) -> tuple[prefix_state.PrefixState, ...]:
        """Returns the states of all prefixes."""
        return tuple(self._states.values())

    def state(self, prefix: str) -> prefix_state.PrefixState:
        """Returns the state of exactly this prefix."""
        return self._states[prefix]

    def find_state(self, prefix: str) -> prefix_state.PrefixState | None:
        """Returns the state that contains the keys of a prefix, or None."""
        return next(
            (
                state
                for state in self._states.values()
                if prefix.startswith(state.prefix)
            ),
            None,
        )

    def create_follower(
        self,
        prefix: str,
        on_list: local_follower.OnList,
        on_event: local_follower.OnEvent,
    ) -> local_follower.LocalFollower:
        """Creates a follower of a prefix within this process.

        Raises:
            ValueError: If no state contains the prefix.
        """
        state = self.find_state(prefix)
        if state is None:
            raise ValueError(
                f"prefix {prefix!r} is not replicated by this process"
            )
        return local_follower.LocalFollower(state, prefix, on_list, on_event)

    @property
    def synced(self) -> bool:
        """Whether every prefix has received its initial state."""
        return all(state.synced for state in self._states.values())

    def age_s(self) -> float:
        """Returns the age of the oldest prefix state, in seconds."""
        return max(state.age_s() for state in self._states.values())

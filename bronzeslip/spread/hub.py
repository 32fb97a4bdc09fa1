"""Every prefix that a process follows."""

from bronzeslip.spread import local_follower
from bronzeslip.spread import prefix_state


class PrefixHub:
    """States by prefix, fed by sources and read by followers."""

    def __init__(self, prefixes: tuple[str, ...]) -> None:
        self._states = {
            prefix: prefix_state.PrefixState(prefix) for prefix in prefixes
        }

    def states(self) -> tuple[prefix_state.PrefixState, ...]:
        """Lists the states."""
        return tuple(self._states.values())

    def state(self, prefix: str) -> prefix_state.PrefixState:
        """Returns the state of exactly a prefix."""
        return self._states[prefix]

    def find_state(self, prefix: str) -> prefix_state.PrefixState | None:
        """Finds the state that holds the keys of a prefix."""
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
            ValueError: If no state holds the prefix.
        """
        state = self.find_state(prefix)
        if state is None:
            raise ValueError(f"prefix {prefix!r} is not followed")
        return local_follower.LocalFollower(state, prefix, on_list, on_event)

    @property
    def synced(self) -> bool:
        """Whether every prefix has a state."""
        return all(state.synced for state in self._states.values())

    def age_s(self) -> float:
        """Returns the time since the platform confirmed every prefix."""
        return max(state.age_s() for state in self._states.values())

"""Active version of the configuration in this process."""

from bronzeslip import last_confirmation
from bronzeslip import logs
from bronzeslip.routes import route_table

logger = logs.get_logger(__name__)


class CurrentTable:
    """Holds the newest known version and rejects older ones.

    Attributes:
        confirmation: Confirmed whenever the newest version is known.
    """

    def __init__(self) -> None:
        self.confirmation = last_confirmation.LastConfirmation()
        self._table: route_table.RouteTable | None = None

    @property
    def table(self) -> route_table.RouteTable | None:
        """Newest known version, or None before the first one."""
        return self._table

    def adopt(self, new_table: route_table.RouteTable) -> bool:
        """Activates a version unless the active one is as new or newer.

        Returns:
            Whether the version was activated.
        """
        if self._table is not None and new_table.version <= self._table.version:
            return False
        logger.info(
            "configuration.adopted",
            version=new_table.version,
            max_age_s=self.confirmation.rounded_age_s,
        )
        self._table = new_table
        return True

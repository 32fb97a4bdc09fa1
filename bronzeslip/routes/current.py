"""The version of the configuration that is in force here."""

from bronzeslip import logs
from bronzeslip.routes import route_table

logger = logs.get_logger(__name__)


class CurrentTable:
    """Holds the newest version; never goes back to an older one."""

    def __init__(self) -> None:
        self._table: route_table.RouteTable | None = None

    @property
    def table(self) -> route_table.RouteTable | None:
        """The newest version known, or None before the first."""
        return self._table

    def adopt(self, new_table: route_table.RouteTable) -> bool:
        """Puts a version in force unless a newer one is.

        Returns:
            Whether it is in force now.
        """
        if self._table is not None and new_table.version <= self._table.version:
            return False
        logger.info("configuration.adopted", version=new_table.version)
        self._table = new_table
        return True

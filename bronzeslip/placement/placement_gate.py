"""Decides which services use coordinated placement."""

from collections.abc import Callable

from bronzeslip import ids
from bronzeslip.entry import contract
from bronzeslip.entry import vm_config
from bronzeslip.forwarding import gateway_count
from bronzeslip.routes import current
from bronzeslip.settings import entry


class PlacementGate:
    """Enables coordinated placement for model services that call for it."""

    def __init__(
        self,
        settings: entry.EntrySettings,
        this_vm: vm_config.VmConfig,
        current_table: current.CurrentTable,
        gateways: gateway_count.GatewayCount,
        states_pace: Callable[[ids.ServiceName], bool],
    ) -> None:
        """Initializes the gate.

        Args:
            settings: Policy for choosing endpoints.
            this_vm: Contracts of the deployment.
            current_table: Current configuration.
            gateways: Number of running gateways.
            states_pace: Returns whether an endpoint of a service has stated
                its pace.
        """
        self._is_by_cost = settings.placement is entry.Placement.COST
        self._has_pressure = contract.Contract.PRESSURE in this_vm.contracts
        self._current_table = current_table
        self._gateways = gateways
        self._states_pace = states_pace

    def is_coordinated(self, service_name: ids.ServiceName) -> bool:
        """Returns whether the generations of a service are coordinated."""
        return (
            self._is_by_cost
            and self._gateways.is_known
            and (self._has_pressure or self._states_pace(service_name))
            and self._has_engines(service_name)
        )

    def _has_engines(self, service_name: ids.ServiceName) -> bool:
        table = self._current_table.table
        service = None if table is None else table.service(service_name)
        return service is not None and service.engine is not None

"""Construction of a sidecar's reconciler."""

from bronzeslip import ids
from bronzeslip.configuration import in_force
from bronzeslip.engine import client as engine_client
from bronzeslip.orders import lease_keeper
from bronzeslip.orders import reconciler
from bronzeslip.orders import rollout_slots
from bronzeslip.orders import work_admission
from bronzeslip.settings import sidecar
from bronzeslip.store import client as platform_client


def create(
    settings: sidecar.SidecarSettings,
    incarnation_id: ids.IncarnationId,
    platform: platform_client.PlatformClient,
    engine: engine_client.EngineClient,
    configuration: in_force.ActiveConfiguration,
    admission: work_admission.WorkAdmission,
) -> reconciler.Reconciler:
    """Builds the reconciler of one engine.

    Args:
        settings: Settings of the sidecar.
        incarnation_id: Incarnation of the sidecar.
        platform: Client of the platform.
        engine: Client of the engine.
        configuration: Current configuration.
        admission: Admission of work to the engine.
    """

    def lease_of(name: str) -> lease_keeper.LeaseHandle:
        return lease_keeper.LeaseHandle(
            platform, name, incarnation_id, settings.order_lease_ttl_s
        )

    def slot_of(number: int) -> lease_keeper.LeaseHandle:
        return lease_of(f"rollouts/{settings.pool}/{number}")

    return reconciler.Reconciler(
        settings,
        platform,
        engine,
        configuration,
        admission,
        lease_of(f"orders/{settings.endpoint_id}"),
        rollout_slots.RolloutSlots(slot_of),
    )

"""Settings classes of all programs by program name."""

from bronzeslip.settings import entry
from bronzeslip.settings import explain
from bronzeslip.settings import gateway
from bronzeslip.settings import operator
from bronzeslip.settings import sidecar

SETTINGS_BY_PROGRAM: dict[str, type] = {
    "bronzeslip-gateway": gateway.GatewaySettings,
    "bronzeslip-entry": entry.EntrySettings,
    "bronzeslip-sidecar": sidecar.SidecarSettings,
    "bronzeslipctl": operator.OperatorSettings,
    "bronzeslipctl explain": explain.ExplainSettings,
}

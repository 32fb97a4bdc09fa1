"""A configuration of the size that the users expect within two years."""

from typing import Any

from tools import declarations

WORKSPACE_COUNT = 1_200
MODEL_COUNT = 20
_CREDENTIALS_PER_WORKSPACE = 2


def document() -> dict[str, Any]:
    """Returns the complete configuration."""
    models = [f"model-{index}" for index in range(MODEL_COUNT)]
    workspaces = [f"workspace-{index}" for index in range(WORKSPACE_COUNT)]
    return {
        "services": {
            name: {"kind": "generation", "model": name} for name in models
        },
        "pools": {
            f"pool-{name}": {"kind": "generation", "models": [name]}
            for name in models
        },
        "bindings": {
            name: {
                "workspaces": workspaces,
                "service": name,
                "pool": f"pool-{name}",
            }
            for name in models
        },
        "workspaces": {name: workspace(name) for name in workspaces},
    }


def workspace(name: str, weight: float = 1.0) -> dict[str, Any]:
    """Returns the declaration of one workspace."""
    return {
        "credentials_sha256": [
            declarations.digest_of(f"{name}-{index}")
            for index in range(_CREDENTIALS_PER_WORKSPACE)
        ],
        "workspace_class": "interactive",
        "weight": weight,
        "limits": {"requests_in_flight": 100},
    }

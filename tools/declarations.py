"""Configuration declarations for a local deployment."""

import hashlib
from typing import Any

from tools import shapes

OPERATOR_CREDENTIAL = "operator-key"


def credential_of(workspace: str) -> str:
    """Returns the API credential of a workspace in a trial."""
    return f"{workspace}-key"


def digest_of(credential: str) -> str:
    """Returns the SHA-256 digest that declares a credential."""
    return hashlib.sha256(credential.encode()).hexdigest()


def document_of(shape: shapes.DeploymentShape) -> dict[str, Any]:
    """Returns the complete configuration document of a deployment."""
    return {
        "services": {
            shape.generation_service: {
                "kind": "generation",
                "model": shape.model,
            },
            shape.plain_service: {"kind": "plain", "idempotent": False},
        },
        "pools": {
            shape.engine_pool: {
                "kind": "generation",
                "models": [shape.model],
                "fencing": "checked",
            },
            shape.plain_pool: {"kind": "plain"},
        },
        "bindings": {
            shape.generation_service: _binding(
                shape.generation_service, shape.engine_pool
            ),
            shape.plain_service: _binding(
                shape.plain_service, shape.plain_pool
            ),
        },
        "workspaces": {
            name: {
                "credentials_sha256": [digest_of(credential_of(name))],
                "workspace_class": "draft" if index == 0 else "interactive",
            }
            for index, name in enumerate(shape.workspaces)
        },
    }


def _binding(service: str, pool: str) -> dict[str, Any]:
    return {"workspaces": ["*"], "service": service, "pool": pool}

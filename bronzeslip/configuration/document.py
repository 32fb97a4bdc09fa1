"""The complete configuration as one document."""

from typing import Any

import msgspec

from bronzeslip import ids
from bronzeslip.configuration import binding
from bronzeslip.configuration import errors
from bronzeslip.configuration import pool
from bronzeslip.configuration import service
from bronzeslip.configuration import workspace
from bronzeslip.decoding import errors as decoding_errors
from bronzeslip.decoding import untrusted


class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything operators declare, by kind and name."""

    services: dict[ids.ServiceName, service.Service] = {}
    pools: dict[ids.PoolName, pool.Pool] = {}
    bindings: dict[str, binding.Binding] = {}
    workspaces: dict[ids.WorkspaceId, workspace.Workspace] = {}


KINDS = Document.__struct_fields__


def parse(tree: Any) -> Document:
    """Converts plain JSON values into a validated document.

    Raises:
        errors.InvalidDocumentError: If the document is invalid; the message
            names the field and the reason.
    """
    try:
        document = untrusted.from_builtins(tree, Document)
    except decoding_errors.UndecodableError as error:
        raise errors.InvalidDocumentError(error.message) from error
    check(document)
    return document


def to_tree(document: Document) -> Any:
    """Converts a document into plain JSON values."""
    return msgspec.to_builtins(document)


def check(document: Document) -> None:
    """Validates constraints that the field types do not express.

    Raises:
        errors.InvalidDocumentError: If the document is invalid; the message
            names the field and the reason.
    """
    for name, declared in document.services.items():
        _check_service(name, declared)
    for name, declared in document.pools.items():
        _check_pool(name, declared)
    for name, rule in document.bindings.items():
        _check_binding(document, name, rule)
    for name, declared in document.workspaces.items():
        _check_workspace(name, declared)


def _require(condition: bool, path: str, reason: str) -> None:
    if not condition:
        raise errors.InvalidDocumentError(f"{path}: {reason}")


def _check_service(name: str, declared: service.Service) -> None:
    path = f"services.{name}"
    _require(
        declared.max_output_tokens > 0,
        f"{path}.max_output_tokens",
        "must be greater than zero",
    )
    _require(
        declared.deadline_s > 0,
        f"{path}.deadline_s",
        "must be greater than zero",
    )
    _require(
        declared.retry_budget_ratio >= 0,
        f"{path}.retry_budget_ratio",
        "must not be negative",
    )
    if declared.kind is service.ServiceKind.GENERATION:
        _require(bool(declared.model), f"{path}.model", "is required")


def _check_pool(name: str, declared: pool.Pool) -> None:
    path = f"pools.{name}.assignment"
    desired = declared.assignment
    if desired is None:
        return
    _require(bool(desired.model), f"{path}.model", "must not be empty")
    _require(
        desired.weights_bytes >= 0,
        f"{path}.weights_bytes",
        "must not be negative",
    )
    _require(
        desired.max_unavailable > 0,
        f"{path}.max_unavailable",
        "must be greater than zero",
    )


def _check_binding(
    document: Document, name: str, rule: binding.Binding
) -> None:
    path = f"bindings.{name}"
    _require(
        rule.service in document.services,
        f"{path}.service",
        f"service {rule.service!r} is not declared",
    )
    _require(
        rule.pool in document.pools,
        f"{path}.pool",
        f"pool {rule.pool!r} is not declared",
    )
    for workspace_id in rule.workspaces:
        _require(
            workspace_id == binding.ANY_WORKSPACE
            or workspace_id in document.workspaces,
            f"{path}.workspaces",
            f"workspace {workspace_id!r} is not declared",
        )


def _check_workspace(name: str, declared: workspace.Workspace) -> None:
    path = f"workspaces.{name}"
    limits = declared.limits
    _require(declared.weight > 0, f"{path}.weight", "must be greater than zero")
    _require(
        limits.requests_in_flight > 0,
        f"{path}.limits.requests_in_flight",
        "must be greater than zero",
    )
    _require(
        limits.requests_per_s is None or limits.requests_per_s > 0,
        f"{path}.limits.requests_per_s",
        "must be greater than zero",
    )
    _require(
        limits.prompt_bytes > 0,
        f"{path}.limits.prompt_bytes",
        "must be greater than zero",
    )

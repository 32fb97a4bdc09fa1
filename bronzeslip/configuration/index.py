"""Lookup tables over a configuration."""

import hashlib
import hmac

from bronzeslip import ids
from bronzeslip.configuration import binding
from bronzeslip.configuration import document
from bronzeslip.configuration import service


class ConfigurationIndex:
    """Resolves credentials, models and bindings for requests."""

    def __init__(self, source: document.Document) -> None:
        self._document = source
        self._workspace_by_digest = {
            digest: workspace_id
            for workspace_id, declared in source.workspaces.items()
            for digest in declared.credentials_sha256
        }
        self._services_by_model: dict[str, list[ids.ServiceName]] = {}
        for name, declared in source.services.items():
            if declared.kind is service.ServiceKind.GENERATION:
                self._services_by_model.setdefault(declared.model, []).append(
                    name
                )
        self._bindings: dict[
            tuple[ids.WorkspaceId, ids.ServiceName], binding.Binding
        ] = {}
        for _, rule in sorted(source.bindings.items()):
            for workspace_id in rule.workspaces:
                self._bindings.setdefault((workspace_id, rule.service), rule)

    @property
    def document(self) -> document.Document:
        """The indexed configuration."""
        return self._document

    def workspace_for_credential(
        self, credential: str
    ) -> ids.WorkspaceId | None:
        """Returns the workspace that a credential belongs to, or None."""
        digest = hashlib.sha256(credential.encode()).hexdigest()
        workspace_id = self._workspace_by_digest.get(digest)
        if workspace_id is None:
            return None
        declared = self._document.workspaces[workspace_id]
        matches = [
            hmac.compare_digest(digest, accepted_digest)
            for accepted_digest in declared.credentials_sha256
        ]
        return workspace_id if any(matches) else None

    def binding_for(
        self, workspace_id: ids.WorkspaceId, service_name: ids.ServiceName
    ) -> binding.Binding | None:
        """Returns the binding of a workspace for a service.

        A binding that names the workspace takes precedence over one for
        ANY_WORKSPACE.
        """
        specific = self._bindings.get((workspace_id, service_name))
        return specific or self._bindings.get(
            (binding.ANY_WORKSPACE, service_name)
        )

    def service_for_model(
        self, workspace_id: ids.WorkspaceId, model: str
    ) -> ids.ServiceName | None:
        """Returns the service that offers a model to a workspace, or None."""
        for name in self._services_by_model.get(model, ()):
            if self.binding_for(workspace_id, name) is not None:
                return name
        return None

    def models_for(self, workspace_id: ids.WorkspaceId) -> tuple[str, ...]:
        """Lists the models available to a workspace."""
        return tuple(
            model
            for model in sorted(self._services_by_model)
            if self.service_for_model(workspace_id, model) is not None
        )

"""Authentication of requests and lookup of what they may access."""

import hashlib
import hmac
import time

from bronzeslip import ids
from bronzeslip.configuration import in_force
from bronzeslip.gateway import errors
from bronzeslip.gateway import request_context
from bronzeslip.gateway import request_record
from bronzeslip.metrics import gateway_metrics
from bronzeslip.metrics import request_labels
from bronzeslip.settings import gateway

_SCHEME = "bearer"


class AccessControl:
    """Checks credentials against the active configuration."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        configuration: in_force.ActiveConfiguration,
        metrics: gateway_metrics.GatewayMetrics,
    ) -> None:
        self._metrics = metrics
        self._settings = settings
        self._configuration = configuration

    def authenticate_workspace(
        self, authorization: str | None
    ) -> ids.WorkspaceId:
        """Returns the workspace that an Authorization header belongs to.

        Raises:
            errors.UnauthorizedError: If the credential is missing or unknown.
        """
        credential = _bearer_credential(authorization)
        workspace_id = self._configuration.index.workspace_for_credential(
            credential
        )
        if workspace_id is None:
            raise errors.UnauthorizedError("the credential is unknown")
        return workspace_id

    def check_operator(self, authorization: str | None) -> None:
        """Checks that an Authorization header belongs to an operator.

        Raises:
            errors.UnauthorizedError: If it does not.
        """
        credential = _bearer_credential(authorization)
        digest = hashlib.sha256(credential.encode()).hexdigest()
        matches = [
            hmac.compare_digest(digest, known_digest)
            for known_digest in self._settings.operator_credentials_sha256
        ]
        if not any(matches):
            raise errors.UnauthorizedError("the credential is no operator's")

    def context_for_model(
        self, authorization: str | None, model: str
    ) -> request_context.RequestContext:
        """Creates the context of a request for a model.

        Raises:
            errors.UnauthorizedError: If the credential is missing or unknown.
            errors.NotFoundError: If the workspace has no such model.
        """
        workspace_id = self.authenticate_workspace(authorization)
        service_name = self._configuration.index.service_for_model(
            workspace_id, model
        )
        if service_name is None:
            raise errors.ModelNotFoundError(
                f"model {model!r} does not exist in this workspace",
                field="model",
            )
        return self._create_context(workspace_id, service_name)

    def context_for_service(
        self, authorization: str | None, service_name: ids.ServiceName
    ) -> request_context.RequestContext:
        """Creates the context of a request for a service.

        Raises:
            errors.UnauthorizedError: If the credential is missing or unknown.
            errors.NotFoundError: If the workspace has no such service.
        """
        return self._create_context(
            self.authenticate_workspace(authorization), service_name
        )

    def _create_context(
        self, workspace_id: ids.WorkspaceId, service_name: ids.ServiceName
    ) -> request_context.RequestContext:
        index = self._configuration.index
        binding = index.binding_for(workspace_id, service_name)
        if binding is None:
            raise errors.ServiceNotFoundError(
                f"service {service_name!r} does not exist in this workspace"
            )
        service = index.document.services[service_name]
        deadline_s = min(service.deadline_s, self._settings.request_deadline_s)
        request_id = ids.RequestId(ids.random_id())
        workspace = index.document.workspaces[workspace_id]
        record = request_record.RequestRecord(
            self._metrics,
            request_id,
            workspace_id,
            request_labels.RequestLabels(
                service_name, workspace.workspace_class
            ),
        )
        record.accepted()
        return request_context.RequestContext(
            request_id,
            workspace_id,
            workspace,
            service_name,
            service,
            binding,
            time.monotonic() + deadline_s,
            record,
        )


def _bearer_credential(authorization: str | None) -> str:
    scheme, _, credential = (authorization or "").partition(" ")
    if scheme.lower() != _SCHEME or not credential:
        raise errors.UnauthorizedError("a bearer credential is required")
    return credential.strip()

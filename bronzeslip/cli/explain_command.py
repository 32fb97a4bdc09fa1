"""The command explain of bronzeslipctl."""

import argparse
import pathlib

from bronzeslip.cli import errors
from bronzeslip.cli import exit_status
from bronzeslip.cli import explanation_client
from bronzeslip.cli import printer
from bronzeslip.explanation import explanation_request
from bronzeslip.settings import explain


class ExplainCommand:
    """Shows where a request would go, without sending it."""

    def __init__(
        self,
        settings: explain.ExplainSettings,
        client: explanation_client.ExplanationClient,
        output: printer.Printer,
    ) -> None:
        self._settings = settings
        self._client = client
        self._output = output

    async def run(
        self, arguments: argparse.Namespace
    ) -> exit_status.ExitStatus:
        """Runs the command.

        A request that would be refused is explained too, with status OK.

        Raises:
            errors.CommandError: If there is no explanation.
        """
        request = explanation_request.ExplanationRequest(
            host=arguments.host,
            path=arguments.path,
            key=_api_key(self._settings),
            prompt_tokens=arguments.prompt_tokens,
            output_tokens=arguments.output_tokens,
        )
        self._output.show(await self._client.explain(request))
        return exit_status.ExitStatus.OK


def _api_key(settings: explain.ExplainSettings) -> str | None:
    if settings.api_key_file is None:
        return settings.api_key
    try:
        return pathlib.Path(settings.api_key_file).read_text("utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UsageError(
            f"--api-key-file: {settings.api_key_file!r} is not allowed; "
            "allowed: a readable file"
        ) from error

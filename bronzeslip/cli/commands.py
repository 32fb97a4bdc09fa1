"""The commands of bronzeslipctl."""

import argparse
import asyncio
import hashlib
import pathlib
from typing import TextIO

from bronzeslip.cli import declarations
from bronzeslip.cli import difference
from bronzeslip.cli import errors
from bronzeslip.cli import exit_status
from bronzeslip.cli import operator_client
from bronzeslip.cli import printer
from bronzeslip.cli import progress
from bronzeslip.cli import results
from bronzeslip.configuration import document
from bronzeslip.configuration import record
from bronzeslip.settings import operator


class Commands:
    """Reads and changes the configuration through a gateway.

    Each public method runs the command of the same name.
    """

    def __init__(
        self,
        settings: operator.OperatorSettings,
        client: operator_client.OperatorClient,
        output: printer.Printer,
    ) -> None:
        self._settings = settings
        self._client = client
        self._output = output

    async def diff(
        self, arguments: argparse.Namespace
    ) -> exit_status.ExitStatus:
        """Shows what the declarations would change."""
        declared = _read_declarations(arguments)
        current = await self._client.read()
        computed = _compute_difference(arguments, current, declared)
        self._output.show(
            results.DiffResult(current.number, computed.patch, computed.changes)
        )
        if computed.changes and arguments.exit_code:
            return exit_status.ExitStatus.DIFFERENT
        return exit_status.ExitStatus.OK

    async def apply(
        self, arguments: argparse.Namespace
    ) -> exit_status.ExitStatus:
        """Submits the declared changes as a patch.

        Raises:
            errors.StaleConfigurationError: If the current configuration number
                is not --base-number, or another patch was accepted first.
            errors.NotInForceError: If --wait is given and the number is not in
                force everywhere before the timeout.
        """
        declared = _read_declarations(arguments)
        current = await self._client.read()
        _check_base_number(arguments, current)
        computed = _compute_difference(arguments, current, declared)
        number = current.number
        applied = bool(computed.changes) and not arguments.dry_run
        if applied:
            number = await self._client.submit(current.number, computed.patch)
        self._output.show(
            results.ApplyResult(
                number, current.number, applied, computed.changes
            )
        )
        if arguments.wait and not arguments.dry_run:
            await self._wait_until_in_force(number, arguments.wait_timeout_s)
        return exit_status.ExitStatus.OK

    async def get(
        self, arguments: argparse.Namespace
    ) -> exit_status.ExitStatus:
        """Shows the configuration, one of its kinds or one entry.

        Raises:
            errors.CommandError: If there is no such kind or entry.
        """
        current = await self._client.read()
        value = difference.to_tree(current.document)
        for key in (arguments.kind, arguments.name):
            if key is None:
                continue
            if key not in value:
                raise errors.CommandError(
                    f"the configuration has no kind or entry {key!r}"
                )
            value = value[key]
        self._output.show(results.GetResult(current.number, value))
        return exit_status.ExitStatus.OK

    async def history(self, _: argparse.Namespace) -> exit_status.ExitStatus:
        """Shows the most recent patches."""
        current = await self._client.read()
        self._output.show(results.HistoryResult(current.recent_patches))
        return exit_status.ExitStatus.OK

    async def status(self, _: argparse.Namespace) -> exit_status.ExitStatus:
        """Shows the rollout of the current configuration.

        Lists the numbers in force by failure domain and the lagging VMs.
        """
        self._output.show(await self._client.status())
        return exit_status.ExitStatus.OK

    async def watch(
        self, arguments: argparse.Namespace
    ) -> exit_status.ExitStatus:
        """Shows each patch as it is accepted.

        Ends once the configuration has reached the number given by --until,
        or on interruption.
        """
        seen_number = (await self._client.read()).number
        self._output.progress(f"watching from number {seen_number}")
        while arguments.until is None or seen_number < arguments.until:
            await asyncio.sleep(self._settings.poll_interval_s)
            current = await self._client.read()
            new_patches = tuple(
                entry
                for entry in current.recent_patches
                if entry.number > seen_number
            )
            if new_patches:
                self._output.show(results.HistoryResult(new_patches))
            seen_number = max(seen_number, current.number)
        return exit_status.ExitStatus.OK

    async def _wait_until_in_force(self, number: int, timeout_s: float) -> None:
        rollout = progress.RolloutProgress(number)
        try:
            async with asyncio.timeout(timeout_s):
                while not rollout.update(await self._client.status()):
                    self._output.progress(rollout.text)
                    await asyncio.sleep(self._settings.poll_interval_s)
        except TimeoutError as error:
            raise errors.NotInForceError(rollout.text) from error
        self._output.progress(rollout.text)


def hash_credential(stdin: TextIO) -> results.DigestResult:
    """Computes the digest by which a credential is declared.

    Raises:
        errors.UsageError: If the credential is empty or contains spaces.
    """
    credential = stdin.read().strip()
    if not credential or len(credential.split()) != 1:
        raise errors.UsageError(
            "standard input must contain one credential without spaces"
        )
    digest = hashlib.sha256(credential.encode()).hexdigest()
    return results.DigestResult(digest)


def _read_declarations(arguments: argparse.Namespace) -> document.Document:
    return declarations.read(pathlib.Path(path) for path in arguments.paths)


def _compute_difference(
    arguments: argparse.Namespace,
    current: record.ConfigurationRecord,
    declared: document.Document,
) -> difference.Difference:
    if arguments.keep_undeclared:
        declared = difference.with_undeclared(current.document, declared)
    return difference.compute(current.document, declared)


def _check_base_number(
    arguments: argparse.Namespace, current: record.ConfigurationRecord
) -> None:
    expected = arguments.base_number
    if expected is not None and expected != current.number:
        raise errors.StaleConfigurationError(
            f"the current configuration number is {current.number}, "
            f"not {expected}"
        )

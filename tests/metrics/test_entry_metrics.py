"""Tests of the entry gateway's metrics."""

import unittest

from bronzeslip import ids
from bronzeslip import logs
from bronzeslip.endpoints import directory
from bronzeslip.endpoints import endpoint
from bronzeslip.metrics import bounded_label
from bronzeslip.metrics import entry_metrics
from bronzeslip.metrics import outcome
from bronzeslip.metrics import page
from bronzeslip.routes import current
from bronzeslip.routes import kind
from tests.support import forwarding_parts


class BoundedLabelTest(unittest.TestCase):
    def test_values_beyond_the_limit_share_one_label(self):
        label = bounded_label.BoundedLabel(2)
        values = [label.value_of(name) for name in ("a", "b", "c", "d", "a")]
        self.assertEqual(values[:2], ["a", "b"])
        self.assertEqual(values[2], values[3])
        self.assertNotIn(values[2], ("a", "b"))
        self.assertEqual(values[4], "a")

    def test_values_are_escaped(self):
        self.assertEqual(
            bounded_label.BoundedLabel().value_of('a"b\n'), 'a\\"b\\n'
        )


class EntryMetricsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.current_table = current.CurrentTable()
        self.endpoint_directory = directory.EndpointDirectory(
            forwarding_parts.SETTINGS
        )
        self.metrics = entry_metrics.EntryMetrics(
            self.current_table, self.endpoint_directory
        )

    async def _render(self):
        """Returns the values on the metrics page by name and labels."""
        text = (await page.render(self.metrics)).decode()
        lines = [
            line for line in text.splitlines() if line[:1] not in ("#", "")
        ]
        pairs = (line.rsplit(" ", 1) for line in lines)
        return {name: float(value) for name, value in pairs}

    async def test_answers_are_labelled_by_workspace_kind_and_outcome(self):
        for workspace_id in (ids.WorkspaceId("w"), None):
            self.metrics.record_answer(
                workspace_id,
                kind.RequestKind.STREAM,
                outcome.RequestOutcome.COMPLETED,
                3.0,
            )
        shown = await self._render()
        for name in ("w", "(public)"):
            labels = f'kind="stream",outcome="completed",workspace="{name}"'
            self.assertEqual(
                shown[f"bronzeslip_answer_seconds_count{{{labels}}}"], 1
            )

    # Guards against a watch that is silent for long and shows nowhere.
    async def test_ages_of_what_is_followed_are_shown(self):
        self.metrics.track_age("configuration", lambda: 2.5)
        self.metrics.track_age("suspects", lambda: None)
        shown = await self._render()
        name = "bronzeslip_followed_age_seconds"
        self.assertEqual(shown[f'{name}{{followed="configuration"}}'], 2.5)
        self.assertEqual(shown[f'{name}{{followed="suspects"}}'], -1)

    async def test_workspaces_beyond_the_limit_add_no_series(self):
        for number in range(500):
            self.metrics.record_answer(
                ids.WorkspaceId(f"w{number}"),
                kind.RequestKind.IDEMPOTENT,
                outcome.RequestOutcome.COMPLETED,
                0.1,
            )
        counts = [
            name
            for name in await self._render()
            if name.startswith("bronzeslip_answer_seconds_count")
        ]
        self.assertLess(len(counts), 100)

    async def test_version_endpoints_and_events_are_read_when_rendered(self):
        shown = await self._render()
        self.assertEqual(shown["bronzeslip_configuration_number"], -1)
        self.current_table.adopt(forwarding_parts.create_table(version=7))
        self.endpoint_directory.replace_all(
            (
                forwarding_parts.create_endpoint("one"),
                forwarding_parts.create_endpoint(
                    "two", state=endpoint.EndpointState.LEAVING
                ),
            )
        )
        logs.get_logger("test").debug("unseen.event")
        logs.get_logger("test").info("seen.event")
        shown = await self._render()
        self.assertEqual(shown["bronzeslip_configuration_number"], 7)
        self.assertEqual(shown['bronzeslip_endpoints{state="ready"}'], 1)
        self.assertEqual(shown['bronzeslip_endpoints{state="leaving"}'], 1)
        self.assertEqual(
            shown['bronzeslip_events_total{event="seen.event"}'], 1
        )
        self.assertNotIn('bronzeslip_events_total{event="unseen.event"}', shown)

    async def test_attempts_and_stream_times(self):
        self.metrics.count_attempt("endpoint-broken")
        self.metrics.record_stream(
            ids.WorkspaceId("w"), kind.RequestKind.STREAM, 0.3, 0.02
        )
        shown = await self._render()
        self.assertEqual(
            shown['bronzeslip_attempts_total{result="endpoint-broken"}'], 1
        )
        labels = 'kind="stream",workspace="w"'
        for name in ("first_event", "longest_pause"):
            self.assertEqual(
                shown[f"bronzeslip_{name}_seconds_count{{{labels}}}"], 1
            )

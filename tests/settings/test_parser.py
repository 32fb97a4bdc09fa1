"""Tests of parsing settings from flags and environment variables."""

import contextlib
import io
import unittest

from bronzeslip import logs
from bronzeslip.settings import gateway
from bronzeslip.settings import operator
from bronzeslip.settings import parser
from bronzeslip.settings import sidecar

_PROGRAM = "program"
_SECRET = "s3cret-value"
_GATEWAY_FLAGS = (
    "--vm-id=entry-0",
    "--region=brum",
    "--failure-domain=brum-1",
    f"--peer-key={_SECRET}",
    "--platform-url=http://127.0.0.1:1",
)
_SIDECAR_FLAGS = (
    *_GATEWAY_FLAGS,
    "--endpoint-id=drafting-0",
    "--pool=drafting",
    "--endpoint-url=http://127.0.0.1:2",
)
_INVALID_GATEWAY_FLAGS = (
    ("--http-port=x", "--http-port: 'x'", "a whole number from 0 to 65535"),
    ("--http-port=70000", "--http-port: '70000'", "from 0 to 65535"),
    ("--http-port=", "--http-port: ''", "a whole number"),
    ("--peer-silence-timeout-s=nan", "'nan'", "a number from 0.1 to 60"),
    ("--peer-silence-timeout-s=inf", "'inf'", "a number from 0.1 to 60"),
    ("--log-level=loud", "--log-level: 'loud'", "debug, info, warning, error"),
    ("--log-format=xml", "--log-format: 'xml'", "key-value, json"),
    ("--platform-url=nowhere", "'nowhere'", "an http or https URL"),
    ("--platform-url=ftp://a", "'ftp://a'", "an http or https URL"),
    ("--listen-address=host", "'host'", "an IP address"),
    ("--region=", "--region: ''", "non-empty text"),
    (
        "--operator-credentials-sha256=abc",
        "--operator-credentials-sha256: 'abc'",
        "SHA-256 digests in hexadecimal",
    ),
    (
        "--peer-silence-timeout-s=0.4",
        "--peer-silence-timeout-s: 0.4",
        "at least twice --heartbeat-interval-s",
    ),
    ("--no-such=1", "--no-such: no such flag", "--help"),
    ("stray", "unexpected argument", "--help"),
    ("--http-port", "--http-port", "expected one argument"),
)


class ParserTest(unittest.TestCase):
    def parse(self, *argv, settings=gateway.GatewaySettings, environment=None):
        output, errors = io.StringIO(), io.StringIO()
        self.status = 0
        parsed = None
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            try:
                parsed = parser.parse_or_exit(
                    settings, _PROGRAM, "text", argv, environment or {}
                )
            except SystemExit as exit_request:
                self.status = exit_request.code
        self.output, self.errors = output.getvalue(), errors.getvalue()
        self.assertNotIn(_SECRET, self.output + self.errors)
        return parsed

    def test_invalid_value_gives_one_line_and_status_2(self):
        for flag, named, allowed in _INVALID_GATEWAY_FLAGS:
            with self.subTest(flag=flag):
                self.parse(*_GATEWAY_FLAGS, flag)
                self.assertEqual(self.status, 2)
                self.assertEqual(len(self.errors.splitlines()), 1)
                self.assertIn(named, self.errors)
                self.assertIn(allowed, self.errors)

    def test_missing_flag(self):
        for index, flag in enumerate(_SIDECAR_FLAGS):
            with self.subTest(flag=flag):
                rest = _SIDECAR_FLAGS[:index] + _SIDECAR_FLAGS[index + 1 :]
                self.parse(*rest, settings=sidecar.SidecarSettings)
                self.assertEqual(self.status, 2)
                self.assertIn(f"{flag.split('=')[0]}: missing", self.errors)

    def test_secret_is_not_shown(self):
        for argv in (
            (f"--peer-kye={_SECRET}",),
            ("--peer-kye", _SECRET),
            (f"--accepted-peer-keys={_SECRET},{_SECRET}x y",),
        ):
            with self.subTest(argv=argv):
                self.parse(*_GATEWAY_FLAGS, *argv)

    def test_flag_overrides_variable(self):
        environment = {"BRONZESLIP_HTTP_PORT": "81"}
        parsed = self.parse(*_GATEWAY_FLAGS, environment=environment)
        self.assertEqual(parsed.http_port, 81)
        parsed = self.parse(
            *_GATEWAY_FLAGS, "--http-port=82", environment=environment
        )
        self.assertEqual(parsed.http_port, 82)

    def test_invalid_variable_is_named(self):
        self.parse(*_GATEWAY_FLAGS, environment={"BRONZESLIP_HTTP_PORT": "x"})
        self.assertEqual(self.status, 2)
        self.assertIn("--http-port (BRONZESLIP_HTTP_PORT): 'x'", self.errors)

    def test_unknown_variable_is_refused(self):
        self.parse(*_GATEWAY_FLAGS, environment={"BRONZESLIP_HTP_PORT": "80"})
        self.assertEqual(self.status, 2)
        self.assertIn("BRONZESLIP_HTP_PORT: no such setting", self.errors)

    def test_variables_of_other_programs_are_accepted(self):
        environment = {"BRONZESLIP_CREDENTIAL": _SECRET, "OTHER": "x"}
        self.parse(*_GATEWAY_FLAGS, environment=environment)
        self.assertEqual(self.status, 0)

    def test_values_have_their_types(self):
        parsed = self.parse(
            *_GATEWAY_FLAGS,
            "--log-level=debug",
            f"--operator-credentials-sha256={'a' * 64}, {'b' * 64}",
        )
        self.assertIs(parsed.log_level, logs.LogLevel.DEBUG)
        self.assertEqual(
            parsed.operator_credentials_sha256, ("a" * 64, "b" * 64)
        )

    def test_check_settings_only_checks(self):
        self.parse(*_GATEWAY_FLAGS, "--check-settings")
        self.assertEqual(self.status, 0)
        self.assertIn("settings are valid", self.output)
        self.parse("--check-settings")
        self.assertEqual(self.status, 2)

    def test_help_has_groups_defaults_and_variables(self):
        for settings in (gateway.GatewaySettings, sidecar.SidecarSettings):
            self.parse("--help", settings=settings)
            self.assertEqual(self.status, 0)
            for text in ("identity:", "network:", "security:", "logs:"):
                self.assertIn(text, self.output)
            self.assertIn("[BRONZESLIP_HTTP_PORT]", self.output)
            self.assertIn("required", self.output)

    def test_repr_hides_secrets(self):
        parsed = self.parse(*_GATEWAY_FLAGS)
        self.assertNotIn(_SECRET, repr(parsed))

    def test_operator_settings_exclude_two_credentials(self):
        self.parse(
            "--gateway-urls=http://127.0.0.1:1",
            "--credential-file=x",
            settings=operator.OperatorSettings,
            environment={"BRONZESLIP_CREDENTIAL": _SECRET},
        )
        self.assertEqual(self.status, 2)
        self.assertIn("--credential-file", self.errors)


if __name__ == "__main__":
    unittest.main()

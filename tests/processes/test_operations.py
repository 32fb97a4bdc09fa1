"""Tests of metrics, logs and commands of a running deployment."""

import dataclasses
import json
import os
import pathlib
import socket
import tempfile
import unittest

import httpx
import openai

from tools import cli_runner
from tools import declarations
from tools import local_deployment
from tools import shapes

_SHAPE = dataclasses.replace(shapes.MIDLANDS, engine_count=2, plain_count=1)
_PROMPT = "confidential-words-of-a-smith"
_BODY = "confidential-award-body"
_SECRETS = (
    _PROMPT,
    _BODY,
    "tok-",
    declarations.OPERATOR_CREDENTIAL,
    declarations.credential_of("smiths"),
    local_deployment.PEER_KEY,
    "wrong-credential",
)


class OperationsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = local_deployment.LocalDeployment(
            _SHAPE,
            gateway_count=1,
            gateway_flags=("--log-level", "debug"),
            sidecar_flags=("--log-level", "debug"),
        )
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        cls.url = cls.deployment.gateways[0].http_url()

    def stream_chat(self, length, **options):
        client = openai.OpenAI(
            base_url=f"{self.url}/v1",
            api_key=declarations.credential_of("smiths"),
            max_retries=0,
        )
        with client:
            return list(
                client.chat.completions.create(
                    model=_SHAPE.model,
                    messages=[
                        {
                            "role": "user",
                            "content": f"{_PROMPT} #length={length}",
                        }
                    ],
                    stream=True,
                    **options,
                )
            )

    def call_plain_service(self):
        return httpx.post(
            f"{self.url}/v1/services/{_SHAPE.plain_service}/awards",
            headers={
                **local_deployment.caller_headers("clerks"),
                "Idempotency-Key": os.urandom(8).hex(),
            },
            content=_BODY.encode(),
        )

    def send_unauthorized_request(self):
        return httpx.get(
            f"{self.url}/v1/models",
            headers={"Authorization": "Bearer wrong-credential"},
        )

    def test_metrics_of_both_daemons(self):
        self.stream_chat(20)
        self.call_plain_service()
        self.send_unauthorized_request()
        response = httpx.get(f"{self.url}/metrics")
        self.assertEqual(response.status_code, 200)
        self.assertIn("text/plain", response.headers["content-type"])
        for text in (
            'bronzeslip_first_token_seconds_count{outcome="completed",'
            'service="drafts",workspace_class="draft"}',
            "bronzeslip_between_tokens_seconds_bucket",
            "bronzeslip_stall_seconds_sum",
            'bronzeslip_answer_seconds_count{outcome="completed",'
            'service="commissions",workspace_class="interactive"}',
            "bronzeslip_queue_wait_seconds_count",
            'bronzeslip_problems_total{code="unauthorized"}',
            'bronzeslip_platform_calls_total{kind="GET /watch"',
            "\nbronzeslip_configuration_number ",
        ):
            self.assertTrue(text in response.text, text)
        self.assertNotIn("smiths", response.text)
        sidecar_metrics = [
            httpx.get(f"{sidecar.http_url()}/metrics").text
            for sidecar in self.deployment.sidecars
        ]
        for text in (
            'bronzeslip_admission_wait_seconds_count{service="drafts"}',
            'bronzeslip_admission_wait_seconds_count{service="commissions"}',
            'bronzeslip_endpoint_requests{state="running"} 0',
            "\nbronzeslip_endpoint_memory_used_ratio ",
            "\nbronzeslip_configuration_number ",
        ):
            self.assertTrue(
                any(text in metrics for metrics in sidecar_metrics), text
            )

    def test_logs_contain_events_but_no_content(self):
        self.stream_chat(20)
        self.call_plain_service()
        self.send_unauthorized_request()
        gateway = self.deployment.gateways[0]
        gateway.wait_for_line("unauthorized")
        lines = [json.loads(line) for line in gateway.lines if line[0] == "{"]
        for event, fields in (
            ("request.accepted", {"request_id", "workspace_id"}),
            (
                "request.dispatched",
                {"request_id", "generation_id", "endpoint_id"},
            ),
            ("request.dispatched", {"request_id", "call_id", "endpoint_id"}),
            (
                "request.finished",
                {"request_id", "workspace_id", "generation_id", "endpoint_id"},
            ),
            ("request.refused", {"reason"}),
        ):
            with self.subTest(event=event):
                self.assertTrue(
                    any(
                        line["event"] == event and fields <= line.keys()
                        for line in lines
                    )
                )
        processes = [*self.deployment.gateways, *self.deployment.sidecars]
        for process in processes:
            output = "\n".join(process.lines)
            for secret in _SECRETS:
                self.assertNotIn(secret, output)

    def test_stalled_callers_do_not_block_others(self):
        body = json.dumps(
            {
                "model": _SHAPE.model,
                "prompt": f"{_PROMPT} #length=20000",
                "stream": True,
            }
        ).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nhost: x\r\n"
            f"authorization: Bearer {declarations.credential_of('smiths')}\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        gateway_address = ("127.0.0.1", self.deployment.gateways[0].http_port())
        stalled_connections = []
        for _ in range(4):
            connection = socket.socket()
            self.addCleanup(connection.close)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect(gateway_address)
            connection.sendall(head.encode() + body)
            self.assertTrue(connection.recv(15).startswith(b"HTTP/1.1 200"))
            stalled_connections.append(connection)
        chunks = self.stream_chat(100)
        self.assertEqual(chunks[-1].choices[0].finish_reason, "stop")

    def test_apply_command_against_the_running_deployment(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "more.toml")
            path.write_text('[pools.spare]\nkind = "plain"\n')
            completed_process = cli_runner.run(
                self.deployment,
                "apply",
                "--keep-undeclared",
                "--wait",
                "--output",
                "json",
                str(path),
            )
        self.assertEqual(
            completed_process.returncode, 0, completed_process.stderr
        )
        self.assertTrue(json.loads(completed_process.stdout)["applied"])


if __name__ == "__main__":
    unittest.main()

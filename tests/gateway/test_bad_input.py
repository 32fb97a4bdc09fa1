"""Tests that malformed requests are rejected with problem documents."""

import typing
from unittest import mock

from bronzeslip import logs
from bronzeslip.gateway import generation_session
from tests.gateway import gateway_case

_CHAT = gateway_case.CHAT_PATH
_MESSAGES = gateway_case.MESSAGES
_COMPLETIONS = "/v1/completions"

_chat = gateway_case.chat


_WRONG_BODIES = (
    ("malformed", b'{"model": ', "malformed"),
    ("empty", b"", "malformed"),
    ("not utf-8", b'{"model": "\xff\xfe"}', "UTF-8"),
    ("deep", b'{"x":' + b"[" * 100_000, "nested too deeply"),
    ("not an object", b"[1]", "Expected `object`"),
    (
        "trailing",
        b'{"model":"m","prompt":"x","messages":[{"role":"u"}]} {}',
        "malformed",
    ),
)
_WRONG_FIELDS = (
    ({"model": "tin-drafter"}, "messages"),
    ({"messages": _MESSAGES}, "model"),
    (_chat(model=7), "model"),
    (_chat(messages="x"), "messages"),
    (_chat(messages=[]), "messages"),
    (_chat(messages=[{"content": "x"}]), "role"),
    (_chat(max_tokens=0), "max_tokens"),
    (_chat(max_tokens=-5), "max_tokens"),
    (_chat(max_tokens="5"), "max_tokens"),
    (_chat(max_tokens=1.5), "max_tokens"),
    (_chat(max_completion_tokens=-1), "max_completion_tokens"),
    (_chat(stream="yes"), "stream"),
    (_chat(stream_options={"include_usage": 1}), "include_usage"),
    (_chat(n=2), "n"),
    (_chat(n=0), "n"),
    (_chat(tools=[{"type": "function"}]), "tools"),
    (_chat(functions=[{}]), "functions"),
    (_chat(stop=["\n"]), "stop"),
    (_chat(logprobs=True), "logprobs"),
    (
        _chat(response_format={"type": "json_object"}),
        "response_format",
    ),
    (_chat(modalities=["audio"]), "modalities"),
    (
        _chat(
            messages=[
                {"role": "user", "content": [{"type": "image_url"}]},
            ]
        ),
        "messages",
    ),
)
_WRONG_COMPLETION_FIELDS = (
    ({"model": "tin-drafter"}, "prompt"),
    ({"prompt": "x"}, "model"),
    ({"model": "tin-drafter", "prompt": ["a", "b"]}, "prompt"),
    ({"model": "tin-drafter", "prompt": [1, 2]}, "prompt"),
    ({"model": "tin-drafter", "prompt": "x", "n": 3}, "n"),
    ({"model": "tin-drafter", "prompt": "x", "best_of": 2}, "best_of"),
    ({"model": "tin-drafter", "prompt": "x", "echo": True}, "echo"),
    ({"model": "tin-drafter", "prompt": "x", "suffix": "y"}, "suffix"),
    ({"model": "tin-drafter", "prompt": "x", "logprobs": 2}, "logprobs"),
    ({"model": "tin-drafter", "prompt": "x", "max_tokens": -1}, "max_tokens"),
)


class BadInputTest(gateway_case.GatewayCase):
    async def post(self, path, **options):
        headers = {**gateway_case.CALLER, **options.pop("headers", {})}
        return await self.client.post(path, headers=headers, **options)

    async def test_wrong_bodies(self):
        for name, content, text in _WRONG_BODIES:
            for path in (_CHAT, _COMPLETIONS):
                with self.subTest(name=name, path=path):
                    response = await self.post(path, content=content)
                    problem = self.assert_problem(response, 400, "bad-request")
                    self.assertIn(text, problem["detail"])

    async def test_wrong_fields_are_named(self):
        cases = [(_CHAT, *case) for case in _WRONG_FIELDS]
        cases += [(_COMPLETIONS, *case) for case in _WRONG_COMPLETION_FIELDS]
        for path, body, field in cases:
            with self.subTest(path=path, body=body):
                response = await self.post(path, json=body)
                problem = self.assert_problem(response, 400, "bad-request")
                self.assertIn(field, problem["detail"])
                self.assertTrue(
                    problem["error"]["param"].startswith(field)
                    or problem["error"]["param"].endswith(f".{field}"),
                    problem,
                )

    async def test_harmless_fields_are_accepted(self):
        body = _chat(
            n=1,
            max_tokens=10**12,
            temperature=0.2,
            top_p=1,
            seed=3,
            user="u",
            stop=None,
            tools=[],
            logprobs=False,
            response_format={"type": "text"},
            metadata={"a": "b"},
            store=False,
        )
        response = await self.post(_CHAT, json=body)
        self.assert_problem(response, 503, "not-run")
        self.assertGreaterEqual(int(response.headers["retry-after"]), 1)

    async def test_max_tokens_beyond_any_integer(self):
        content = b'{"model":"tin-drafter","prompt":"x","max_tokens":1e999}'
        response = await self.post(_COMPLETIONS, content=content)
        self.assert_problem(response, 400, "bad-request")

    async def test_wrong_content_type(self):
        for media_type in ("text/plain", "multipart/form-data; boundary=x"):
            with self.subTest(media_type=media_type):
                response = await self.post(
                    _CHAT,
                    content=b"{}",
                    headers={"content-type": media_type},
                )
                self.assert_problem(response, 415, "unsupported-media-type")

    async def test_json_content_types(self):
        for media_type in (
            "application/json; charset=utf-8",
            "APPLICATION/JSON",
            "application/merge-patch+json",
        ):
            with self.subTest(media_type=media_type):
                response = await self.post(
                    _CHAT,
                    content=b"{}",
                    headers={"content-type": media_type},
                )
                self.assert_problem(response, 400, "bad-request")

    async def test_unknown_model_and_service(self):
        response = await self.post(_CHAT, json=_chat(model="none"))
        problem = self.assert_problem(response, 404, "model-not-found", "none")
        self.assertEqual(problem["error"]["param"], "model")
        response = await self.post("/v1/services/none/x", content=b"")
        self.assert_problem(response, 404, "service-not-found", "none")

    async def test_unknown_route_and_method(self):
        response = await self.post("/v1/embeddings", json={})
        self.assert_problem(response, 404, "route-not-found")
        response = await self.client.delete(_CHAT)
        self.assert_problem(response, 405, "method-not-allowed")
        self.assertIn("POST", response.headers["allow"])

    async def test_oversize_prompt(self):
        response = await self.post(
            _COMPLETIONS,
            json={"model": "tin-drafter", "prompt": "x" * 1_000_001},
        )
        self.assert_problem(response, 413, "too-large")

    async def test_errors_do_not_repeat_the_prompt(self):
        for body in (
            {"model": "tin-drafter", "prompt": "secret words", "stream": "x"},
            {"model": "tin-drafter", "prompt": {"secret words": 1}},
        ):
            response = await self.post(_COMPLETIONS, json=body)
            self.assertNotIn("secret words", response.text)

    async def test_unexpected_error_is_logged(self):
        with (
            mock.patch.object(
                generation_session.GenerationSession,
                "start",
                side_effect=ZeroDivisionError,
            ),
            mock.patch.object(logs.EventLogger, "_write") as written,
        ):
            response = await self.post(_CHAT, json=_chat())
        self.assert_problem(response, 500, "internal")
        found = {
            event: fields
            for _, event, fields in (
                call.args for call in written.call_args_list
            )
        }
        for event in ("request.failed", "gateway.unexpected_error"):
            self.assertEqual(
                found[event]["request_id"], response.headers["x-request-id"]
            )

    async def test_no_configuration_yet(self):
        state = self.state
        state.configuration._record = state.configuration._index = None
        response = await self.post(_CHAT, json=_chat())
        self.assert_problem(response, 503, "unavailable")
        self.assertIn("retry-after", response.headers)


class OversizeTest(gateway_case.GatewayCase):
    settings: typing.ClassVar = {"max_body_bytes": 1000}

    async def test_content_length_too_large(self):
        response = await self.client.post(
            _CHAT,
            headers=gateway_case.CALLER,
            content=b"x" * 1001,
        )
        self.assert_problem(response, 413, "too-large")

    async def test_size_exceeded_while_reading(self):
        async def chunks():
            for _ in range(20):
                yield b"x" * 100

        for path in (_CHAT, "/v1/services/commissions/x"):
            with self.subTest(path=path):
                response = await self.client.post(
                    path, headers=gateway_case.CALLER, content=chunks()
                )
                self.assert_problem(response, 413, "too-large")

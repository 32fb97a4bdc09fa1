"""Tests of resume tokens."""

import base64
import unittest

from bronzeslip import ids
from bronzeslip.gateway import errors
from bronzeslip.gateway import resume_token
from tests.gateway import fake_sidecar
from tests.support import gateway_app

_RUN = resume_token.ResumableRun(
    ids.EndpointId("e"), ids.GenerationId("g"), ids.RequestId("r")
)
_TOKEN = resume_token.ResumeToken(_RUN, 41)
_WORKSPACE_ID = ids.WorkspaceId("w")


class ResumeTokenTest(unittest.TestCase):
    def setUp(self):
        self.signer = resume_token.ResumeTokenSigner(fake_sidecar.settings())
        self.text = self.signer.series(_WORKSPACE_ID, _RUN).token_at(41)

    def assert_refused(self, text, workspace_id=_WORKSPACE_ID):
        with self.assertRaises(errors.BadResumeTokenError):
            self.signer.verify(workspace_id, text)

    def test_verifies_token_of_another_gateway(self):
        other = resume_token.ResumeTokenSigner(fake_sidecar.settings())
        self.assertEqual(other.verify(_WORKSPACE_ID, self.text), _TOKEN)

    def test_outlives_a_rotation_of_the_key(self):
        old = gateway_app.create_settings(peer_key="old")
        text = (
            resume_token.ResumeTokenSigner(old)
            .series(_WORKSPACE_ID, _RUN)
            .token_at(41)
        )
        new = gateway_app.create_settings(
            peer_key="new", accepted_peer_keys=("old",)
        )
        signer = resume_token.ResumeTokenSigner(new)
        self.assertEqual(signer.verify(_WORKSPACE_ID, text), _TOKEN)
        last = gateway_app.create_settings(peer_key="new")
        with self.assertRaises(errors.BadResumeTokenError):
            resume_token.ResumeTokenSigner(last).verify(_WORKSPACE_ID, text)

    def test_rejects_token_of_another_workspace(self):
        self.assert_refused(self.text, ids.WorkspaceId("other"))

    def test_every_changed_character_is_detected(self):
        for position, character in enumerate(self.text):
            other = "0" if character != "0" else "1"
            changed = self.text[:position] + other + self.text[position + 1 :]
            self.assert_refused(changed)

    def test_every_changed_bit_of_the_run_is_detected(self):
        index, mac, encoded_run = self.text.split(".")
        data = base64.urlsafe_b64decode(encoded_run)
        for position in range(len(data) * 8):
            changed = bytearray(data)
            changed[position // 8] ^= 1 << position % 8
            other = base64.urlsafe_b64encode(changed).decode()
            self.assert_refused(f"{index}.{mac}.{other}")

    # Guards against a status 500 for a token that is nested too deeply.
    def test_nested_tokens_are_rejected(self):
        run = b"\x94\xa1e\xa1g\xa1r" + b"\x91" * 5000 + b"\x90"
        encoded_run = base64.urlsafe_b64encode(run).decode()
        self.assert_refused(f"1.{'0' * 32}.{encoded_run}")

    def test_malformed_tokens_are_rejected(self):
        for text in (
            "x",
            "1.2",
            "é",
            "1.2.é",
            "AAAA",
            self.text[:-4],
            "0" + self.text,
        ):
            with self.subTest(text=text):
                self.assert_refused(text)

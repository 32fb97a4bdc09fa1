"""Tests of resume tokens."""

import base64
import unittest

from bronzeslip import ids
from bronzeslip.gateway import errors
from bronzeslip.gateway import resume_token
from tests.gateway import fake_sidecar

_TOKEN = resume_token.ResumeToken(
    ids.EndpointId("e"), ids.GenerationId("g"), ids.RequestId("r"), 41
)
_OWNER = ids.WorkspaceId("w")


class ResumeTokenTest(unittest.TestCase):
    def setUp(self):
        self.signer = resume_token.ResumeTokenSigner(fake_sidecar.settings())
        self.text = self.signer.sign(_OWNER, _TOKEN)

    def assert_refused(self, text, workspace_id=_OWNER):
        with self.assertRaises(errors.BadResumeTokenError):
            self.signer.verify(workspace_id, text)

    def test_reads_what_any_gateway_signed(self):
        other = resume_token.ResumeTokenSigner(fake_sidecar.settings())
        self.assertEqual(other.verify(_OWNER, self.text), _TOKEN)

    def test_belongs_to_its_workspace(self):
        self.assert_refused(self.text, ids.WorkspaceId("other"))

    def test_every_changed_byte_is_noticed(self):
        signed = bytearray(base64.urlsafe_b64decode(self.text))
        for position in range(len(signed)):
            changed = bytearray(signed)
            changed[position] ^= 1
            self.assert_refused(base64.urlsafe_b64encode(changed).decode())

    def test_other_text_is_refused(self):
        for text in ("x", "1.2", "é", "AAAA", self.text[:-4], "%"):
            with self.subTest(text=text):
                self.assert_refused(text)

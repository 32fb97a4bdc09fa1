"""Caller of an ASGI application."""

import asyncio


class AsgiCaller:
    """Sends messages and records what it is sent."""

    def __init__(self, *messages):
        self.messages = list(messages)
        self.sent = []
        self._message_added = asyncio.Event()

    async def receive(self):
        while not self.messages:
            await self._message_added.wait()
        return self.messages.pop(0)

    async def send(self, message):
        self.sent.append(message)

    def disconnect(self):
        self.messages.append({"type": "http.disconnect"})
        self._message_added.set()

    @property
    def status(self):
        return self.sent[0]["status"]

    @property
    def headers(self):
        return dict(self.sent[0]["headers"])


def create_body_message(content, has_more=False):
    """Returns the message that brings a part of a body."""
    return {"type": "http.request", "body": content, "more_body": has_more}

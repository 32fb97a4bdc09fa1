"""Client of an ASGI application."""

import asyncio


class AsgiCaller:
    """Passes messages to an application and records those it sends."""

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
    """Returns the ASGI message with a part of a request body."""
    return {"type": "http.request", "body": content, "more_body": has_more}

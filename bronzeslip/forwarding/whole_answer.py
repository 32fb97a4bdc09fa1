"""An answer that has been read to its end."""

import msgspec

from bronzeslip.forwarding import endpoint_client
from bronzeslip.forwarding import reply


class WholeAnswer(msgspec.Struct, frozen=True):
    """Head and whole body of an answer."""

    head: endpoint_client.AnswerHead
    body: bytes


async def read(answer: endpoint_client.EndpointAnswer) -> WholeAnswer:
    """Reads an answer to its end and gives its connection back.

    Raises:
        endpoint_errors.EndpointBrokenError: If it ends early.
    """
    try:
        body = b"".join([chunk async for chunk in answer.chunks()])
    finally:
        await answer.close()
    return WholeAnswer(answer.head, body)


async def pass_on(whole: WholeAnswer, to_caller: reply.Reply) -> None:
    """Sends an answer to the caller."""
    head = msgspec.structs.replace(whole.head, content_length=len(whole.body))
    await to_caller.start(head)
    if whole.body:
        await to_caller.write(whole.body)
    await to_caller.finish()

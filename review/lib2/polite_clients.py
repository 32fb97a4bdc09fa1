# ruff: noqa: ANN001, ANN202
"""Clients that behave, as a process of its own, until it is killed.

Usage: polite_clients.py HOST PORT CLIENTS ID_BYTES. Each client sends one call
after the other on a kept connection and reads each answer. ID_BYTES is the
length of the ids of their requests.
"""

import asyncio
import contextlib
import sys

import kit

_PAUSE_S = 0.2


async def _run(host, port, name, id_bytes):
    number = 0
    while True:
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, ValueError
        ):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                while True:
                    number += 1
                    request_id = f"{name}-{number}-".ljust(id_bytes, "7")
                    fields = kit.client_fields(request_id, 1_500)
                    writer.write(
                        kit.render_request(
                            "POST", "/award/2f", fields, b"x" * 600
                        )
                    )
                    first, answer = await kit.read_head(reader)
                    await kit.read_body(reader, answer)
                    if " 200 " not in first:
                        await asyncio.sleep(_PAUSE_S)
            finally:
                writer.close()
        await asyncio.sleep(_PAUSE_S)


async def _main(host, port, clients, id_bytes):
    await asyncio.gather(
        *(
            _run(host, int(port), f"{kit.CROWD}-{index}", int(id_bytes))
            for index in range(int(clients))
        )
    )


if __name__ == "__main__":
    asyncio.run(_main(*sys.argv[1:]))

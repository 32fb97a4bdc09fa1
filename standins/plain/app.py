"""HTTP application of the plain service stand-in."""

import asyncio
import collections

import litestar
import msgspec

_JSON = "application/json"


class PlainRun(msgspec.Struct, frozen=True):
    """Response to one call.

    Attributes:
        method: HTTP method of the call.
        path: Path of the call.
        body: Body of the call.
        run: Number of calls with this body so far, including this one.
    """

    method: str
    path: str
    body: str
    run: int


class PlainModes(msgspec.Struct):
    """Faults that tests switch on at run time.

    Attributes:
        delay_s: Delay before each response, in seconds.
        hold: Whether calls wait until this is unset.
    """

    delay_s: float = 0.0
    hold: bool = False


class PlainStandin:
    """Echoes calls and counts how often each body was received."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.modes = PlainModes()
        self._released = asyncio.Event()
        self._released.set()

    def app(self) -> litestar.Litestar:
        """Creates the ASGI application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/standin/modes", status_code=200)(
                    self._set_modes
                ),
                litestar.get("/standin/runs")(self._get_runs),
                litestar.route(
                    "/{path:path}",
                    http_method=["GET", "POST", "PUT", "DELETE"],
                    status_code=200,
                )(self._run),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _run(
        self, request: litestar.Request, path: str
    ) -> litestar.Response:
        body = (await request.body()).decode()
        self.runs[body] += 1
        answer = PlainRun(request.method, path, body, self.runs[body])
        await self._released.wait()
        await asyncio.sleep(self.modes.delay_s)
        return litestar.Response(msgspec.json.encode(answer), media_type=_JSON)

    async def _set_modes(self, request: litestar.Request) -> litestar.Response:
        self.modes = msgspec.json.decode(await request.body(), type=PlainModes)
        if self.modes.hold:
            self._released.clear()
        else:
            self._released.set()
        return litestar.Response(b"", media_type=_JSON)

    async def _get_runs(self) -> litestar.Response:
        return litestar.Response(
            msgspec.json.encode(dict(self.runs)), media_type=_JSON
        )

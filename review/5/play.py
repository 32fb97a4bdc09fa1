"""The connection of the configuration's watch goes silent, no other one."""

import asyncio
import time

import case
import proxy

_CONFIG_S = 2.5
_CONTACT_S = 4.0
_IDLE_S = 5.0
_OLD_KEY = "key-of-x"


def _configuration(version: int) -> dict:
    """Version 1, or the later one: a route moved and a key dropped."""
    is_first = version == 1
    tenants = [{"name": "w", "api_keys": [case.KEY]}]
    if is_first:
        tenants.append({"name": "x", "api_keys": [_OLD_KEY]})
    service = "desk" if is_first else "annex"
    routes = [case.route("orders", "non_idempotent", service, 2500)]
    return case.configuration(version, routes, tenants=tenants)


async def play(this: case.Case) -> bool:
    """Plays the case; returns whether the rule held."""
    await this.start_store()
    await this.put("config", "main", _configuration(1))
    await this.start_engine(1, "desk", "ub-a")
    await this.start_engine(2, "annex", "ub-a")
    firewall = proxy.Proxy(this.store_port)
    await firewall.start()
    gateway = await this.start_gateway(store_port=firewall.port)
    await asyncio.sleep(_IDLE_S + 1.5)
    if this.has_trouble:
        for line in firewall.lose_idle(_IDLE_S):
            this.note(f"the firewall loses track of: {line}")
    await asyncio.sleep(_CONTACT_S + 1)
    await this.put("config", "main", _configuration(7))
    acknowledged_s = time.monotonic()
    this.note("version 7 is acknowledged: orders go to annex, x has no key")
    held = True
    for number in range(28):
        answer = await gateway.request(f"a-{number}", "/orders/o")
        by_old_key = await gateway.request(
            f"x-{number}", "/orders/o", key=_OLD_KEY
        )
        after_s = answer.sent_s - acknowledged_s
        is_old = answer.body.startswith(b"desk") or by_old_key.status == 200
        this.note(
            f"{after_s:4.1f} s after it: {answer.status} "
            f"{answer.body.decode()!r}, dropped key: {by_old_key.status}"
        )
        if is_old and after_s > _CONFIG_S:
            held = False
        await asyncio.sleep(0.5)
    firewall.stop()
    await asyncio.sleep(0.1)
    return held


if __name__ == "__main__":
    case.Case(__file__).run(play)

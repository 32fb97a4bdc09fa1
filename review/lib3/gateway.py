"""Starts gateways with the commands of the deploy file."""

import json
import os
import pathlib
import random
import resource
import subprocess
import sys
import time
import tomllib
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]

# Bounds and limits of a front machine as DEPLOY.md shows them.
MEMORY_MB = 150
MAX_FDS = 4100
_SETTINGS = """
node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "{region}"
port_range = [7200, 7215]
seeds = []
bootstrap = true
count_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform"]
[zones]
brum-a = "brum"
dudley-a = "black-country"
stoke-a = "potteries"
[listen]
front = "{host}:8740"
ready = "{host}:8749"
[limits]
cpu_share = 0.817
cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 4000
ack_ms = 5000
catch_up_s = 4
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_ms = 2500
rollback_slack_ms = 250
outer_ms = 6000
strict_revoke = false
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 56
recover_s = 12
pass_ms = 250
again_s = 4.4
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def loopback_host() -> str:
    """Returns an own loopback address, on which all ports are free."""
    rng = random.SystemRandom()
    return (
        f"127.{rng.randint(1, 250)}.{rng.randint(1, 250)}.{rng.randint(2, 250)}"
    )


class Gateway:
    """One gateway process on a front machine of its own."""

    def __init__(
        self, name: str, store: str, folder: pathlib.Path, zone: str = "brum-a"
    ) -> None:
        self.name = name
        self.host = loopback_host()
        self.port = 8740
        region = {
            "brum-a": "brum",
            "dudley-a": "black-country",
            "stoke-a": "potteries",
        }[zone]
        path = folder / f"{name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=name,
                host=self.host,
                zone=zone,
                region=region,
                store=store,
                memory_mb=MEMORY_MB,
                max_fds=MAX_FDS,
            )
        )
        self.log_path = folder / f"{name}.log"
        self._settings_path = path
        self.start()

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = role["roles"]["gateway"]["run"].split(" ")
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BRONZESLIP_BOOT"] = str(self._settings_path)
        allow_descriptors()
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )

    def is_ready(self) -> bool:
        """Asks the process whether it is ready, as the platform does."""
        try:
            url = f"http://{self.host}:8749/ready"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def stop(self) -> None:
        """Ends the process."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def events(self, name: str) -> list[dict]:
        """Returns the log lines of an event."""
        found = []
        for line in self.log_path.read_text(errors="replace").splitlines():
            if f'"{name}"' in line:
                try:
                    found.append(json.loads(line))
                except ValueError:
                    continue
        return found


def allow_descriptors() -> None:
    """Uses what this process and its children may have of descriptors.

    The platform's machines have MAX_FDS of them for a process.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY:
        wanted = min(hard, MAX_FDS)
    else:
        wanted = MAX_FDS
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def now_ms() -> int:
    """Returns the time of day in milliseconds."""
    return round(time.time() * 1000)

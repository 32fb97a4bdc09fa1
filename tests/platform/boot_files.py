"""Settings files for tests."""

SOUND = """
node_name = "front-1"
ip = "10.0.0.1"
port_range = [7200, 7215]
zone = "a-1"
[zones]
a-1 = "a"
[listen]
front = "10.0.0.1:8740"
ready = "10.0.0.1:8749"
[bounds]
drain_ms = 2500
grace_s = 8
retry_ratio = 0.2
retry_slack = 56
retry_window_s = 10
[platform]
address = "10.0.0.9:8742"
"""

_DIGITS = "9" * 5_000
_DEEP = "[" * 100_000

# Files that must not be applied, by what is wrong.
UNUSABLE = {
    "empty": b"",
    "not TOML": b"bounds = [",
    "mistyped": SOUND.replace('"front-1"', "7").encode(),
    "not UTF-8": b"# \xff\xfe\n" + SOUND.encode(),
    "nested too deeply": f"{SOUND}extra = {_DEEP}".encode(),
    "number too long": f"{SOUND}extra = {_DIGITS}".encode(),
    "too large": SOUND.encode() + b"#" * 2_000_000,
    "port without number": SOUND.replace(":8740", ":").encode(),
    "port too long": SOUND.replace(":8740", f":{_DIGITS}").encode(),
    "no peer port": SOUND.replace("[7200, 7215]", "[]").encode(),
    "negative peer port": SOUND.replace("7200", "-1").encode(),
    "no name": SOUND.replace('"front-1"', '""').encode(),
}

# Usable files in which one bound is not usable, by that bound and its value.
UNUSABLE_BOUNDS = {
    **{
        f"{name} {value}": SOUND.replace(
            f"{name} = {sound}", f"{name} = {value}"
        ).encode()
        for name, sound in (
            ("drain_ms", "2500"),
            ("grace_s", "8"),
            ("retry_ratio", "0.2"),
            ("retry_slack", "56"),
            ("retry_window_s", "10"),
        )
        for value in ("nan", "inf", "-inf", "-1", "1e300", '"8"', "true")
    },
    "drain_ms 0": SOUND.replace("drain_ms = 2500", "drain_ms = 0").encode(),
    "retry_window_s 0": SOUND.replace(
        "retry_window_s = 10", "retry_window_s = 0"
    ).encode(),
}

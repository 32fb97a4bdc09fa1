"""Certificates for tests, issued by a trusted CA and by another one."""

import pathlib

_DIRECTORY = pathlib.Path(__file__).parent


def path(name):
    return str(_DIRECTORY / f"{name}.pem")


def peer_settings(authority="trusted", ca="trusted"):
    return {
        "peer_certificate_file": path(f"{authority}-certificate"),
        "peer_private_key_file": path(f"{authority}-key"),
        "peer_ca_file": path(f"{ca}-ca"),
    }

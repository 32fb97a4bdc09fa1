"""TLS credentials for connections between processes of the system."""

import pathlib

import grpc

from bronzeslip.settings import common

PEER_NAME = "bronzeslip-peer"
CHANNEL_OPTIONS = (("grpc.ssl_target_name_override", PEER_NAME),)


def server_credentials(
    settings: common.CommonSettings,
) -> grpc.ServerCredentials | None:
    """Loads the credentials of a server, or None without TLS."""
    if settings.peer_certificate_file is None:
        return None
    certificate, key, ca_certificate = _read_files(settings)
    return grpc.ssl_server_credentials(
        [(key, certificate)],
        root_certificates=ca_certificate,
        require_client_auth=True,
    )


def channel_credentials(
    settings: common.CommonSettings,
) -> grpc.ChannelCredentials | None:
    """Loads the credentials of a client, or None without TLS."""
    if settings.peer_certificate_file is None:
        return None
    certificate, key, ca_certificate = _read_files(settings)
    return grpc.ssl_channel_credentials(ca_certificate, key, certificate)


def _read_files(settings: common.CommonSettings) -> tuple[bytes, bytes, bytes]:
    return (
        pathlib.Path(settings.peer_certificate_file).read_bytes(),
        pathlib.Path(settings.peer_private_key_file).read_bytes(),
        pathlib.Path(settings.peer_ca_file).read_bytes(),
    )

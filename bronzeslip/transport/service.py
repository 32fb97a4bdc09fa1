"""Names and limits of the gRPC peer service."""

SERVICE_NAME = "bronzeslip.Peer"
METHOD_NAME = "Exchange"
METHOD_PATH = f"/{SERVICE_NAME}/{METHOD_NAME}"
KEY_METADATA = "bronzeslip-peer-key"
MAX_MESSAGE_BYTES = 72_000_000

"""Names of the platform's headers, in lower case."""

REQUEST_ID = b"bronzeslip-attempt-id"
DEADLINE_MS = b"bronzeslip-deadline-ms"
KEY = b"bronzeslip-key"
MODEL = b"bronzeslip-model"
# Prompt tokens and the most output tokens, separated by a comma.
TOKENS = b"bronzeslip-token-usage"
PROMPT_PARTS = b"bronzeslip-prompt-prefix"
LENGTH_HINT = b"bronzeslip-length-hint"
LAST_EVENT_ID = b"last-event-id"
WORKSPACE = b"bronzeslip-tenant"
EXPECTED_ENDPOINT = b"bronzeslip-target-instance"
ENDPOINT = b"bronzeslip-instance-id"
PRIORITY = b"bronzeslip-request-priority"
EXPECTED_WEIGHTS = b"bronzeslip-expect-version"
# Present on answers to requests that the endpoint has not run.
NOT_RUN = b"bronzeslip-not-executed"
STAMP = b"bronzeslip-response-stamp"
# Running requests, waiting requests and slots, separated by commas.
LOAD = b"bronzeslip-server-load"
LEASE = b"bronzeslip-hold"
PIN_MS = b"bronzeslip-pin-ms"
BACKUP = b"bronzeslip-kv-backup"
SOURCE = b"kv-from"
FETCH = b"kv-fetch"
RETRY_AFTER = b"retry-after"
HOST = b"host"
CONNECTION = b"connection"
KEEP_ALIVE = b"keep-alive"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

# Headers that concern one connection only.
HOP_BY_HOP = frozenset(
    {
        CONNECTION,
        KEEP_ALIVE,
        TRANSFER_ENCODING,
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
    }
)

# Headers that only the system sets; what a caller sent in them is dropped.
SET_BY_SYSTEM = frozenset(
    {
        KEY,
        DEADLINE_MS,
        WORKSPACE,
        EXPECTED_ENDPOINT,
        PRIORITY,
        EXPECTED_WEIGHTS,
        LEASE,
        PIN_MS,
        BACKUP,
        SOURCE,
        FETCH,
    }
)

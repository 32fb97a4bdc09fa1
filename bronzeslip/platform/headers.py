"""Names of HTTP headers, in lower case."""

REQUEST_ID = b"bronzeslip-attempt-id"
DEADLINE_MS = b"bronzeslip-deadline-ms"
API_KEY = b"bronzeslip-key"
MODEL = b"bronzeslip-model"
# Prompt tokens and the maximum of output tokens, separated by a comma.
TOKEN_USAGE = b"bronzeslip-token-usage"
PROMPT_PARTS = b"bronzeslip-prompt-prefix"
LENGTH_HINT = b"bronzeslip-length-hint"
LAST_EVENT_ID = b"last-event-id"
WORKSPACE = b"bronzeslip-tenant"
TARGET_ENDPOINT = b"bronzeslip-target-instance"
ENDPOINT_ID = b"bronzeslip-instance-id"
PRIORITY = b"bronzeslip-request-priority"
EXPECTED_WEIGHTS = b"bronzeslip-expect-version"
# Present in responses to requests that the endpoint has not run.
NOT_RUN = b"bronzeslip-not-executed"
RESPONSE_STAMP = b"bronzeslip-response-stamp"
# Running requests, waiting requests, slots and, in newer deployments, the pace
# in percent of the normal duration of work, separated by commas.
SERVER_LOAD = b"bronzeslip-server-load"
LEASE = b"bronzeslip-hold"
PIN_MS = b"bronzeslip-pin-ms"
KV_BACKUP = b"bronzeslip-kv-backup"
KV_SOURCE = b"kv-from"
KV_FETCH = b"kv-fetch"
RETRY_AFTER = b"retry-after"
# "1" in all responses of an endpoint that is shutting down.
SERVER_LEAVING = b"server-leaving"
# Requests per second that the endpoint takes from all gateways together, in
# responses of an endpoint that is overloaded.
SERVER_LIMIT = b"server-limit"
# Milliseconds for which the endpoint sustains only a limited rate of requests.
COLD_MS = b"bronzeslip-cold-ms"
# Rises when the store has been restored from an older copy.
STORE_ERA = b"store-era"
HOST = b"host"
CONTENT_LENGTH = b"content-length"
TRANSFER_ENCODING = b"transfer-encoding"

# Headers that only the gateway may set; they are removed from the requests of
# callers.
INTERNAL_ONLY = frozenset(
    {
        API_KEY,
        DEADLINE_MS,
        WORKSPACE,
        TARGET_ENDPOINT,
        PRIORITY,
        EXPECTED_WEIGHTS,
        LEASE,
        PIN_MS,
        KV_BACKUP,
        KV_SOURCE,
        KV_FETCH,
    }
)

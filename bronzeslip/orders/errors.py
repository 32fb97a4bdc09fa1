"""Errors raised for orders to engines."""

from bronzeslip import errors


class OrderError(errors.BronzeslipError):
    """An order could not be carried out."""

    code = "order-error"


class LeaseNotHeldError(OrderError):
    """The lease is not held, or it is uncertain whether it is."""

    code = "lease-not-held"


class OrderRefusedError(OrderError):
    """The engine has seen a higher fencing number."""

    code = "order-refused"


class OrderOutcomeUnknownError(OrderError):
    """The engine did not respond; the order may have been carried out."""

    code = "order-outcome-unknown"

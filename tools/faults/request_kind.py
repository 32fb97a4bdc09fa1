"""Kinds of requests in the matrix."""

import enum


class RequestKind(enum.Enum):
    """How a caller asks."""

    STREAMED = "streamed generation"
    NON_STREAMED = "whole generation"
    CALL = "call that must not repeat"

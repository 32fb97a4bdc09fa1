"""Kinds of requests in the matrix."""

import enum


class RequestKind(enum.Enum):
    """Kind of request that a caller sends."""

    STREAMED = "streamed generation"
    NON_STREAMED = "whole generation"
    CALL = "call that must not repeat"

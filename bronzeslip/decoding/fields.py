"""Types of fields that only accept usable values."""

from typing import Annotated

import msgspec

# Larger integers can't be converted to a float exactly.
MAX_NUMBER = 2**53

_OCTET = r"(?:25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"

Integer = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
PositiveCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
Quantity = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
NonNegativeQuantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_NUMBER)]
PositiveQuantity = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Ipv4Address = Annotated[
    str, msgspec.Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}\Z")
]
HostName = Annotated[str, msgspec.Meta(pattern=r"\A[0-9A-Za-z.-]{1,253}\Z")]
# Text that may be part of a header or a path.
VisibleText = Annotated[
    str, msgspec.Meta(pattern=r"\A[!-~]+\Z", max_length=1024)
]
# Text that may be the value of a header.
HeaderText = Annotated[str, msgspec.Meta(pattern=r"\A[^\x00-\x1f\x7f]*\Z")]
UrlPath = Annotated[str, msgspec.Meta(pattern=r"\A/[!-~]*\Z", max_length=1024)]

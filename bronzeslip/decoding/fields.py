"""Types of fields that only accept values in a usable range."""

from typing import Annotated

import msgspec

# Larger integers can't be converted to a float exactly.
MAX_NUMBER = 2**53

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Quantity = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
PositiveQuantity = Annotated[float, msgspec.Meta(gt=0, le=MAX_NUMBER)]
# Text that may be part of a header or a path.
VisibleText = Annotated[
    str, msgspec.Meta(pattern=r"\A[!-~]+\Z", max_length=1024)
]

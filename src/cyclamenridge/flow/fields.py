"""Ranges of the fields of records, checked wherever a record is decoded.

Records come from the store and from peers. A value outside of its range could
not be sent on to peers, or would fail where it is used.
"""

from typing import Annotated

import msgspec

# What decoding raises for an invalid value: also for a number that is too
# large to convert, and for values nested too deeply.
DECODING_ERRORS = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)

_MAX_INT32 = 2**31 - 1
_MAX_INT64 = 2**63 - 1

Count = Annotated[int, msgspec.Meta(ge=1, le=_MAX_INT32)]
# In milliseconds.
Duration = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT32)]
Seconds = Annotated[float, msgspec.Meta(le=_MAX_INT32 // 1000)]
# Unix time in milliseconds.
Timestamp = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
# Versions and revisions.
Version = Annotated[int, msgspec.Meta(ge=0, le=_MAX_INT64)]
Number = Annotated[int, msgspec.Meta(ge=-_MAX_INT32, le=_MAX_INT32)]
# Weights and rates; their sums are finite.
Amount = Annotated[float, msgspec.Meta(le=_MAX_INT32)]
# Keys of the store have at most 200 bytes.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]

"""Types of numbers in settings, with their bounds."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NonNegative = Annotated[float, Field(ge=0, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Fraction = Annotated[float, Field(ge=0, le=1)]
PositiveFraction = Annotated[float, Field(gt=0, le=1)]

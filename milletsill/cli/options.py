"""Groups the options of a command into one typed value."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields
from functools import wraps
from typing import TYPE_CHECKING, Any, TypeVar

if TYPE_CHECKING:
    from _typeshed import DataclassInstance

OptionsT = TypeVar("OptionsT", bound="DataclassInstance")
Command = Callable[..., None]


def group_options(options_type: type[OptionsT]) -> Callable[[Command], Command]:
    """Return a decorator that passes a command its options in one dataclass.

    Each field of `options_type` gets the click parameter of the same name. The command
    has a parameter `options`; click parameters without a field are passed unchanged.
    Apply the decorator below those of click.
    """
    names = [each.name for each in fields(options_type)]

    def decorate(command: Command) -> Command:
        @wraps(command)
        def call(**values: Any) -> None:
            options = options_type(**{name: values.pop(name) for name in names})
            command(options=options, **values)

        return call

    return decorate

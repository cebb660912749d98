"""The terms of the service figure, to and from a trace's header."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.service_accounting import VolumeEntitlement


@dataclass(frozen=True, slots=True)
class ClassTerms:
    """Target and utilities of a request class.

    The target is in tenths of a millisecond.
    """

    name: str
    target: int
    utility: float
    late_utility: float


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """The inputs of the service figure besides the commands.

    Attributes:
        classes: the request classes by index.
        prices: prices of the service plans by index.
        volumes: index of each volume's entitlement by the volume's name.
        entitlements: reserves and weights of the volumes.
        capacity: units per second of all nodes; 0 if unknown.
        largest_units: cost of the largest request.
        share: utility of a unit beyond the reserve that is due by weight.
        spare: utility of a unit beyond reserve and share.
    """

    classes: list[ClassTerms]
    prices: list[float]
    volumes: dict[str, int]
    entitlements: list[VolumeEntitlement]
    capacity: float
    largest_units: float
    share: float
    spare: float


def encode_terms(terms: ServiceTerms) -> dict[str, Any]:
    """Return the terms in the form of a header's `terms`."""
    return {
        "categories": [
            [each.name, each.target, each.utility, each.late_utility]
            for each in terms.classes
        ],
        "prices": terms.prices,
        "stores": list(terms.volumes),
        "claims": [[each.reserve, each.weight] for each in terms.entitlements],
        "power": terms.capacity,
        "largest": terms.largest_units,
        "share": terms.share,
        "spare": terms.spare,
    }


def decode_terms(header: dict[str, Any], capacity: float | None) -> ServiceTerms:
    """Return a header's `terms`, or the terms of the gateway configuration in it.

    `capacity` replaces the capacity of the header; a gateway's header has none, because
    a gateway does not know the capacity of the nodes.

    Raises:
        MalformedTraceError: if the header has neither.
    """
    try:
        stored = header.get("terms")
        if isinstance(stored, dict):
            return decode_stored_terms(stored, capacity)
        return gateway_terms(header, capacity)
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise MalformedTraceError(
            "the header has neither valid service terms nor a gateway configuration: "
            f"{type(error).__name__} {error}"
        ) from None


def decode_stored_terms(stored: dict[str, Any], capacity: float | None) -> ServiceTerms:
    """Return the terms of a header's `terms`."""
    return ServiceTerms(
        classes=[
            ClassTerms(str(name), int(target), float(utility), float(late))
            for name, target, utility, late in stored["categories"]
        ],
        prices=stored["prices"],
        volumes={name: index for index, name in enumerate(stored["stores"])},
        entitlements=[VolumeEntitlement(*each) for each in stored["claims"]],
        capacity=capacity or stored["power"],
        largest_units=stored["largest"],
        share=stored["share"],
        spare=stored["spare"],
    )


def gateway_terms(header: dict[str, Any], capacity: float | None) -> ServiceTerms:
    """Return the terms of the gateway configuration in a header."""
    config = header["facts"]
    plan_indexes = {name: index for index, name in enumerate(header.get("plans", ()))}
    plans = [
        config["plans"][plan_indexes.get(plan, 0)] for _, plan in header["volumes"]
    ]
    return ServiceTerms(
        classes=[
            ClassTerms(
                str(each.get("name", index)),
                each["target_time"],
                each["utility"],
                each["late_utility"],
            )
            for index, each in enumerate(config["categories"])
        ],
        prices=[each["price"] for each in config["plans"]],
        volumes={name: index for index, (name, _) in enumerate(header["volumes"])},
        entitlements=[
            VolumeEntitlement(each["reserve_rate"], each["weight"]) for each in plans
        ],
        capacity=capacity or 0.0,
        largest_units=config["largest_units"],
        share=config["share_utility"],
        spare=config.get("spare_utility", 0.0),
    )

"""What the service figure needs to know, as it stands in a trace's header."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from milletsill.trace.file_format import MalformedTraceError
from milletsill.trace.service_accounting import VolumeEntitlement


@dataclass(frozen=True, slots=True)
class ClassTerms:
    """What a request class is worth; the target is in tenths of a millisecond."""

    name: str
    target: int
    utility: float
    late_utility: float


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What the service figure needs.

    Attributes:
        classes: the request classes by place.
        prices: prices of the service plans by place.
        volumes: place of each volume's entitlement by the volume's name.
        entitlements: reserves and weights of the volumes.
        capacity: units a second of all nodes; 0 where it is not known.
        largest_units: cost of the largest request.
        share: utility of a unit beyond the reserve that is due by weight.
        spare: utility of a unit beyond that.
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
    """Return the terms as they stand in a header."""
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
    """Return the terms of a header: its own, or those of a gateway's configuration.

    A gateway does not know the capacity of the nodes, which is then handed in.

    Raises:
        MalformedTraceError: where the header has neither.
    """
    try:
        own = header.get("terms")
        if isinstance(own, dict):
            return decode_own_terms(own, capacity)
        return terms_of_gateway(header, capacity)
    except (KeyError, IndexError, TypeError, ValueError) as error:
        raise MalformedTraceError(
            f"a header without the terms of service: {type(error).__name__} {error}"
        ) from None


def decode_own_terms(own: dict[str, Any], capacity: float | None) -> ServiceTerms:
    """Return the terms that a header spells out."""
    return ServiceTerms(
        classes=[
            ClassTerms(str(name), int(target), float(utility), float(late))
            for name, target, utility, late in own["categories"]
        ],
        prices=own["prices"],
        volumes={name: place for place, name in enumerate(own["stores"])},
        entitlements=[VolumeEntitlement(*each) for each in own["claims"]],
        capacity=capacity or own["power"],
        largest_units=own["largest"],
        share=own["share"],
        spare=own["spare"],
    )


def terms_of_gateway(header: dict[str, Any], capacity: float | None) -> ServiceTerms:
    """Return the terms of the configuration in a gateway's header."""
    config = header["facts"]
    plan_places = {name: place for place, name in enumerate(header.get("plans", ()))}
    plans = [config["plans"][plan_places.get(plan, 0)] for _, plan in header["volumes"]]
    return ServiceTerms(
        classes=[
            ClassTerms(
                str(each.get("name", place)),
                each["target_time"],
                each["utility"],
                each["late_utility"],
            )
            for place, each in enumerate(config["categories"])
        ],
        prices=[each["price"] for each in config["plans"]],
        volumes={name: place for place, (name, _) in enumerate(header["volumes"])},
        entitlements=[
            VolumeEntitlement(each["reserve_rate"], each["weight"]) for each in plans
        ],
        capacity=capacity or 0.0,
        largest_units=config["largest_units"],
        share=config["share_utility"],
        spare=config.get("spare_utility", 0.0),
    )

"""Checks of a configuration file.

:func:`check` reads the text of a file and returns the configuration, or every finding at once.
"""

import collections
import json
from collections.abc import Iterator, Sequence

import expression
import pydantic

from waxwingspool.config import findings, model

__all__ = ["check", "model_findings"]

# Methods that HTTP defines as safe or idempotent: clients and middleware may send them twice.
_RESENDABLE = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


def check(text: str | bytes) -> expression.Result[model.Configuration, list[findings.Finding]]:
    """Validate a configuration file as a whole.

    :param text: the JSON text.
    :returns: the configuration, or all findings with their places.

    >>> check("{").is_error()
    True
    >>> [f.place for f in check('{"format": 1}').error]
    ['/data_centres', '/measuring', '/regions']
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        return expression.Error([findings.Finding("", f"is not JSON: {error}")])
    try:
        configuration = model.Configuration.model_validate(document)
    except pydantic.ValidationError as error:
        return expression.Error(model_findings(error))
    found = sorted(_cross_findings(configuration))
    return expression.Error(found) if found else expression.Ok(configuration)


def model_findings(error: pydantic.ValidationError) -> list[findings.Finding]:
    """Return the findings of a failed model validation.

    :param error: what pydantic raised.
    :returns: a finding for each error, sorted by place.
    """
    errors = error.errors()
    paths = [e["loc"] for e in errors]
    found = [
        findings.Finding(findings.pointer(e["loc"]), e["msg"])
        for e in errors
        if not (e["type"] == "too_short" and _has_finding_inside(e["loc"], paths))
    ]
    return sorted(found)


def _has_finding_inside(path: tuple, paths: Sequence[tuple]) -> bool:
    """Return whether a path leads to others; then a list is short only because items failed."""
    return any(len(p) > len(path) and p[: len(path)] == path for p in paths)


def _cross_findings(configuration: model.Configuration) -> Iterator[findings.Finding]:
    """Yield findings that need more than one field."""
    yield from _duplicates("/regions", [r.name for r in configuration.regions])
    yield from _duplicates("/data_centres", [d.name for d in configuration.data_centres])
    yield from _duplicates("/services", [s.name for s in configuration.services])
    yield from _place_findings(configuration)
    centres = {d.name for d in configuration.data_centres}
    addresses: dict[str, str] = {}
    names: dict[str, str] = {}
    paths: dict[str, str] = {}
    for i, service in enumerate(configuration.services):
        for j, upstream in enumerate(service.upstreams):
            place = f"/services/{i}/upstreams/{j}"
            if upstream.data_centre not in centres:
                message = f"data centre {upstream.data_centre!r} is not defined"
                yield findings.Finding(f"{place}/data_centre", message)
            yield from _taken(f"{place}/name", upstream.name, names)
            yield from _taken(f"{place}/address", upstream.address, addresses)
        yield from _duplicates(f"/services/{i}/rules", [r.name for r in service.rules])
        for j, rule in enumerate(service.rules):
            place = f"/services/{i}/rules/{j}"
            yield from _rule_findings(place, rule)
            for method in rule.methods:
                yield from _taken(f"{place}/path", f"{method} {rule.path}", paths)


def _place_findings(configuration: model.Configuration) -> Iterator[findings.Finding]:
    """Yield findings about regions that data centres and links name."""
    regions = {r.name for r in configuration.regions}
    for i, centre in enumerate(configuration.data_centres):
        if centre.region not in regions:
            message = f"region {centre.region!r} is not defined"
            yield findings.Finding(f"/data_centres/{i}/region", message)
    for i, link in enumerate(configuration.links):
        for j, region in enumerate(link.between):
            if region not in regions:
                message = f"region {region!r} is not defined"
                yield findings.Finding(f"/links/{i}/between/{j}", message)


def _rule_findings(place: str, rule: model.Rule) -> Iterator[findings.Finding]:
    """Yield findings about one rule."""
    for i, method in enumerate(rule.methods):
        if method != method.upper():
            yield findings.Finding(f"{place}/methods/{i}", "is not in upper case")
        if not rule.idempotent and method in _RESENDABLE:
            message = f"{method} is resendable in HTTP; a non-idempotent rule takes POST or PATCH"
            yield findings.Finding(f"{place}/methods/{i}", message)
    if not rule.idempotent and rule.hedge_share > 0:
        yield findings.Finding(f"{place}/hedge_share", "a non-idempotent request can't be hedged")
    if not rule.idempotent and rule.retries > 0:
        yield findings.Finding(f"{place}/retries", "a non-idempotent request can't be retried")
    if rule.kind is model.Kind.UPLOAD and rule.hedge_share > 0:
        yield findings.Finding(f"{place}/hedge_share", "an upload can't be hedged")
    if rule.kind is model.Kind.UPLOAD and not rule.idempotent:
        yield findings.Finding(f"{place}/idempotent", "an upload must be idempotent")
    if rule.kind is model.Kind.PAYMENT and rule.idempotent:
        yield findings.Finding(f"{place}/idempotent", "a payment is not idempotent")


def _duplicates(place: str, names: Sequence[str]) -> Iterator[findings.Finding]:
    """Yield a finding for each name that stands more than once."""
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield findings.Finding(place, f"{name!r} is defined {count} times")


def _taken(place: str, value: str, seen: dict[str, str]) -> Iterator[findings.Finding]:
    """Yield a finding if a value was seen before, else remember its place."""
    if value in seen:
        yield findings.Finding(place, f"{value!r} is already used at {seen[value]}")
    else:
        seen[value] = place

"""Validation of configuration files.

:func:`check` parses the text of a file and returns either the configuration or all findings.
"""

import collections
import json
from collections.abc import Iterator, Sequence

import expression
import pydantic

from waxwingspool.config import findings, model

__all__ = ["check", "model_findings"]

# Methods that HTTP defines as safe or idempotent: clients and middleware may resend them.
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})


def check(text: str | bytes) -> expression.Result[model.Configuration, list[findings.Finding]]:
    """Validate a configuration file as a whole.

    :param text: the JSON text.
    :returns: the configuration, or all findings with their locations.

    >>> check("{").is_error()
    True
    >>> [f.location for f in check('{"format": 1}').error]
    ['/data_centres', '/measuring', '/regions']
    """
    try:
        document = json.loads(text)
    except ValueError as error:
        return expression.Error([findings.Finding("", f"is not valid JSON: {error}")])
    try:
        configuration = model.Configuration.model_validate(document)
    except pydantic.ValidationError as error:
        return expression.Error(model_findings(error))
    found = sorted(_cross_field_findings(configuration))
    return expression.Error(found) if found else expression.Ok(configuration)


def model_findings(error: pydantic.ValidationError) -> list[findings.Finding]:
    """Convert the errors of a failed model validation to findings.

    :param error: the error raised by pydantic.
    :returns: the findings, sorted by location. A ``too_short`` error is left out if an item of the
        same list failed, because pydantic does not count failed items.
    """
    errors = error.errors()
    paths = [e["loc"] for e in errors]
    found = [
        findings.Finding(findings.pointer(e["loc"]), e["msg"])
        for e in errors
        if not (e["type"] == "too_short" and _has_nested_error(e["loc"], paths))
    ]
    return sorted(found)


def _has_nested_error(path: tuple, paths: Sequence[tuple]) -> bool:
    """Return whether an error lies inside the value at a path."""
    return any(len(p) > len(path) and p[: len(path)] == path for p in paths)


def _cross_field_findings(configuration: model.Configuration) -> Iterator[findings.Finding]:
    """Yield findings of the checks that compare several fields."""
    yield from _duplicate_findings("/regions", [r.name for r in configuration.regions])
    yield from _duplicate_findings("/data_centres", [d.name for d in configuration.data_centres])
    yield from _duplicate_findings("/services", [s.name for s in configuration.services])
    yield from _region_findings(configuration)
    data_centre_names = {d.name for d in configuration.data_centres}
    addresses: dict[str, str] = {}
    names: dict[str, str] = {}
    paths: dict[str, str] = {}
    for i, service in enumerate(configuration.services):
        for j, upstream in enumerate(service.upstreams):
            location = f"/services/{i}/upstreams/{j}"
            if upstream.data_centre not in data_centre_names:
                message = f"data centre {upstream.data_centre!r} is not defined"
                yield findings.Finding(f"{location}/data_centre", message)
            yield from _reuse_findings(f"{location}/name", upstream.name, names)
            yield from _reuse_findings(f"{location}/address", upstream.address, addresses)
        yield from _duplicate_findings(f"/services/{i}/rules", [r.name for r in service.rules])
        for j, rule in enumerate(service.rules):
            location = f"/services/{i}/rules/{j}"
            yield from _rule_findings(location, rule)
            for method in rule.methods:
                yield from _reuse_findings(f"{location}/path", f"{method} {rule.path}", paths)


def _region_findings(configuration: model.Configuration) -> Iterator[findings.Finding]:
    """Yield a finding for each undefined region that a data centre or link refers to."""
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


def _rule_findings(location: str, rule: model.Rule) -> Iterator[findings.Finding]:
    """Yield the findings about one rule."""
    for i, method in enumerate(rule.methods):
        if method != method.upper():
            yield findings.Finding(f"{location}/methods/{i}", "must be in upper case")
        if not rule.idempotent and method in _IDEMPOTENT_METHODS:
            message = (
                f"{method} is idempotent in HTTP; a non-idempotent rule must use POST or PATCH"
            )
            yield findings.Finding(f"{location}/methods/{i}", message)
    if not rule.idempotent and rule.hedge_share > 0:
        yield findings.Finding(
            f"{location}/hedge_share", "a non-idempotent request cannot be hedged"
        )
    if not rule.idempotent and rule.retries > 0:
        yield findings.Finding(f"{location}/retries", "a non-idempotent request cannot be retried")
    if rule.kind is model.Kind.UPLOAD and rule.hedge_share > 0:
        yield findings.Finding(f"{location}/hedge_share", "an upload cannot be hedged")
    if rule.kind is model.Kind.UPLOAD and not rule.idempotent:
        yield findings.Finding(f"{location}/idempotent", "an upload must be idempotent")
    if rule.kind is model.Kind.PAYMENT and rule.idempotent:
        yield findings.Finding(f"{location}/idempotent", "a payment must not be idempotent")


def _duplicate_findings(location: str, names: Sequence[str]) -> Iterator[findings.Finding]:
    """Yield a finding for each name that occurs more than once."""
    for name, count in collections.Counter(names).items():
        if count > 1:
            yield findings.Finding(location, f"{name!r} is defined {count} times")


def _reuse_findings(
    location: str, value: str, used_at: dict[str, str]
) -> Iterator[findings.Finding]:
    """Yield a finding if a value is already used, otherwise record its location."""
    if value in used_at:
        yield findings.Finding(location, f"{value!r} is already used at {used_at[value]}")
    else:
        used_at[value] = location

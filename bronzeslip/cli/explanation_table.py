"""Rendering of explanations as text."""

from collections.abc import Sequence

from bronzeslip.explanation import decision
from bronzeslip.explanation import endpoint_explanation
from bronzeslip.explanation import explanation
from bronzeslip.explanation import service_explanation
from bronzeslip.explanation import verdict

_ABSENT = "-"
_COLUMNS = (
    "endpoint",
    "state",
    "domain",
    "report",
    "running",
    "waiting",
    "sent",
    "memory",
    "pace",
    "cold",
    "paused",
    "limit",
    "wait",
    "cost",
    "not used because",
)


def to_text(explained: explanation.Explanation) -> str:
    """Renders an explanation as lines and one table per service."""
    regions = explained.permitted_regions
    lines = [
        f"gateway {explained.gateway}, "
        f"configuration {_or_absent(explained.configuration)}",
        f"route {_or_absent(explained.route)}, "
        f"workspace {_or_absent(explained.workspace)}, allowed regions: "
        + ("all" if regions is None else ", ".join(regions) or "none"),
    ]
    if explained.refusal is not None:
        lines.append(_decision_text(explained.refusal))
    for service in explained.services:
        lines += ["", *_service_lines(service)]
    return "\n".join(lines)


def _service_lines(
    service: service_explanation.ServiceExplanation,
) -> list[str]:
    placement = "placed by this gateway"
    if service.is_coordinated:
        placement = "coordinated by " + (
            ", then ".join(service.coordinators) or "no gateway"
        )
    lines = [
        f"service {service.service} ({service.share:.0%} of the route), "
        f"{placement}",
        _decision_text(service.decision),
    ]
    if not service.endpoints:
        return [*lines, "no endpoints are known"]
    rows = [_COLUMNS, *(_row(view) for view in service.endpoints)]
    return [*lines, *_table(rows)]


def _decision_text(taken: decision.Decision) -> str:
    if taken.endpoint_id is not None:
        local = f"sent to {taken.endpoint_id}, which has the least cost"
    else:
        local = f"refused with {taken.status} ({taken.code}): {taken.reason}"
        if taken.retry_after_s is not None:
            local += f"; retry after {taken.retry_after_s:.2f} s"
    if taken.verdict is verdict.Verdict.ASK_COORDINATOR:
        return f"decision: the coordinator's; without its reply {local}"
    return f"decision: {local}"


def _row(view: endpoint_explanation.EndpointExplanation) -> tuple[str, ...]:
    limit = _ABSENT
    if view.limit_per_s is not None:
        limit = f"{view.limit_per_s:.1f}/s"
    return (
        view.endpoint_id,
        view.state.value + (", unreachable" if view.is_unreachable else ""),
        view.failure_domain,
        _ABSENT if view.report_age_s is None else f"{view.report_age_s:.1f} s",
        _or_absent(view.running),
        _or_absent(view.waiting),
        str(view.in_flight),
        f"{view.memory_use:.0%}",
        f"{view.pace:.2f}",
        _duration(view.cold_s),
        _duration(view.paused_s),
        limit,
        f"{view.wait_s:.3f} s",
        f"{view.cost_s:.3f} s",
        ", ".join(reason.value for reason in view.excluded_by) or _ABSENT,
    )


def _table(rows: Sequence[Sequence[str]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _duration(duration_s: float) -> str:
    return f"{duration_s:.1f} s" if duration_s > 0 else _ABSENT


def _or_absent(value: object) -> str:
    return _ABSENT if value is None else str(value)

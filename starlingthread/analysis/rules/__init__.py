"""The rules of the judge: each check examines the evidence of a run and yields violations and notes."""

from __future__ import annotations

from .answers import check_answer_time, check_extra_answers, check_foreign_values, check_idle_waits, check_unknown
from .base import Check, Note
from .effects import check_idempotency_keys, check_run_once
from .greedy_clients import check_departures, check_late_writes, check_repeated_ids
from .processes import check_crashes, check_resource_limits
from .servers import check_drained_servers, check_warming_servers

CHECKS: tuple[Check, ...] = (
    check_answer_time,
    check_extra_answers,
    check_foreign_values,
    check_run_once,
    check_idempotency_keys,
    check_drained_servers,
    check_warming_servers,
    check_resource_limits,
    check_crashes,
    check_idle_waits,
    check_unknown,
    check_departures,
    check_repeated_ids,
    check_late_writes,
)

__all__ = ["CHECKS", "Check", "Note"]

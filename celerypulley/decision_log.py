"""Logging of decisions, one line each, as text or JSON."""

import enum
import json

import orjson
from absl import logging

from celerypulley.clock import Clock
from celerypulley.log_stream import LogStream

__all__ = ["DecisionLog", "LogFormat"]


class LogFormat(enum.Enum):
    """The format of log lines."""

    TEXT = "text"
    JSON = "json"


class DecisionLog:
    """A logger for the decisions of one part of the program.

    Lines go to `stream` if it is set, otherwise to absl's log. To keep secrets out
    of the log, pass names and reasons, never keys.
    """

    format = LogFormat.TEXT
    host_id = "-"
    stream: LogStream | None = None

    def __init__(self, part: str, clock: Clock | None = None) -> None:
        """Log under the name `part`; `clock` sets the time of JSON lines."""
        self.part = part
        self.clock = clock or Clock()

    def write(self, decision: str, reason: str, **fields: object) -> None:
        """Log `decision` with its `reason` and further fields."""
        if self.stream is not None:
            self.stream.write(self._json_line(decision, reason, fields).encode())
            return
        if self.format is LogFormat.JSON:
            logging.info("%s", self._json_line(decision, reason, fields))
            return
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        logging.info("%s: %s. %s. %s", self.part, decision, reason, details)

    def _json_line(self, decision: str, reason: str, fields: dict) -> str:
        line = {
            "time_ms": self.clock.wall_ms(),
            "host": self.host_id,
            "part": self.part,
            "decision": decision,
            "reason": reason,
            **{name: _to_json_value(value) for name, value in fields.items()},
        }
        try:
            return orjson.dumps(line).decode()
        except TypeError:  # text of callers that is not UTF-8, or a large number
            return json.dumps(line)


def _to_json_value(value: object) -> object:
    if value is None or isinstance(value, str | int | float):
        return value
    return str(value)

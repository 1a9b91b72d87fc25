"""Chat completions: parsing of requests and event streams, encoding of bodies."""

import hashlib
import re
from itertools import islice

import attrs
import orjson

from celerypulley.errors import CallRefusedError, ErrorKind

__all__ = ["ChatRequest", "CompletionReader", "completion_json", "read_chat_request"]

_FORWARDED_OPTIONS = (
    "temperature",
    "top_p",
    "stop",
    "seed",
    "tools",
    "tool_choice",
    "parallel_tool_calls",
    "response_format",
    "presence_penalty",
    "frequency_penalty",
    "logit_bias",
)
_ROLES = frozenset({"system", "developer", "user", "assistant", "tool"})
_DIGEST_BYTES = 16
_BYTES_PER_TOKEN = 4
_DONE = b"[DONE]"
# A token of one byte takes up to 60 bytes of memory once it is parsed.
_MAX_JSON_TOKENS = 200_000
_JSON_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[\[{,:]', re.DOTALL)


@attrs.frozen
class ChatRequest:
    """A validated chat-completion request of a caller.

    `messages_json` is the JSON array of new messages without its brackets, and
    `options_json` the object of what is passed to engines unchanged.
    """

    model: str
    messages_json: bytes
    message_count: int
    max_tokens: int | None
    stream: bool
    digest: bytes
    options_json: bytes

    def engine_body(
        self, history_json: bytes, max_tokens: int, priority: int, program: str
    ) -> bytes:
        """Return the request body for an engine: history, then new messages."""
        fields = {
            "model": self.model,
            "max_tokens": max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "priority": priority,
            "session_id": program,
        }
        separator = b"," if history_json else b""
        head = orjson.dumps(fields)[:-1]
        options = b"," + self.options_json[1:-1] if self.options_json != b"{}" else b""
        messages = history_json + separator + self.messages_json
        return head + options + b',"messages":[' + messages + b"]}"

    def estimated_prompt_tokens(self, history_bytes: int) -> int:
        """Return a rough estimate of the prompt's tokens."""
        return (history_bytes + len(self.messages_json)) // _BYTES_PER_TOKEN


def _bad_request(detail: str) -> CallRefusedError:
    return CallRefusedError.of(ErrorKind.BAD_REQUEST, detail)


def read_chat_request(body: bytes) -> ChatRequest:
    """Parse and validate a request body; raise CallRefusedError if it is invalid."""
    if _has_many_tokens(body):
        raise _bad_request(f"request body has over {_MAX_JSON_TOKENS} JSON tokens")
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _bad_request(f"request body is not valid JSON: {error}") from None
    if not isinstance(data, dict):
        raise _bad_request("request body is not a JSON object")
    model = data.get("model")
    if not isinstance(model, str):
        raise _bad_request("model is missing or not a string")
    messages = data.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _bad_request("messages is missing, empty or not an array")
    for number, message in enumerate(messages):
        if not isinstance(message, dict) or message.get("role") not in _ROLES:
            raise _bad_request(f"messages[{number}] is not an object with a known role")
    if data.get("n", 1) != 1:
        raise _bad_request(f"n is {data['n']!r}; only one choice is supported")
    max_tokens = data.get("max_completion_tokens", data.get("max_tokens"))
    if max_tokens is not None and (type(max_tokens) is not int or max_tokens < 1):
        raise _bad_request(
            f"max_tokens is {max_tokens!r}; it must be an integer above 0"
        )
    messages_json = orjson.dumps(messages)[1:-1]
    digest = hashlib.sha256(model.encode() + b"\0" + messages_json).digest()
    return ChatRequest(
        model=model,
        messages_json=messages_json,
        message_count=len(messages),
        max_tokens=max_tokens,
        stream=bool(data.get("stream", False)),
        digest=digest[:_DIGEST_BYTES],
        options_json=orjson.dumps(
            {name: data[name] for name in _FORWARDED_OPTIONS if name in data}
        ),
    )


def _has_many_tokens(body: bytes) -> bool:
    """Return whether a body has more strings and marks than are parsed."""
    if len(body) <= _MAX_JSON_TOKENS:
        return False
    tokens = _JSON_TOKEN.finditer(body)
    return next(islice(tokens, _MAX_JSON_TOKENS, None), None) is not None


class CompletionReader:
    """Parser of one completion's events: text, tool calls, usage, finish reason.

    `feed` returns the events that can be forwarded at once. The events that end
    the completion are withheld until the turn has been committed.
    """

    def __init__(self, max_tokens: int) -> None:
        """Read a new stream; the completion is cut off at `max_tokens`."""
        self.max_tokens = max_tokens
        self.text_parts: list[str] = []
        self.tool_calls: dict[int, dict] = {}
        self.tokens = 0
        self.usage: dict = {}
        self.finish_reason: str | None = None
        self.withheld_events = b""
        self.done = False
        self.completion_id = ""
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Return the complete events in `data` that can be forwarded.

        Raise ValueError for an event that is not valid JSON.
        """
        events = (self._partial_event + data).split(b"\n\n")
        self._partial_event = events.pop()
        forwarded = []
        for event in events:
            if self.done:
                break
            if self._read_event(event):
                forwarded.append(event + b"\n\n")
        return b"".join(forwarded)

    def message(self) -> dict:
        """Return the assistant's message."""
        message: dict = {"role": "assistant", "content": "".join(self.text_parts)}
        if self.tool_calls:
            message["tool_calls"] = [
                self.tool_calls[index] for index in sorted(self.tool_calls)
            ]
        return message

    def _read_event(self, event: bytes) -> bool:
        if not event.startswith(b"data:"):
            return False
        payload = event[5:].strip()
        if payload == _DONE:
            self.done = True
            return False
        chunk = orjson.loads(payload)
        self.completion_id = chunk.get("id", self.completion_id)
        if chunk.get("usage"):
            self.usage = chunk["usage"]
        is_final = not chunk.get("choices")
        if self.tokens >= self.max_tokens and _has_content(chunk):
            self.finish_reason = "length"
            self.done = True
            return False
        for choice in chunk.get("choices", ()):
            self._read_delta(choice.get("delta") or {})
            if choice.get("finish_reason"):
                self.finish_reason = choice["finish_reason"]
                is_final = True
        if is_final:
            self.withheld_events += event + b"\n\n"
        return not is_final

    def _read_delta(self, delta: dict) -> None:
        content = delta.get("content")
        if content:
            self.text_parts.append(content)
            self.tokens += 1
        for fragment in delta.get("tool_calls") or ():
            self.tokens += 1
            self._read_tool_call(fragment)

    def _read_tool_call(self, fragment: dict) -> None:
        index = fragment.get("index", 0)
        tool_call = self.tool_calls.setdefault(
            index,
            {"id": "", "type": "function", "function": {"name": "", "arguments": ""}},
        )
        tool_call["id"] = fragment.get("id") or tool_call["id"]
        function = fragment.get("function") or {}
        tool_call["function"]["name"] += function.get("name") or ""
        tool_call["function"]["arguments"] += function.get("arguments") or ""


def _has_content(chunk: dict) -> bool:
    for choice in chunk.get("choices", ()):
        delta = choice.get("delta") or {}
        if delta.get("content") or delta.get("tool_calls"):
            return True
    return False


def completion_json(
    model: str, completion_id: str, message: dict, finish_reason: str, usage: dict
) -> bytes:
    """Return a chat completion that is not streamed, as JSON."""
    choice = {"index": 0, "message": message, "finish_reason": finish_reason}
    return orjson.dumps(
        {
            "id": completion_id,
            "object": "chat.completion",
            "created": 0,
            "model": model,
            "choices": [choice],
            "usage": usage,
        }
    )

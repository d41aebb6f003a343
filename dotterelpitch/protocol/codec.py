"""Encodes typed messages as msgpack frames and decodes them.

A frame is one msgpack array: ``[stream, kind, field, field, ...]``. ``kind``
is the number passed to ``message``; the fields follow in the order of the attrs
class. The type of each value is checked without coercion, so that a malformed
frame raises ProtocolError and never reaches a handler.
"""

from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import attrs
import cattrs
import msgpack

from dotterelpitch.errors import ProtocolError

# Bounds the receive buffer of a connection, and so the size of one frame.
MAX_FRAME_BYTES = 4 * 1024 * 1024

PLAIN_TYPES = {int, str, bytes, bool}
"""Types that need no conversion; a message with only these skips the converter."""

T = TypeVar("T")

_class_by_kind: dict[int, type] = {}
_kind_by_class: dict[type, int] = {}
_arity_by_kind: dict[int, int] = {}
_names_by_class: dict[type, tuple[str, ...]] = {}
_plain_types_by_class: dict[type, tuple[type, ...]] = {}
_packer = msgpack.Packer()
_converter = cattrs.Converter(unstruct_strat=cattrs.UnstructureStrategy.AS_TUPLE)


def message(kind: int) -> Callable[[type[T]], type[T]]:
    """Return a decorator that registers a frozen attrs class as message ``kind``.

    The decorator raises ValueError when another class has that number.
    """

    def register(cls: type[T]) -> type[T]:
        frozen_cls = attrs.frozen(cls)
        if kind in _class_by_kind:
            raise ValueError(
                f"message kind {kind} is already {_class_by_kind[kind].__name__}"
            )
        _class_by_kind[kind] = frozen_cls
        _kind_by_class[frozen_cls] = kind
        fields = attrs.fields(frozen_cls)
        _arity_by_kind[kind] = len(fields)
        _names_by_class[frozen_cls] = tuple(field.name for field in fields)
        types = tuple(field.type for field in fields)
        if set(types) <= PLAIN_TYPES:
            _plain_types_by_class[frozen_cls] = types
        return frozen_cls

    return register


def encode_frame(stream: int, content: Any) -> bytes:
    """Return the frame that sends the message ``content`` on ``stream``."""
    cls = type(content)
    if cls in _plain_types_by_class:
        fields = [getattr(content, name) for name in _names_by_class[cls]]
    else:
        fields = _converter.unstructure(content)
    return _packer.pack((stream, _kind_by_class[cls], *fields))


class FrameDecoder:
    """Buffers received bytes and yields the complete frames in them.

    Nothing of a frame is decoded before it is complete, so an incomplete one takes no
    more memory than its bytes. ``frame_bytes`` is the size of the frame that was
    yielded last.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._scanner = msgpack.Unpacker(max_buffer_size=max_frame_bytes)
        self._buffer = bytearray()
        self._scanned_bytes = 0
        self.frame_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """The size of what has come of the frame that is still incomplete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[tuple[int, Any]]:
        """Yield ``(stream, message)`` for each frame that ``data`` completes.

        Raises ProtocolError on malformed frames, frames above the size limit, and
        unknown message kinds.
        """
        try:
            self._scanner.feed(data)
            self._buffer += data
            while self._find_end():
                frame = bytes(self._buffer[: self.frame_bytes])
                del self._buffer[: self.frame_bytes]
                yield _decode(_unpack(frame))
        except (msgpack.UnpackException, ValueError, msgpack.BufferFull) as error:
            raise ProtocolError(f"invalid msgpack frame: {error}") from error
        if len(self._buffer) > self._max_frame_bytes:
            raise ProtocolError(f"a frame is above {self._max_frame_bytes} bytes")

    def _find_end(self) -> bool:
        """Return whether a frame is complete, and note its size."""
        try:
            self._scanner.skip()
        except msgpack.OutOfData:
            return False
        end = self._scanner.tell()
        self.frame_bytes = end - self._scanned_bytes
        self._scanned_bytes = end
        return True


def _unpack(frame: bytes) -> Any:
    return msgpack.unpackb(frame, use_list=False, strict_map_key=True)


def _decode(raw: Any) -> tuple[int, Any]:
    if not isinstance(raw, tuple) or len(raw) < 2:
        raise ProtocolError("a frame must be an array of at least two items")
    stream, kind, *fields = raw
    if type(stream) is not int or stream < 0:
        raise ProtocolError("the stream number must be a non-negative integer")
    if type(kind) is not int or kind not in _class_by_kind:
        raise ProtocolError(f"unknown message kind {kind!r}")
    if len(fields) != _arity_by_kind[kind]:
        raise ProtocolError(
            f"message kind {kind}: expected {_arity_by_kind[kind]} fields, "
            f"got {len(fields)}"
        )
    cls = _class_by_kind[kind]
    if tuple(map(type, fields)) == _plain_types_by_class.get(cls):
        return stream, cls(*fields)
    try:
        return stream, _converter.structure(fields, cls)
    except Exception as error:
        raise ProtocolError(f"message kind {kind}: {error}") from error


def _strict(expected: type) -> Callable[[Any, type], Any]:
    """Return a structure hook for ``expected`` and subclasses such as a StrEnum."""

    def structure(value: Any, target: type) -> Any:
        if type(value) is not expected:
            raise TypeError(f"expected {expected.__name__}, got {type(value).__name__}")
        return value if target is expected else target(value)

    return structure


def _strict_float(value: Any, _: type) -> float:
    if type(value) not in (int, float):
        raise TypeError(f"expected float, got {type(value).__name__}")
    return float(value)


for _type in (int, str, bytes, bool):
    _converter.register_structure_hook(_type, _strict(_type))
_converter.register_structure_hook(float, _strict_float)

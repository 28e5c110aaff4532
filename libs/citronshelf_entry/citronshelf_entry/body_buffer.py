"""Buffer of a body whose memory is proportional to its bytes."""

SEGMENT_BYTES = 64 * 1024


class BodyBuffer:
    """Bytes of a body in segments.

    A list of the received pieces would cost many times their bytes if they
    are small; one growing array would be copied as it grows.
    """

    def __init__(self):
        self.segments: list[bytearray] = []
        self.size = 0

    def append(self, data: bytes) -> None:
        """Append bytes."""
        self.size += len(data)
        if (
            not self.segments
            or len(self.segments[-1]) + len(data) > SEGMENT_BYTES
        ):
            self.segments.append(bytearray())
        self.segments[-1] += data

    def take(self) -> bytes:
        """Return all bytes and remove them."""
        data = b''.join(self.segments)
        self.clear()
        return data

    def clear(self) -> None:
        """Remove all bytes."""
        self.segments.clear()
        self.size = 0

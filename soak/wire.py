"""The platform's packets, as clients and targets write them.

The sum in a packet is made with a key that the system under test doesn't know,
so a changed packet is noticed by whoever receives it.
"""

import dataclasses
import hashlib
import socket
import struct

SYN, ACK, FIN, RST = 64, 32, 8, 2
HEAD = struct.Struct(">BB4s4sHHIHIII")
KEY = b"known to clients and targets only"


@dataclasses.dataclass
class Packet:
    """One packet; addresses are texts, `echo` is the carried word."""

    flags: int
    src: str
    sport: int
    dst: str
    dport: int
    echo: int = 0
    seq: int = 0
    ack: int = 0
    data: bytes = b""

    def sum(self):
        """Over everything but the carried word."""
        fields = (self.flags, self.src, self.sport, self.dst, self.dport,
                  self.seq, self.ack, self.data)
        digest = hashlib.blake2b(repr(fields).encode(), key=KEY, digest_size=4)
        return int.from_bytes(digest.digest(), "big")

    def encode(self):
        return HEAD.pack(self.flags, 0, socket.inet_aton(self.src),
                         socket.inet_aton(self.dst), self.sport, self.dport,
                         self.sum(), len(self.data), self.echo, self.seq,
                         self.ack) + self.data


def decode(data):
    """Returns the packet and whether its sum is right; None for other bytes.

    A reset of the system's own carries the sum 0, and no data.
    """
    if len(data) < HEAD.size:
        return None
    (flags, _, src, dst, sport, dport, total, length, echo, seq,
     ack) = HEAD.unpack_from(data)
    body = data[HEAD.size:]
    if length != len(body):
        return None
    packet = Packet(flags, socket.inet_ntoa(src), sport, socket.inet_ntoa(dst),
                    dport, echo, seq, ack, body)
    return packet, total == packet.sum(), flags == RST and total == 0

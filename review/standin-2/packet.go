package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// The flags of a packet.
const (
	flagACK = 2
	flagSYN = 4
	flagFIN = 8
	flagRST = 32
)

// headBytes is the length of a packet's head, numberBytes that of the number of the intended
// backend in front of it.
const (
	headBytes   = 31
	numberBytes = 8
)

// packet is a packet of a flow, in the layout of PROTOCOL.md.
type packet struct {
	src, dst netip.AddrPort
	echo     uint32
	flags    byte
	seq, ack uint32
	data     []byte
}

// encode returns the bytes of a packet.
func (p *packet) encode() []byte {
	b := make([]byte, headBytes+len(p.data))
	binary.LittleEndian.PutUint16(b[0:], p.dst.Port())
	putIP(b[2:], p.src.Addr())
	putIP(b[6:], p.dst.Addr())
	binary.LittleEndian.PutUint16(b[10:], p.src.Port())
	binary.LittleEndian.PutUint32(b[12:], p.echo)
	b[16] = p.flags
	binary.LittleEndian.PutUint16(b[21:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[23:], p.seq)
	binary.LittleEndian.PutUint32(b[27:], p.ack)
	copy(b[headBytes:], p.data)
	binary.LittleEndian.PutUint32(b[17:], sum(b))
	return b
}

// decode decodes a packet. genuine reports whether its sum is that of an end of a flow; a reset
// of the system has the sum 0.
func decode(b []byte) (p packet, genuine, ok bool) {
	if len(b) < headBytes {
		return packet{}, false, false
	}
	p = packet{
		src:   netip.AddrPortFrom(getIP(b[2:]), binary.LittleEndian.Uint16(b[10:])),
		dst:   netip.AddrPortFrom(getIP(b[6:]), binary.LittleEndian.Uint16(b[0:])),
		echo:  binary.LittleEndian.Uint32(b[12:]),
		flags: b[16],
		seq:   binary.LittleEndian.Uint32(b[23:]),
		ack:   binary.LittleEndian.Uint32(b[27:]),
		data:  b[headBytes:],
	}
	length := int(binary.LittleEndian.Uint16(b[21:]))
	if length != len(p.data) {
		return packet{}, false, false
	}
	return p, binary.LittleEndian.Uint32(b[17:]) == sum(b), true
}

// sum is the keyed sum over all fields but echo, sum and pad, and over the data.
func sum(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("a key of the ends"))
	_, _ = h.Write(b[0:12])
	_, _ = h.Write(b[16:17])
	_, _ = h.Write(b[21:])
	return max(h.Sum32(), 1)
}

func putIP(b []byte, ip netip.Addr) {
	four := ip.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(four[:]))
}

func getIP(b []byte) netip.Addr {
	var four [4]byte
	binary.BigEndian.PutUint32(four[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(four)
}

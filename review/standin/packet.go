package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flag bits of a packet.
const (
	flagAck   = 2
	flagOpen  = 4
	flagEnd   = 8
	flagReset = 32
)

const (
	headerBytes = 31
	maxData     = 1200
	idBytes     = 8
)

// packet is a packet of a flow.
type packet struct {
	from, to netip.AddrPort
	echo     uint32
	flags    byte
	seq, ack uint32
	data     []byte
	// sumValid says of a received packet that its sum was made by an end of the flow. A reset of
	// the load balancer has the sum 0.
	sumValid bool
}

func (p *packet) opens() bool { return p.flags&flagOpen != 0 && p.flags&flagAck == 0 }

// sum is the sum over all fields except echo; it is never 0.
func (p *packet) sum() uint32 {
	h := fnv.New32a()
	var fixed [21]byte
	from, to := p.from.Addr().As4(), p.to.Addr().As4()
	copy(fixed[0:], from[:])
	copy(fixed[4:], to[:])
	binary.LittleEndian.PutUint16(fixed[8:], p.from.Port())
	binary.LittleEndian.PutUint16(fixed[10:], p.to.Port())
	fixed[12] = p.flags
	binary.LittleEndian.PutUint32(fixed[13:], p.seq)
	binary.LittleEndian.PutUint32(fixed[17:], p.ack)
	_, _ = h.Write(fixed[:])
	_, _ = h.Write(p.data)
	return h.Sum32() | 1
}

func putIP(b []byte, a netip.Addr) {
	ip := a.As4()
	binary.LittleEndian.PutUint32(b, binary.BigEndian.Uint32(ip[:]))
}

func ipOf(b []byte) netip.Addr {
	var ip [4]byte
	binary.BigEndian.PutUint32(ip[:], binary.LittleEndian.Uint32(b))
	return netip.AddrFrom4(ip)
}

func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.LittleEndian.PutUint16(b[0:], p.to.Port())
	putIP(b[2:], p.from.Addr())
	putIP(b[6:], p.to.Addr())
	binary.LittleEndian.PutUint16(b[10:], p.from.Port())
	binary.LittleEndian.PutUint32(b[12:], p.echo)
	b[16] = p.flags
	binary.LittleEndian.PutUint32(b[17:], p.sum())
	binary.LittleEndian.PutUint16(b[21:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[23:], p.seq)
	binary.LittleEndian.PutUint32(b[27:], p.ack)
	return append(b, p.data...)
}

func decode(b []byte) (packet, bool) {
	if len(b) < headerBytes || len(b) > headerBytes+maxData {
		return packet{}, false
	}
	p := packet{
		from:  netip.AddrPortFrom(ipOf(b[2:]), binary.LittleEndian.Uint16(b[10:])),
		to:    netip.AddrPortFrom(ipOf(b[6:]), binary.LittleEndian.Uint16(b[0:])),
		echo:  binary.LittleEndian.Uint32(b[12:]),
		flags: b[16],
		seq:   binary.LittleEndian.Uint32(b[23:]),
		ack:   binary.LittleEndian.Uint32(b[27:]),
	}
	if int(binary.LittleEndian.Uint16(b[21:])) != len(b)-headerBytes {
		return packet{}, false
	}
	p.data = append([]byte(nil), b[headerBytes:]...)
	p.sumValid = binary.LittleEndian.Uint32(b[17:]) == p.sum()
	return p, true
}

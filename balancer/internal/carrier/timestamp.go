package carrier

import (
	"net"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// controlBufferBytes holds the one control message that is asked for, with room.
const controlBufferBytes = 128

// enableReceiveTimestamps has the kernel note when it took each datagram in.
//
// What goes wrong without it: the process is paused while datagrams wait in the
// socket. When it wakes they look new, and a request that its caller has long
// given up runs. The reducer drops what waited too long, see DropStale.
func enableReceiveTimestamps(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_TIMESTAMPNS, 1)
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// socketDelay returns how long a datagram waited in the socket, from its control
// message. The kernel's time is that of the wall clock, so a step of that clock
// can make the answer wrong once; it is never negative.
func socketDelay(control []byte, now time.Time) time.Duration {
	messages, err := unix.ParseSocketControlMessage(control)
	if err != nil {
		return 0
	}
	for _, m := range messages {
		if m.Header.Level != unix.SOL_SOCKET || m.Header.Type != unix.SO_TIMESTAMPNS {
			continue
		}
		if len(m.Data) < int(unsafe.Sizeof(unix.Timespec{})) {
			continue
		}
		receivedAt := (*unix.Timespec)(unsafe.Pointer(&m.Data[0]))
		return max(0, now.Sub(time.Unix(receivedAt.Unix())))
	}
	return 0
}

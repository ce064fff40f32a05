package carrier

import (
	"net"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

// controlBufferBytes is larger than the one control message that is requested.
const controlBufferBytes = 128

// enableReceiveTimestamps makes the kernel record when it received each datagram.
//
// Without this, datagrams that waited in the socket while the process was paused would look
// new after it resumes, and requests that their callers have long abandoned would run. The
// reducer drops packets that waited too long, see reducer.DropStale.
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

// socketDelay returns how long a datagram waited in the socket, according to the timestamp
// in its control message, or 0 if there is none. The timestamp is wall-clock time, so the
// result is wrong for datagrams that wait across a step of that clock; it is never negative.
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

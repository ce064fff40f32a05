package carrier

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/reducer"
	"cranberryspan.dev/core/timekeeper"
	"github.com/stretchr/testify/require"
)

func TestSocketDelayUsesKernelTimestamp(t *testing.T) {
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	sender, err := net.Dial("udp", conn.LocalAddr().String())
	require.NoError(t, err)
	defer func() { _ = sender.Close() }()
	_, err = sender.Write([]byte("x"))
	require.NoError(t, err)
	control := make([]byte, controlBufferBytes)
	_, n, _, _, err := conn.ReadMsgUDPAddrPort(make([]byte, 16), control)
	require.NoError(t, err)
	// With the current time an hour later, the datagram has waited for an hour.
	delay := socketDelay(control[:n], time.Now().Add(time.Hour))
	require.InDelta(t, time.Hour.Seconds(), delay.Seconds(), 60)
	require.Zero(t, socketDelay(control[:n], time.Now().Add(-time.Hour)), "a clock that went back")
	require.Zero(t, socketDelay(nil, time.Now()))
	require.Zero(t, socketDelay([]byte{1, 2, 3}, time.Now()))
}

// Guards against a host sending packets without permission after a pause: when the process
// is paused between the reducer's decision to send and the send itself, and resumes after
// the host's permission has expired, the packet must be dropped.
func TestSendAfterDeadlineIsFenced(t *testing.T) {
	fabric, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { _ = fabric.Close() }()
	now := timekeeper.Instant(time.Second)
	var codec atomic.Pointer[encoder.MessageCodec]
	codec.Store(encoder.New("a", nil))
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	c, err := New(anyPort, anyPort, fabric.LocalAddr().(*net.UDPAddr).AddrPort(), &codec, func() timekeeper.Instant { return now }, make(chan reducer.Event, 1))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done := c.Run(ctx)
	e := &reducer.ToTarget{Target: netip.MustParseAddrPort("10.2.0.1:5683"), Return: netip.MustParseAddr("fd00::1"), Deadline: now.Add(time.Millisecond), Payload: []byte("x")}
	c.SendToTarget(e)
	now = now.Add(time.Second)
	c.SendToTarget(e)
	require.EqualValues(t, 1, c.Counters.Fenced.Load())
	require.NoError(t, fabric.SetReadDeadline(time.Now().Add(10*time.Second)))
	n, err := fabric.Read(make([]byte, 2048))
	require.NoError(t, err)
	require.Positive(t, n)
	stop()
	require.NoError(t, <-done)
	require.NoError(t, <-done)
}

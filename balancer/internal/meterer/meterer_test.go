package meterer_test

import (
	"context"
	"io"
	"net"
	"testing"

	"cranberryspan.dev/balancer/internal/meterer"
	"github.com/stretchr/testify/require"
)

// Each end of a connection counts the bytes that it sends and receives.
func TestMeterCountsBothDirections(t *testing.T) {
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	serverMeter, clientMeter := meterer.New(), meterer.New()
	listener := serverMeter.WrapListener(inner)
	defer func() { _ = listener.Close() }()
	done := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			done <- err
			return
		}
		defer func() { _ = conn.Close() }()
		request := make([]byte, 3)
		if _, err = io.ReadFull(conn, request); err == nil {
			_, err = conn.Write(make([]byte, 1000))
		}
		done <- err
	}()
	conn, err := clientMeter.Dial(context.Background(), "tcp4", inner.Addr().String())
	require.NoError(t, err)
	_, err = conn.Write([]byte("all"))
	require.NoError(t, err)
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Len(t, response, 1000)
	require.NoError(t, <-done)
	received, sent := clientMeter.Totals()
	require.Equal(t, [2]uint64{1000, 3}, [2]uint64{received, sent})
	received, sent = serverMeter.Totals()
	require.Equal(t, [2]uint64{3, 1000}, [2]uint64{received, sent})
}

package logger

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// stalledWriter is a log output whose reader stalls until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(p)
}

// Guards against packets delayed by logging: when the log reader stalls and lines continue
// to be written, writes must not wait for the reader.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	out := &stalledWriter{release: make(chan struct{})}
	l := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	done := l.Run(ctx)
	written := make(chan struct{})
	go func() {
		for range 5 * queueCapacity {
			l.Write("flowPlaced", zap.String("flow", "100.64.0.1:1"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a line waited for the reader")
	}
	require.NotZero(t, l.Dropped())
	close(out.release)
	cancel()
	require.NoError(t, <-done)
	require.Contains(t, out.buffer.String(), "msg=flowPlaced flow=100.64.0.1:1")
}

// The rate of lines is limited, and dropped lines are counted.
func TestAllowLimitsLineRate(t *testing.T) {
	l := New(&bytes.Buffer{})
	allowed := 0
	for range 10 * lineBurst {
		if l.Allow() {
			allowed++
		}
	}
	require.Less(t, allowed, 2*lineBurst)
	require.Equal(t, uint64(10*lineBurst-allowed), l.Dropped())
}

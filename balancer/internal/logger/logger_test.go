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

// reader stands for a log whose reader has stalled.
type reader struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (r *reader) Write(p []byte) (int, error) {
	<-r.release
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

// Symptom: packets are late. Sequence: whoever reads the log stalls; lines go on.
// Cause: writes that wait for the reader.
func TestStalledReaderDelaysNothing(t *testing.T) {
	out := &reader{release: make(chan struct{})}
	l := New(out)
	ctx, cancel := context.WithCancel(context.Background())
	end := l.Run(ctx)
	written := make(chan struct{})
	go func() {
		for range 5 * queueLines {
			l.Write("flowPlaced", zap.String("flow", "100.64.0.1:1"))
		}
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a line waited for the reader")
	}
	require.NotZero(t, l.LeftOut())
	close(out.release)
	cancel()
	require.NoError(t, <-end)
	require.Contains(t, out.text.String(), "msg=flowPlaced flow=100.64.0.1:1")
}

// The volume is bounded, and what was left out is counted.
func TestLinesAreBounded(t *testing.T) {
	l := New(&bytes.Buffer{})
	allowed := 0
	for range 10 * linesAtOnce {
		if l.Allow() {
			allowed++
		}
	}
	require.Less(t, allowed, 2*linesAtOnce)
	require.Equal(t, uint64(10*linesAtOnce-allowed), l.LeftOut())
}

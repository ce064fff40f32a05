package reloader

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against SIGHUP terminating the process, and against a change of the settings file
// going unnoticed, with a signal or without.
func TestReloadOnSignalAndFileChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	require.NoError(t, os.WriteFile(path, []byte("a"), 0o600))
	r := New(path)
	ctx, cancel := context.WithCancel(context.Background())
	done := r.Run(ctx)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, "signal", nextCause(t, r))
	later := time.Now().Add(time.Hour)
	require.NoError(t, os.Chtimes(path, later, later))
	require.Equal(t, "fileChanged", nextCause(t, r))
	cancel()
	require.NoError(t, <-done)
}

func nextCause(t *testing.T, r *Reloader) string {
	t.Helper()
	select {
	case cause := <-r.Changed():
		return cause
	case <-time.After(10 * time.Second):
		t.Fatal("the change was not noticed")
		return ""
	}
}

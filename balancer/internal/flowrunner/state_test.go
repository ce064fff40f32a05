package flowrunner

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"cranberryspan.dev/balancer/internal/inspector"
	"cranberryspan.dev/balancer/internal/logger"
	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

func TestServeStateReadsBetweenEvents(t *testing.T) {
	r := &Runner{inspector: inspector.New[*steerer.Steerer](), log: logger.New(io.Discard)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		inspection := <-r.inspector.Requests()
		inspection.Run(steerer.New(steerer.Config{}))
	}()
	recorder := httptest.NewRecorder()
	serveState(r, (*steerer.Steerer).TargetStatuses)(recorder, httptest.NewRequest(http.MethodGet, "/targets", nil))
	<-done
	require.Equal(t, http.StatusOK, recorder.Code)
	require.JSONEq(t, "[]", recorder.Body.String())
}

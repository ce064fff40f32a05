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

func TestTargetsAreServedBetweenTwoEvents(t *testing.T) {
	r := &Runner{inspector: inspector.New[*steerer.Steerer](), log: logger.New(io.Discard)}
	done := make(chan struct{})
	go func() {
		defer close(done)
		look := <-r.inspector.Looks()
		look.Run(steerer.New(steerer.Config{}))
	}()
	answer := httptest.NewRecorder()
	serveState(r, (*steerer.Steerer).TargetStatuses)(answer, httptest.NewRequest(http.MethodGet, "/targets", nil))
	<-done
	require.Equal(t, http.StatusOK, answer.Code)
	require.JSONEq(t, "[]", answer.Body.String())
}

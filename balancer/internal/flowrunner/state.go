package flowrunner

import (
	"encoding/json"
	"net/http"

	"cranberryspan.dev/core/steerer"
	"go.uber.org/zap"
)

// serveState returns a handler that responds with the part of the host's state that read
// returns, as JSON.
func serveState[T any](r *Runner, read func(*steerer.Steerer) T) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var state T
		if err := r.inspector.Inspect(request.Context(), func(s *steerer.Steerer) { state = read(s) }); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(state); err != nil {
			r.log.Write("adminAnswerFailed", zap.String("path", request.URL.Path), zap.Error(err))
		}
	}
}

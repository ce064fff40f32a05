package flowrunner

import (
	"encoding/json"
	"net/http"

	"cranberryspan.dev/core/steerer"
	"go.uber.org/zap"
)

// serveTargets answers operators what the host believes of its targets.
func (r *Runner) serveTargets(w http.ResponseWriter, request *http.Request) {
	var statuses []steerer.TargetStatus
	if err := r.inspector.Inspect(request.Context(), func(s *steerer.Steerer) { statuses = s.TargetStatuses() }); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(statuses); err != nil {
		r.log.Write("adminAnswerFailed", zap.String("path", request.URL.Path), zap.Error(err))
	}
}

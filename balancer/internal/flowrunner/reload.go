package flowrunner

import (
	"cranberryspan.dev/balancer/internal/configurer"
	"cranberryspan.dev/core/steerer"
	"go.uber.org/zap"
)

// reload reads the host's settings file again. It applies changes of seeds and platform, and
// logs whether other changes need a restart. An invalid file changes nothing.
func (r *Runner) reload(cause string) steerer.Event {
	config, err := configurer.ReadFlowFile(r.path)
	if err != nil {
		r.log.Write("reloadFailed", zap.String("cause", cause), zap.Error(err))
		return nil
	}
	needsRestart := config.WithSeeds(r.config.Seeds).WithPlatform(r.config.Platform).Differs(r.config)
	r.log.Write("reloaded", zap.String("cause", cause), zap.Int("seeds", len(config.Seeds)),
		zap.Stringer("platform", config.Platform), zap.Bool("restartNeeded", needsRestart))
	if config.Platform != r.config.Platform {
		r.fetcher.SetPlatform(r.platform.NewClient(config.Platform, r.meter.Dial))
	}
	r.config = r.config.WithSeeds(config.Seeds).WithPlatform(config.Platform)
	return &steerer.SeedsChanged{Seeds: config.Seeds}
}

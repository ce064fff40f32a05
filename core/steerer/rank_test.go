package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// A zone is lost. Guards against waiting for its hosts to read the platform for as long as
// they are presumed alive, which takes longer the larger the fleet is.
func TestHostsOfLostZoneDoNotCountForRank(t *testing.T) {
	f := newFleet(t, 12, 12, 12)
	f.step(3 * time.Second)
	lost := f.zoneOfFirstReader()
	for _, name := range f.names {
		if name[:1] == lost {
			f.kill(name)
		}
	}
	f.step(4300 * time.Millisecond)
	first := f.firstReader(func(name string) bool { return name[:1] != lost })
	require.Zero(t, f.hosts[first].steerer.SyncStatus().Rank)
}

// firstReader is the host with the lowest rank among those that match.
func (f *fleet) firstReader(among func(name string) bool) string {
	first := ""
	for _, name := range f.names {
		if among(name) && (first == "" || f.status(name).Rank < f.status(first).Rank) {
			first = name
		}
	}
	return first
}

func (f *fleet) zoneOfFirstReader() string {
	return f.firstReader(func(string) bool { return true })[:1]
}

func (f *fleet) status(name string) steerer.SyncStatus {
	return f.hosts[name].steerer.SyncStatus()
}

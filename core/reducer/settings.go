package reducer

import (
	"bytes"
	"compress/gzip"
	"io"
	"maps"
	"strconv"
	"time"

	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/placer"
	"cranberryspan.dev/core/resolver"
)

// handleSettingsPublished adopts a revision if it is valid and higher than the one
// in force.
//
// Without the comparison, a stale revision replaces a newer one: the platform is
// restored from a backup and serves revision 7 after 9, or a peer that was
// partitioned still has 7. This shows as a drained target that gets flows again. A
// host that is behind learns of the higher revision from the next heartbeat.
func (r *Reducer) handleSettingsPublished(revision uint64, document []byte) {
	if revision <= r.Revision() || revision == r.rejectedRevision {
		return
	}
	settings, err := resolver.Resolve("revision "+strconv.FormatUint(revision, 10), document)
	if err != nil {
		r.rejectedRevision = revision
		r.emit(&Rejected{Revision: revision, Err: err})
		return
	}
	numbered := settings.WithRevision(revision)
	r.adopt(&numbered, document)
}

func (r *Reducer) adopt(settings *resolver.Settings, document []byte) {
	r.releaseAddresses(settings, r.now)
	r.document = document
	r.settings = settings
	if host, ok := settings.HostByName(r.self); ok {
		r.localCell = host.Cell
	}
	r.adoptCells(settings)
	r.serviceIDs = r.serviceIDs[:0]
	updated := make(map[resolver.ServiceID]*service, len(settings.Services))
	for i := range settings.Services {
		s := &settings.Services[i]
		updated[s.ID] = r.updateService(r.services[s.ID], s, r.now)
		r.serviceIDs = append(r.serviceIDs, s.ID)
	}
	r.services = updated
	r.detector.SetHosts(settings.Hosts, settings.Revision, r.now)
	r.emit(&Adopted{Settings: settings})
}

func (r *Reducer) adoptCells(settings *resolver.Settings) {
	members := map[string][]string{}
	for _, h := range settings.Hosts {
		members[h.Cell] = append(members[h.Cell], h.Name)
	}
	r.rankers = make(map[string]placer.Ranker, len(members))
	for cell, names := range members {
		r.rankers[cell] = placer.NewRanker(names)
	}
	sizes := make(map[string]int, len(members))
	for cell, names := range members {
		sizes[cell] = len(names)
	}
	if maps.Equal(sizes, r.cellSizes) {
		return
	}
	r.cellSizes = sizes
	cells := placer.NewCellMap(settings.Hosts)
	if len(r.services) > 0 {
		r.previousCells = r.cells
		r.homeMoveDeadline = r.now.Add(r.maxExchangeLifetime())
	}
	r.cells = cells
	r.dirtyShards = flowShards
}

// Revision returns the settings revision in force; zero before the first.
func (r *Reducer) Revision() uint64 {
	if r.settings == nil {
		return 0
	}
	return r.settings.Revision
}

// Settings returns the settings in force; nil before the first revision.
func (r *Reducer) Settings() *resolver.Settings { return r.settings }

// settingsOutdated reports whether some host has reported a higher revision, other
// than one that this host rejected as invalid.
func (r *Reducer) settingsOutdated() bool {
	highest, _ := r.detector.HighestRevision()
	return highest > r.Revision() && highest != r.rejectedRevision
}

// requestNewerSettings requests the settings from a peer that reported a higher
// revision, at most once per requestInterval.
func (r *Reducer) requestNewerSettings() {
	const requestInterval = 300 * time.Millisecond
	if !r.nextSettingsRequest.Passed(r.now) {
		return
	}
	highest, host := r.detector.HighestRevision()
	if host == "" || highest <= r.Revision() || highest == r.rejectedRevision {
		return
	}
	r.nextSettingsRequest = r.now.Add(requestInterval)
	r.sendPeer(host, &messenger.SettingsRequest{NewerThan: r.Revision()})
}

// requestSettingsFromSeeds requests the settings from a random seed host, at most
// once per requestInterval.
//
// Without this, a host that is replaced while the platform is down has neither
// settings nor peers until the platform is back. This shows as a host that runs but
// never becomes ready.
func (r *Reducer) requestSettingsFromSeeds() {
	const requestInterval = time.Second
	if len(r.seedHosts) == 0 || !r.nextSettingsRequest.Passed(r.now) {
		return
	}
	r.nextSettingsRequest = r.now.Add(requestInterval)
	r.sendPeer(r.seedHosts[r.random.IntN(len(r.seedHosts))], &messenger.SettingsRequest{})
}

func (r *Reducer) sendSettings(to string, newerThan uint64) {
	if r.settings == nil || r.Revision() <= newerThan {
		return
	}
	r.sendPeer(to, &messenger.SettingsDocument{Revision: r.Revision(), Compressed: r.compressedSettings()})
}

// compressedSettings returns the document in force, gzipped. The result is cached
// for all peers, because the document of a large fleet has nearly a megabyte and
// every change goes to every host.
func (r *Reducer) compressedSettings() []byte {
	if r.compressedRevision == r.Revision() {
		return r.compressedDocument
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writing to a buffer can't fail.
	_, _ = w.Write(r.document)
	_ = w.Close()
	r.compressedDocument, r.compressedRevision = b.Bytes(), r.Revision()
	return r.compressedDocument
}

// handleSettingsDocument handles the settings that a peer sends. A document that
// decompresses to more than resolver.MaxDocumentBytes, the limit of the platform, is
// truncated, and then rejected as too large.
func (r *Reducer) handleSettingsDocument(body *messenger.SettingsDocument) {
	if body.Revision <= r.Revision() {
		return
	}
	reader, err := gzip.NewReader(bytes.NewReader(body.Compressed))
	if err != nil {
		r.emit(&Rejected{Revision: body.Revision, Err: err})
		return
	}
	document, err := io.ReadAll(io.LimitReader(reader, resolver.MaxDocumentBytes+1))
	if err != nil {
		r.emit(&Rejected{Revision: body.Revision, Err: err})
		return
	}
	r.handleSettingsPublished(body.Revision, document)
}

// watchersPerZone is how many hosts of an availability zone watch the platform. The
// others get the settings from peers, so that the number of calls grows with the
// number of zones, not of hosts.
const watchersPerZone = 2

// updateWatching starts or stops this host's watch on the platform: the first
// watchersPerZone hosts of a zone that are alive and not shutting down watch, in the
// order of the settings. A host that the settings do not list watches too.
func (r *Reducer) updateWatching() {
	self, ok := r.settings.HostByName(r.self)
	watchersAhead := 0
	for _, h := range r.settings.Hosts {
		if h.Name == r.self {
			break
		}
		alive := r.detector.State(h.Name).Liveness == messenger.LivenessAlive
		if h.AvailabilityZone == self.AvailabilityZone && alive && !r.listedShuttingDown[h.Name] {
			watchersAhead++
		}
	}
	watch := !ok || watchersAhead < watchersPerZone
	if watch != r.watching {
		r.watching = watch
		r.emit(&Watch{Enabled: watch})
	}
}

func (r *Reducer) handleHostsPublished(e *HostsPublished) {
	clear(r.listedShuttingDown)
	for _, name := range e.ShuttingDown {
		r.listedShuttingDown[name] = true
	}
}

// maxExchangeLifetime returns the longest exchange lifetime of all services.
func (r *Reducer) maxExchangeLifetime() time.Duration {
	var longest time.Duration
	for _, id := range r.serviceIDs {
		longest = max(longest, r.services[id].settings.Policy.ExchangeLifetime)
	}
	return longest
}

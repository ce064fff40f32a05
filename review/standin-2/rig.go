package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The bounds of the sheets that the cases use.
const (
	// smallSiteLimit is `drain_timeout_ms` and `config_propagation_ms` of the small sites;
	// grownSiteLimit is both, and `evacuation_ms`, of the sites with cold backends.
	smallSiteLimit  = 3000 * time.Millisecond
	grownSiteLimit  = 5000 * time.Millisecond
	drainLimit      = smallSiteLimit
	reorderWindow   = 2000 * time.Millisecond
	warmUpOverage   = 1.5
	warmUpAllowance = 5.0
	warmUp          = 2 * time.Second
)

// The places, machines and backends of the small site csas-span.
var (
	zoneNames       = []string{"pa-hall", "ct-hall", "me-hall"}
	hostsPerZone    = []int{3, 3, 2}
	ledgerPerZone   = []int{5, 5, 4}
	intakePerZone   = []int{2, 1, 1}
	checksPerSecond = []float64{146, 132, 111}
)

const (
	region         = "sicilia"
	slots          = 3
	checkWork      = 60 * time.Millisecond
	longFlows      = 8 // in each zone
	requestTimeout = 2500 * time.Millisecond
	idleRoutes     = 110
)

// route is a route as operators publish it.
type route struct {
	name, kind, service string
	address             netip.AddrPort
}

// flowTrace is what both ends of an open flow have seen.
type flowTrace struct {
	backend *backend
	born    int64
	opened  time.Time
	own     time.Time
	// elsewhere are the flow's packets that reached other backends since the last that reached its
	// own, each once.
	elsewhere []time.Time
	// broken is set once the rule was broken for the flow.
	broken bool
}

// rig is a small deployment: the platform's store and routers, backends, requesters and the
// system's processes.
type rig struct {
	root, dir    string
	block        int
	perSecond    float64
	record       *record
	store        *store
	storeAddress netip.AddrPort
	hosts        []*host
	fabric       *fabric
	backends     []*backend
	requesters   []*requester
	routes       []route

	mu       sync.Mutex
	broken   map[string]int
	openings map[string]time.Time
	traces   map[string]*flowTrace
	runs     map[string]int
	results  map[string]int
	requests int
	stopping chan struct{}
	traffic  sync.WaitGroup
	playing  sync.WaitGroup
}

var errBlocksInUse = errors.New("no free block of loopback addresses")

// newRig builds the deployment without starting it.
func newRig(root, dir string, perSecond float64, rec *record) (*rig, error) {
	r := &rig{
		root: root, dir: dir, perSecond: perSecond, record: rec,
		broken: map[string]int{}, openings: map[string]time.Time{}, traces: map[string]*flowTrace{},
		runs: map[string]int{}, results: map[string]int{}, stopping: make(chan struct{}),
	}
	r.store = newStore(rec)
	var listener net.Listener
	for try := range 40 {
		r.block = 130 + (os.Getpid()+7*try)%110
		r.storeAddress = r.address(200, 1, storePort)
		var err error
		if listener, err = net.Listen("tcp4", r.storeAddress.String()); err == nil {
			break
		}
	}
	if listener == nil {
		return nil, errBlocksInUse
	}
	r.store.serve(listener)
	r.addRoutes()
	for z, zone := range zoneNames {
		for n := range hostsPerZone[z] {
			name := fmt.Sprintf("edge-%s-%d", zone, n+1)
			r.hosts = append(r.hosts, &host{
				name: name, zone: zone, address: r.address(z+1, n+1, controlPort), packetAddress: r.address(z+1, n+1, packetPort),
				readyAddress: r.address(z+1, n+1, readyPort), settings: filepath.Join(dir, name+".yaml"), logs: filepath.Join(dir, name+".log"),
			})
		}
		for n := range ledgerPerZone[z] {
			r.addBackend(z, n, "ledger")
		}
		for n := range intakePerZone[z] {
			r.addBackend(z, 20+n, "intake")
		}
	}
	return r, nil
}

func (r *rig) address(third, last int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(r.block), byte(third), byte(last)}), port)
}

func (r *rig) addRoutes() {
	service := netip.AddrFrom4([4]byte{127, byte(r.block), 250, 1})
	r.routes = []route{
		{"r-dash", "idempotent", "ledger", netip.AddrPortFrom(service, 8443)},
		{"r-check", "non_idempotent", "ledger", netip.AddrPortFrom(service, 8080)},
		{"r-batch", "upload", "intake", netip.AddrPortFrom(service, 9443)},
	}
	for n := range idleRoutes {
		r.routes = append(r.routes, route{fmt.Sprintf("r-idle-%d", n), "idempotent", "ledger", netip.AddrPortFrom(service, uint16(10000+n))})
	}
}

func (r *rig) addBackend(zone, n int, service string) {
	r.backends = append(r.backends, &backend{
		rig: r, id: fmt.Sprintf("i-%08x", rand.Uint32()|1<<31), service: service, zone: zoneNames[zone],
		address: r.address(100+zone, n+1, backendPort), slots: slots, work: checkWork, warmUp: warmUp, arrivals: map[string][]time.Time{},
	})
}

// publish writes a configuration.
func (r *rig) publish(version int) {
	var routes []map[string]any
	for _, rt := range r.routes {
		routes = append(routes, map[string]any{
			"name": rt.name, "host": rt.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", rt.address.Port()), "type": rt.kind,
			"timeout_ms": requestTimeout.Milliseconds(), "target_latency_ms": 300, "priority": 1, "service": rt.service, "max_attempts": 2,
		})
	}
	var services []map[string]any
	for _, name := range []string{"ledger", "intake"} {
		fields := map[string]any{"name": name, "health_check_path": healthCheckPath, "max_connections": 2000, "protocol": "h1", "tls_enabled": false}
		if r.perSecond > 0 {
			fields["warmup_s"], fields["warmup_per_s"] = warmUp.Seconds(), r.perSecond
		}
		services = append(services, fields)
	}
	document, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	r.store.put("op/config", string(document), 0)
}

// start starts everything but the traffic, and returns once all hosts are ready.
func (r *rig) start() error {
	r.publish(7)
	for _, b := range r.backends {
		if err := b.start(false); err != nil {
			return err
		}
	}
	for z, zone := range zoneNames {
		for n := range 4 {
			q, err := newRequester(r, zone, r.address(210+z, n+1, 0).Addr())
			if err != nil {
				return err
			}
			r.requesters = append(r.requesters, q)
		}
	}
	seeds := []string{r.hosts[0].address.String(), r.hosts[3].address.String(), r.hosts[6].address.String()}
	for _, h := range r.hosts {
		if err := h.writeSettings(r, seeds, true); err != nil {
			return err
		}
		if err := h.start(r.root); err != nil {
			return err
		}
	}
	r.fabric = newFabric(r.hosts)
	for range 100 {
		if r.fabric.allReady() {
			r.record.add("all %d hosts are ready", len(r.hosts))
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the hosts did not become ready")
}

// stop ends the traffic and all processes.
func (r *rig) stop() {
	select {
	case <-r.stopping:
	default:
		close(r.stopping)
	}
	r.traffic.Wait()
	r.killAll()
}

func (r *rig) killAll() {
	for _, h := range r.hosts {
		h.kill()
	}
}

func (r *rig) fail(rule string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken[rule]++
}

func (r *rig) random() uint32 { return rand.Uint32() }

func (r *rig) openingWillBeSent(flow string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openings[flow] = time.Now()
	delete(r.traces, flow)
}

func (r *rig) openingSent(flow string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.openings[flow]
}

// flowOpened records that a flow is open at a backend. b.mu must be held.
func (r *rig) flowOpened(flow string, b *backend) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.traces[flow] = &flowTrace{backend: b, born: b.born, opened: now, own: now}
	r.record.addAt(now, "flow %s is open at backend %s", flow, b.id)
}

// packetArrived checks that the packets of an open flow reach its backend: FLOW (b). b.mu must be
// held.
func (r *rig) packetArrived(flow string, b *backend, p *packet, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.traces[flow]
	if t == nil || p.flags&flagSYN != 0 {
		return
	}
	if t.backend == b {
		t.own, t.elsewhere = now, nil
		return
	}
	t.elsewhere = append(t.elsewhere, now)
	r.record.addAt(now, "a packet of flow %s, open at backend %s, reached backend %s", flow, t.backend.id, b.id)
	const misdirected = 3
	if !t.broken && len(t.elsewhere) >= misdirected && now.Sub(t.elsewhere[0]) >= reorderWindow {
		t.broken = true
		r.broken["FLOW"]++
		r.record.addAt(now, "FLOW (b): for %v, %d packets of flow %s reached backend %s and none its own, %s",
			now.Sub(t.elsewhere[0]), len(t.elsewhere), flow, b.id, t.backend.id)
	}
}

// flowReset checks that a reset of an open flow is its backend's: FLOW (a).
func (r *rig) flowReset(flow string, genuine bool) {
	r.record.add("flow %s was reset, by its backend: %v", flow, genuine)
	r.mu.Lock()
	t := r.traces[flow]
	r.mu.Unlock()
	if genuine || t == nil {
		return
	}
	t.backend.mu.Lock()
	alive := t.backend.running && t.backend.born == t.born
	t.backend.mu.Unlock()
	if alive {
		r.record.add("FLOW (a): the system reset flow %s while its backend %s was alive", flow, t.backend.id)
		r.fail("FLOW")
	}
}

func (r *rig) ran(id string, b *backend) {
	r.record.add("backend %s runs request %s", b.id, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *rig) nextRequest(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	return fmt.Sprintf("%s-%d", kind, r.requests)
}

func (r *rig) ended(id string, o outcome) {
	r.record.add("request %s: %v", id, o)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[o.String()]++
}

// startTraffic starts the requesters.
func (r *rig) startTraffic() {
	for z, zone := range zoneNames {
		var own []*requester
		for _, q := range r.requesters {
			if q.zone == zone {
				own = append(own, q)
			}
		}
		r.traffic.Add(1)
		go r.sendChecks(own, checksPerSecond[z])
		for n := range longFlows {
			r.traffic.Add(1)
			go r.holdLongFlows(own[n%len(own)])
		}
	}
}

// sendChecks opens a flow for each check, at random times.
func (r *rig) sendChecks(own []*requester, perSecond float64) {
	defer r.traffic.Done()
	for {
		select {
		case <-r.stopping:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		r.traffic.Add(1)
		go func() {
			defer r.traffic.Done()
			r.check(own[rand.IntN(len(own))])
		}()
	}
}

func (r *rig) check(q *requester) {
	const tries = 3
	for range tries {
		id := r.nextRequest("check")
		c, o := q.dial(r.routes[1])
		if o != succeeded {
			r.ended(id, o)
			continue // The flow never opened, so the request may be tried again.
		}
		r.record.add("request %s is sent on flow %s", id, c.name())
		o = c.request(id, requestTimeout)
		r.ended(id, o)
		c.finish()
		return
	}
}

// holdLongFlows holds a flow open for many requests, and opens another when it ends.
func (r *rig) holdLongFlows(q *requester) {
	defer r.traffic.Done()
	const longest = 55 * time.Second
	for {
		c, o := q.dial(r.routes[0])
		for o == succeeded && time.Since(c.openAt) < longest {
			select {
			case <-r.stopping:
				c.finish()
				return
			case <-time.After(300*time.Millisecond + rand.N(400*time.Millisecond)):
			}
			id := r.nextRequest("dash")
			r.record.add("request %s is sent on flow %s", id, c.name())
			o = c.request(id, requestTimeout)
			r.ended(id, o)
		}
		if c != nil {
			c.finish()
		}
		select {
		case <-r.stopping:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// ofService returns the backends of a service in a zone; in all zones if it is empty.
func (r *rig) ofService(service, zone string) []*backend {
	var list []*backend
	for _, b := range r.backends {
		if b.service == service && (zone == "" || b.zone == zone) {
			list = append(list, b)
		}
	}
	return list
}

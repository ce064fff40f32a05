package main

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranberryspan.dev/core/encoder"
	"cranberryspan.dev/core/messenger"
	"cranberryspan.dev/core/resolver"
	"cranberryspan.dev/standin/internal/loader"
	"github.com/coder/websocket"
	"github.com/plgd-dev/go-coap/v3/message"
	"github.com/plgd-dev/go-coap/v3/message/codes"
	"github.com/plgd-dev/go-coap/v3/message/pool"
	"github.com/plgd-dev/go-coap/v3/udp"
	"github.com/stretchr/testify/require"
)

// Guards against protocol errors that the project's own client does not reveal: the datagrams of a
// third-party CoAP client are distributed over all hosts, and its requests, stream and block-wise
// upload must succeed.
func TestThirdPartyCoAPClientIsServed(t *testing.T) {
	t.Parallel()
	s := startTestSystem(t, 101)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()

	ledger, err := udp.Dial(s.address(30, 5683))
	require.NoError(t, err)
	defer func() { _ = ledger.Close() }()
	response, err := ledger.Post(ctx, "/check", message.TextPlain, strings.NewReader("ledger/foreign-1"))
	require.NoError(t, err)
	require.Equal(t, codes.Changed, response.Code())

	var notifications atomic.Int64
	observation, err := ledger.Observe(ctx, "/stream", func(*pool.Message) { notifications.Add(1) })
	require.NoError(t, err)
	require.Eventually(t, func() bool { return notifications.Load() >= 20 }, 20*time.Second, 50*time.Millisecond)
	require.NoError(t, observation.Cancel(ctx))

	intake, err := udp.Dial(s.address(31, 5683))
	require.NoError(t, err)
	defer func() { _ = intake.Close() }()
	file := append([]byte("intake/foreign-file\n"), bytes.Repeat([]byte("x"), 1<<20-20)...)
	response, err = intake.Post(ctx, "/upload", message.AppOctets, bytes.NewReader(file))
	require.NoError(t, err)
	require.Equal(t, codes.Changed, response.Code())
	body, err := response.ReadBody()
	require.NoError(t, err)
	require.Contains(t, string(body), "intake/foreign-file 1048576")

	report := s.targetReport()
	require.Empty(t, report.DuplicateExecutions)
	require.Empty(t, report.Misrouted)
}

// requireGuarantees checks the guarantees that hold under any fault of hosts.
func requireGuarantees(t *testing.T, report loader.Report) {
	t.Helper()
	require.Empty(t, report.DuplicateExecutions, "requests ran twice")
	require.Empty(t, report.Misrouted, "requests reached another service")
	for kind, tally := range report.Tallies {
		require.Zero(t, tally.WrongResponses, "%s got another request's answer", kind)
		require.Positive(t, tally.Answered, kind)
	}
}

// Guards against requests that are executed twice and streams that break when a host is killed with
// SIGKILL (kill -9) under load and restarted. The tests of package reducer cover the causes; this
// one uses real processes.
func TestKilledHostBreaksNoStream(t *testing.T) {
	t.Parallel()
	s := startTestSystem(t, 102)
	report := s.runLoad(14*time.Second, func() {
		s.signal(s.hosts[0], syscall.SIGKILL)
		time.Sleep(4 * time.Second)
		<-s.hosts[0].exited
		s.launch(s.hosts[0])
	})
	requireGuarantees(t, report)
	require.Zero(t, report.Tallies[loader.KindStream].Broken)
	require.Zero(t, report.Tallies[loader.KindStream].Unanswered)
}

// Guards against requests that are executed twice when a host resumes: it is paused with SIGSTOP
// under load, for longer than the other hosts take to detect its failure, and resumed with SIGCONT.
func TestPausedHostRunsNoRequestTwice(t *testing.T) {
	t.Parallel()
	s := startTestSystem(t, 103)
	report := s.runLoad(16*time.Second, func() {
		s.signal(s.hosts[1], syscall.SIGSTOP)
		time.Sleep(6 * time.Second)
		s.signal(s.hosts[1], syscall.SIGCONT)
	})
	requireGuarantees(t, report)
	require.Zero(t, report.Tallies[loader.KindStream].Broken)
}

// Guards against requests and streams that break during a rolling restart: all hosts are stopped
// with SIGTERM and started again under load, one after another.
func TestRollingHostRestartsBreakNothing(t *testing.T) {
	t.Parallel()
	s := startTestSystem(t, 104)
	report := s.runLoad(24*time.Second, func() {
		for _, p := range s.hosts {
			s.signal(p, syscall.SIGTERM)
			select {
			case <-p.exited:
			case <-time.After(20 * time.Second):
				t.Errorf("%s did not leave", p.name)
				return
			}
			require.Equal(t, 0, p.cmd.ProcessState.ExitCode(), p.name)
			s.launch(p)
			s.waitReady(p)
		}
	})
	requireGuarantees(t, report)
	require.True(t, report.Clean(), "%s", report)
	for kind, tally := range report.Tallies {
		require.Zero(t, tally.OutcomeUnknown, kind)
	}
}

// Guards against hosts that return to older settings or miss new ones: after a revision is
// published, the platform serves an older one and then fails, hosts restart meanwhile, and an
// invalid revision is published between two valid ones.
func TestSettingsSurvivePlatformFailures(t *testing.T) {
	t.Parallel()
	s := startTestSystem(t, 105)
	s.postControl(8400, "/control/publish", string(s.document("ledger-1")))
	s.waitRevisionInForce(2, s.hosts...)
	s.postControl(8400, "/control/mode", `{"stale": 1}`)
	s.signal(s.hosts[2], syscall.SIGKILL)
	<-s.hosts[2].exited
	s.launch(s.hosts[2])
	s.waitReady(s.hosts[2])
	s.waitRevisionInForce(2, s.hosts...)
	s.postControl(8400, "/control/mode", `{"down": true}`)
	time.Sleep(2 * time.Second)
	s.waitRevisionInForce(2, s.hosts...)
	s.signal(s.hosts[3], syscall.SIGTERM)
	<-s.hosts[3].exited
	seed := s.settings.Hosts[0]
	s.hosts[3].args = append(s.hosts[3].args, "--seeds", seed.Name+"="+seed.Address.String(), "--seedKey", "a-key-for-these-tests")
	s.launch(s.hosts[3])
	s.waitReady(s.hosts[3])
	s.waitRevisionInForce(2, s.hosts...)
	s.postControl(8400, "/control/mode", `{}`)
	s.postControl(8400, "/control/publish", "version: 1\nregions: 7\n")
	require.Eventually(t, func() bool {
		snapshot, err := s.status(s.hosts[0])
		return err == nil && snapshot.RejectedRevision == 3
	}, 9*time.Second, 50*time.Millisecond)
	s.postControl(8400, "/control/publish", string(s.document("ledger-2")))
	s.waitRevisionInForce(4, s.hosts...)
	require.Contains(t, s.hosts[0].log.String(), "settingsRejected")
}

// Guards against streams that break when one host is disconnected from the fabric under load and
// reconnected.
func TestFabricPartitionOfOneHostBreaksNoStream(t *testing.T) {
	t.Parallel()
	s := startTestSystem(t, 106)
	report := s.runLoad(12*time.Second, func() {
		s.postControl(8501, "/cut?host=a2", "")
		time.Sleep(4 * time.Second)
		s.postControl(8501, "/heal?host=a2", "")
	})
	requireGuarantees(t, report)
	require.Zero(t, report.Tallies[loader.KindStream].Broken)
}

// Guards against hosts that crash on untrusted input: malformed data on every port, a peer with a
// wrong key, an oversized settings document. Hosts must count such input and keep running.
func TestMalformedInputIsCountedAndHostsKeepRunning(t *testing.T) {
	t.Parallel()
	s := startTestSystem(t, 107)
	host := s.settings.Hosts[0]
	p := s.hosts[0]

	garbage := [][]byte{nil, {0}, {0x40, 0x01}, bytes.Repeat([]byte{0xff}, 1500), []byte("GET / HTTP/1.1\r\n\r\n")}
	fabric := dialUDP(t, host.FabricAddress.String())
	peer := dialUDP(t, host.Address.String())
	for _, data := range garbage {
		_, _ = fabric.Write(data)
		_, _ = peer.Write(data)
	}
	// Valid encapsulated packets whose payload is not valid CoAP.
	for _, payload := range [][]byte{nil, {0x40}, {0x49, 1, 0, 1, 1, 2, 3, 4, 5, 6, 7, 8, 9}, {0x40, 1, 0, 1, 0xff}} {
		data, err := encoder.EncodeEncapsulatedPacket(encoder.EncapsulatedPacket{From: netip.MustParseAddrPort("127.0.0.1:9"), To: s.settings.Services[0].Address, Payload: payload})
		require.NoError(t, err)
		_, _ = fabric.Write(data)
	}
	wrongKeyMessage, err := encoder.New("b1", []resolver.Secret{"not-the-key"}).Encode(host.Name, &messenger.Ping{Sequence: 1})
	require.NoError(t, err)
	_, _ = peer.Write(wrongKeyMessage)

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, data := range append(garbage, wrongKeyMessage) {
		conn, _, err := websocket.Dial(ctx, "ws://"+host.Address.String()+"/link", nil)
		require.NoError(t, err)
		_ = conn.Write(ctx, websocket.MessageBinary, data)
		_ = conn.CloseNow()
	}
	s.postControl(8400, "/control/publish", strings.Repeat("# filler\n", 2<<20/9))

	require.Eventually(t, func() bool {
		metrics := s.metrics(p)
		for _, counter := range []string{`reason="datagramMalformed"} 0`, `reason="datagramUnauthentic"} 0`, `reason="linkUnauthentic"} 0`} {
			if strings.Contains(metrics, counter) {
				return false
			}
		}
		return strings.Contains(metrics, "cranberryspan_rejected_revision")
	}, 10*time.Second, 100*time.Millisecond, "what came is counted")
	snapshot, err := s.status(p)
	require.NoError(t, err)
	require.True(t, snapshot.Ready)
	require.EqualValues(t, 1, snapshot.Revision)
	require.EqualValues(t, 2, snapshot.RejectedRevision)
	require.Less(t, strings.Count(p.log.String(), "\n"), 60, "one line an event, and few of a kind")
}

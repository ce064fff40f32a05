package steerer_test

import (
	"testing"
	"time"

	"cranberryspan.dev/core/steerer"
	"github.com/stretchr/testify/require"
)

// trials counts the flows that a host has sent to slow targets to learn of them.
func trials(f *fleet, name string) int {
	return int(f.hosts[name].steerer.Snapshot().Counts[steerer.TrialFlow])
}

// openSome opens flows of a route one after another and counts those that reach a target.
func openSome(f *fleet, name, target string, from, count int) int {
	reached := 0
	for n := range count {
		c := f.caller(from+n, checkRoute)
		c.open(name, 0)
		if c.target == target {
			reached++
		}
		c.establish(name)
		c.finish(name)
		f.step(50 * time.Millisecond)
	}
	return reached
}

// Symptom: a target that has recovered gets nothing while its siblings are idle. Sequence:
// it was slow, and has no open flows. Cause: no trials.
func TestSlowTargetIsTried(t *testing.T) {
	f := newFleet(t, 1)
	learnUsual(f, "a1")
	slowTarget(f, "a1", failing)
	require.NotZero(t, openSome(f, "a1", failing, 60_000, 64))
	require.NotZero(t, trials(f, "a1"))
}

// Symptom: flows are refused for overload though quick targets idle. Sequence: a service is
// pressed, requests wait at this host, and a slow target is due for a trial. Cause: a trial
// goes to a target for which requests wait.
func TestNothingIsTriedWhileRequestsWait(t *testing.T) {
	f := newFleet(t, 1)
	f.settings = settingsOf(2, objectiveRoutes())
	f.step(2 * time.Second)
	late := func(from, count int) {
		for n := range count {
			answerAfter(f, "a1", from+n, 300*time.Millisecond)
		}
	}
	for n := range 60 {
		answerAfter(f, "a1", 20_000+n, 100*time.Millisecond)
	}
	slow := flowsAt(f, "a1", failing, 2000, 8)
	late(21_000, 80)
	c := feed(f, 1)
	waits := 0
	for round := range 8 {
		askAll(f, "a1", slow, 2400*time.Millisecond)
		f.step(1500 * time.Millisecond)
		checks := fillWindow(f, 100+10*round)
		c.ask("a1")
		before := trials(f, "a1")
		for n := range 20 {
			if paced(f) == 0 {
				break
			}
			waits++
			one := f.caller(70_000+100*round+n, checkRoute)
			if one.open("a1", 0); one.target != "" {
				one.establish("a1")
				one.finish("a1")
			}
		}
		require.Equal(t, before, trials(f, "a1"), "round %d", round)
		for _, one := range checks {
			one.thank("a1")
			one.finish("a1")
		}
		c.thank("a1")
		late(22_000+100*round, 20)
	}
	require.Greater(t, waits, 64)
	require.NotZero(t, trials(f, "a1"), "while nothing waits")
}

// notTried demands that a slow target gets no trial, under a condition that came after it
// was found slow, and gets some without it. Trials go by chance, so there are some rounds.
func notTried(t *testing.T, change func(f *fleet, flows []*caller)) {
	t.Helper()
	tried := func(change func(f *fleet, flows []*caller)) int {
		f := newFleet(t, 1, 1)
		f.regions = map[string]string{"a": "north", "b": "south"}
		for _, name := range f.names {
			f.kill(name)
			f.start(name)
		}
		f.step(2 * time.Second)
		learnUsual(f, "a1")
		flows := flowsAt(f, "a1", failing, 2000, 3)
		for round := range 3 {
			askAll(f, "a1", flows, 500*time.Millisecond)
			for n := range 6 {
				answerAfter(f, "a1", 50_000+10*round+n, 50*time.Millisecond)
			}
		}
		change(f, flows)
		f.step(1200 * time.Millisecond)
		reached := 0
		for n := range 64 {
			c := f.caller(60_000+n, checkRoute)
			before := trials(f, "a1")
			c.open("a1", 0)
			if trials(f, "a1") > before && c.target == failing {
				reached++
			}
			f.runUntil(f.now.Add(10 * time.Millisecond))
			f.now = f.now.Add(10 * time.Millisecond)
			if c.target != "" {
				c.establish("a1")
				c.finish("a1")
			}
		}
		return reached
	}
	require.NotZero(t, tried(func(*fleet, []*caller) {}), "a slow target against which nothing speaks")
	require.Zero(t, tried(change))
}

// Symptom: a flow opens at a target that is about to end. Sequence: a slow target drains
// and is due for a trial. Cause: trials that look at speed alone.
func TestDrainingTargetIsNotTried(t *testing.T) {
	notTried(t, func(f *fleet, _ []*caller) { f.drain(failing) })
}

// Symptom: flows go to a zone that is being emptied. Sequence: the zone of a slow target is
// evacuated. Cause: as above.
func TestTargetOfAnEvacuatedZoneIsNotTried(t *testing.T) {
	notTried(t, func(f *fleet, _ []*caller) { f.evacuate(f.zoneOf(failing)) })
}

// Symptom: data leaves its region. Sequence: a route may run in another region only; a
// target near by is slow. Cause: as above.
func TestTargetOfAnotherRegionIsNotTried(t *testing.T) {
	notTried(t, func(f *fleet, _ []*caller) {
		all := routes()
		all[1].Regions = []string{"south"}
		f.settings = settingsOf(9, all)
	})
}

// Symptom: callers queue at a target that is slow. Sequence: all of its slots have requests
// under way. Cause: as above.
func TestBusyTargetIsNotTried(t *testing.T) {
	notTried(t, func(_ *fleet, flows []*caller) {
		for _, c := range flows {
			c.ask("a1")
		}
	})
}

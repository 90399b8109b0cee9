package announce

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/testutil"
	"glenport/scheduler"
)

const sec = scheduler.Second

var web = Service{
	Prefix:     netip.MustParsePrefix("192.0.2.1/32"),
	NextHop:    netip.MustParseAddr("192.0.2.254"),
	MinRunning: 1,
}

func describeUpdates(actions []Action) string {
	var all []string
	for _, a := range actions {
		switch a := a.(type) {
		case Announce:
			all = append(all, fmt.Sprintf("announce %s %d", a.Prefix, a.Path.Preference))
		case Withdraw:
			all = append(all, "withdraw "+a.Prefix.String())
		}
	}
	return strings.Join(all, ", ")
}

// The events of each case occur at the given seconds. All updates are compared, with their times.
func TestUpdatesFollowContainersWithLimitedRate(t *testing.T) {
	configured := timed{0, ServiceSet{"web", web}}
	runs := func(s float64, c string) timed { return timed{s, ContainerRunning{"web", c, false}} }
	ends := func(s float64, c string) timed { return timed{s, ContainerEnded{"web", c}} }
	otherPrefix := web
	otherPrefix.Prefix = netip.MustParsePrefix("192.0.2.2/32")
	minTwo := web
	minTwo.MinRunning = 2
	for _, tc := range []struct {
		name   string
		events []timed
		want   string
	}{
		{
			"announced with the first container, withdrawn with the last",
			[]timed{configured, runs(1, "a"), runs(1.2, "b"), ends(5, "a"), ends(6, "b")},
			"1.0 announce 192.0.2.1/32 100; 6.0 withdraw 192.0.2.1/32",
		},
		{"not configured", []timed{runs(1, "a")}, ""},
		{
			"withdrawal within two seconds if the last container ends right after the first announcement",
			[]timed{configured, runs(1, "a"), ends(1.1, "a")},
			"1.0 announce 192.0.2.1/32 100; 2.0 withdraw 192.0.2.1/32",
		},
		{
			"an end and a start within the interval are not sent",
			[]timed{configured, runs(1, "a"), ends(1.3, "a"), runs(1.6, "a")},
			"1.0 announce 192.0.2.1/32 100",
		},
		{
			"a minimum of running containers",
			[]timed{{0, ServiceSet{"web", minTwo}}, runs(1, "a"), runs(3, "b"), ends(5, "a")},
			"3.0 announce 192.0.2.1/32 100; 5.0 withdraw 192.0.2.1/32",
		},
		{
			"all containers drain: lowest preference, then withdrawal",
			[]timed{configured, runs(1, "a"), {3, ContainerRunning{"web", "a", true}}, ends(9, "a")},
			"1.0 announce 192.0.2.1/32 100; 3.0 announce 192.0.2.1/32 0; 9.0 withdraw 192.0.2.1/32",
		},
		{
			"one of two containers drains",
			[]timed{configured, runs(1, "a"), runs(1, "b"), {3, ContainerRunning{"web", "a", true}}},
			"1.0 announce 192.0.2.1/32 100",
		},
		{
			"address changed",
			[]timed{configured, runs(1, "a"), {5, ServiceSet{"web", otherPrefix}}},
			"1.0 announce 192.0.2.1/32 100; 5.0 withdraw 192.0.2.1/32; 6.0 announce 192.0.2.2/32 100",
		},
		{
			"service removed from the configuration",
			[]timed{configured, runs(1, "a"), {5, ServiceRemoved{"web"}}},
			"1.0 announce 192.0.2.1/32 100; 5.0 withdraw 192.0.2.1/32",
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := strings.Join(runEvents(tc.events), "; ")
			testutil.Expect(t, got == tc.want, "got  %s\nwant %s", got, tc.want)
		})
	}
}

// timed is an event at a time in seconds.
type timed struct {
	seconds float64
	event   Event
}

// runEvents handles events and returns the updates up to the 30th second, each with its time.
func runEvents(events []timed) (updates []string) {
	var d *driver
	d = newDriver(func(a Action) {
		if s := describeUpdates([]Action{a}); s != "" {
			updates = append(updates, fmt.Sprintf("%.1f %s", float64(d.now)/float64(sec), s))
		}
	})
	for _, e := range events {
		d.advance(scheduler.Time(e.seconds * float64(sec)))
		d.handle(e.event)
	}
	d.advance(30 * sec)
	return updates
}

// With MEDByHealth, the MED rises by a step with each halving of the serving containers.
func TestMEDFallsWithServingContainers(t *testing.T) {
	for _, tc := range []struct {
		running, draining int
		med               uint32
	}{{1, 0, 47}, {2, 0, 37}, {3, 0, 37}, {4, 0, 27}, {15, 0, 17}, {16, 0, 7}, {100, 0, 7}, {4, 2, 37}, {2, 2, 57}} {
		s := web
		s.MED, s.MEDByHealth = 7, true
		events := []Event{ServiceSet{"web", s}}
		for i := range tc.running {
			events = append(events, ContainerRunning{"web", strconv.Itoa(i), i < tc.draining})
		}
		actions := New().Handle(sec, events)
		if a, ok := actions[0].(Announce); !ok || a.Path.MED != tc.med {
			t.Errorf("%d running, %d draining: %+v, want MED %d", tc.running, tc.draining, actions, tc.med)
		}
	}
}

// updateCounter counts updates and fails the test if two of them are less than minUpdateInterval apart.
type updateCounter struct {
	*driver
	updates int
	last    scheduler.Time
}

func newUpdateCounter(t *testing.T) *updateCounter {
	t.Helper()
	c := &updateCounter{last: -sec}
	c.driver = newDriver(func(a Action) {
		if describeUpdates([]Action{a}) == "" {
			return
		}
		testutil.Require(t, c.now-c.last >= minUpdateInterval, "two updates within %d", c.now-c.last)
		c.last = c.now
		c.updates++
	})
	return c
}

// flap starts or ends a container 50 times a second for one minute.
func (c *updateCounter) flap() {
	for i := range 3000 {
		c.now = scheduler.Time(i) * sec / 50
		if c.wakeAt > 0 && c.wakeAt <= c.now {
			c.fireTimer()
		}
		if i%2 == 0 {
			c.handle(ContainerRunning{"web", "a", false})
		} else {
			c.handle(ContainerEnded{"web", "a"})
		}
	}
}

// A container that starts or ends 50 times a second causes at most one update a second. Its address is suppressed after
// a while, and announced again once the container is stable.
func TestFlappingAddressIsSuppressedUntilItIsStable(t *testing.T) {
	c := newUpdateCounter(t)
	c.handle(ServiceSet{"web", web})
	c.flap()
	if status, _ := c.announcer.Status("web"); !status.Suppressed || c.updates > 14 {
		t.Errorf("%d updates in a minute, %+v", c.updates, status)
	}
	c.now++
	c.handle(ContainerRunning{"web", "a", false})
	for n := 0; c.wakeAt > 0 && n < 1000; n++ {
		c.fireTimer()
	}
	if status, _ := c.announcer.Status("web"); !status.Announced || c.now > 90*60*sec {
		t.Errorf("not announced again after %d min: %+v", c.now/(60*sec), status)
	}
}

package session

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/bgp/wire"
	"glenport/scheduler"

	"pgregory.net/rapid"
)

var both = []wire.Family{wire.IPv4, wire.IPv6}

func peer() Peer {
	return Peer{OwnAS: 65001, PeerAS: 65002, ID: [4]byte{10, 0, 0, 5}, Hold: 90 * scheduler.Second, Families: both, Restart: 120 * scheduler.Second}
}

func open(change func(o *wire.Open)) *wire.Open {
	o := &wire.Open{AS: 65002, Hold: 30, ID: [4]byte{10, 0, 0, 9}, Families: both, FourByte: true}
	if change != nil {
		change(o)
	}
	return o
}

func show(acts []Action) string {
	var all []string
	for _, a := range acts {
		switch a := a.(type) {
		case Dial:
			all = append(all, fmt.Sprint("dial ", a.Conn))
		case Send:
			s := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a.Message), "*wire."))
			if n, ok := a.Message.(*wire.Notification); ok {
				s = fmt.Sprintf("%d/%d", n.Code, n.Sub)
			}
			all = append(all, fmt.Sprintf("%s on %d", s, a.Conn))
		case Close:
			all = append(all, fmt.Sprint("close ", a.Conn))
		case Up:
			all = append(all, fmt.Sprint("up ", len(a.Families)))
		case Down:
			all = append(all, "down")
		case Resend:
			all = append(all, fmt.Sprint("resend ", a.Family))
		case Ignored:
			all = append(all, "ignored")
		}
	}
	return strings.Join(all, ", ")
}

// Each history starts a session and plays events; the actions of the last and the state after it are compared.
func TestHistories(t *testing.T) {
	called := Conn(1_000_000)
	up := []Event{Opened{1, false}, Came{1, open(nil)}, Came{1, &wire.Keepalive{}}}
	after := func(e ...Event) []Event { return append(append([]Event(nil), up...), e...) }
	for _, tc := range []struct {
		name   string
		peer   func(p *Peer)
		events []Event
		want   string
	}{
		{"calls", nil, nil, "dial 1; Connect"},
		{"passive waits", func(p *Peer) { p.Passive = true }, nil, "; Active"},
		{"greets", nil, []Event{Opened{1, false}}, "open on 1; OpenSent"},
		{"confirms", nil, up[:2], "keepalive on 1; OpenConfirm"},
		{"stands", nil, up, "up 2; Established"},
		{"the peer calls", func(p *Peer) { p.Passive = true }, []Event{Opened{called, true}}, "open on 1000000; OpenSent"},
		{"no connection", nil, []Event{Closed{1}}, "; Idle"},
		{"tries again after a rest", nil, []Event{Closed{1}, Expired{IdleTimer}}, "dial 2; Connect"},
		{"a try that takes too long", nil, []Event{Expired{RetryTimer}}, "close 1, dial 2; Connect"},
		{"and opens all the same", nil, []Event{Expired{RetryTimer}, Opened{1, false}}, "close 1; Connect"},
		{"the wrong AS", nil, []Event{Opened{1, false}, Came{1, open(func(o *wire.Open) { o.AS = 65003 })}}, "2/2 on 1, close 1; Idle"},
		{"our identifier", nil, []Event{Opened{1, false}, Came{1, open(func(o *wire.Open) { o.ID = peer().ID })}}, "2/3 on 1, close 1; Idle"},
		{"no family shared", func(p *Peer) { p.Families = both[1:] },
			[]Event{Opened{1, false}, Came{1, open(func(o *wire.Open) { o.Families = nil })}}, "2/7 on 1, close 1; Idle"},
		{"a peer without capabilities", nil, append(append([]Event{}, Opened{1, false}, Came{1, open(func(o *wire.Open) {
			o.Families, o.FourByte = nil, false
		})}), up[2]), "up 1; Established"},
		{"four octets needed", func(p *Peer) { p.OwnAS = 4200000001 },
			[]Event{Opened{1, false}, Came{1, open(func(o *wire.Open) { o.FourByte = false })}}, "2/7 on 1, close 1; Idle"},
		{"keepalive before open", nil, []Event{Opened{1, false}, Came{1, &wire.Keepalive{}}}, "5/1 on 1, close 1; Idle"},
		{"update before keepalive", nil, []Event{Opened{1, false}, Came{1, open(nil)}, Came{1, &wire.Update{}}}, "5/2 on 1, close 1; Idle"},
		{"open in an established session", nil, after(Came{1, open(nil)}), "5/3 on 1, close 1, down; Idle"},
		{"what the peer announces is not taken", nil, after(Came{1, &wire.Update{}}), "ignored; Established"},
		{"a refresh", nil, after(Came{1, &wire.Refresh{Family: wire.IPv6}}), "resend 2; Established"},
		{"garbage", nil, after(Broken{1, &wire.Fault{Notification: wire.Notification{Code: 1, Sub: 1}}}), "1/1 on 1, close 1, down; Idle"},
		{"silent", nil, after(Expired{HoldTimer}), "4/0 on 1, close 1, down; Idle"},
		{"no open in time", nil, []Event{Opened{1, false}, Expired{HoldTimer}}, "4/0 on 1, close 1; Idle"},
		{"keeps alive", nil, after(Expired{KeepTimer}), "keepalive on 1; Established"},
		{"the connection ends", nil, after(Closed{1}), "down; Idle"},
		{"the peer ends it", nil, after(Came{1, wire.ShutdownWith("maintenance")}), "close 1, down; Idle"},
		{"stopped", nil, after(Stop{"maintenance"}), "6/2 on 1, close 1, down; Idle"},
		{"stopped, and stays so", nil, after(Stop{"maintenance"}, Expired{IdleTimer}), "; Idle"},
		{"called while it stands", nil, after(Opened{called, true}), "6/5 on 1000000, close 1000000; Established"},
		{"called while stopped", nil, after(Stop{""}, Opened{called, true}), "6/5 on 1000000, close 1000000; Idle"},
		{"collision: the peer's identifier is higher, its call stays", nil, []Event{Opened{1, false}, Opened{called, true}, Came{1, open(nil)},
			Came{called, open(nil)}}, "6/7 on 1, close 1, keepalive on 1000000; OpenConfirm"},
		{"collision: ours is higher, our call stays", func(p *Peer) { p.ID = [4]byte{10, 0, 0, 99} }, []Event{Opened{1, false},
			Opened{called, true}, Came{1, open(nil)}, Came{called, open(nil)}}, "6/7 on 1000000, close 1000000; OpenConfirm"},
		{"collision: the other had not greeted", nil, []Event{Opened{1, false}, Opened{called, true}, Came{1, open(nil)},
			Came{1, &wire.Keepalive{}}}, "6/7 on 1000000, close 1000000, up 2; Established"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := peer()
			if tc.peer != nil {
				tc.peer(&p)
			}
			s := New(p)
			acts := s.Handle(Start{})
			for _, e := range tc.events {
				acts = s.Handle(e)
			}
			if got := show(acts) + "; " + s.State().String(); got != tc.want {
				t.Errorf("got  %s\nwant %s", got, tc.want)
			}
		})
	}
}

// Every event in every state leads to a state, never to a panic; an established session has one connection, a
// running one always has something under way that moves it on, and what is dialled or opened is closed or known.
func TestEveryPair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := peer()
		p.Passive = rapid.Bool().Draw(t, "passive")
		s, set, called, ups := New(p), map[Timer]bool{}, Conn(1_000_000), 0
		live, dialled := map[Conn]bool{}, map[Conn]bool{}
		do := func(e Event) {
			for _, a := range s.Handle(e) {
				switch a := a.(type) {
				case Dial:
					dialled[a.Conn] = true
				case Close:
					delete(live, a.Conn)
					delete(dialled, a.Conn)
				case Set:
					set[a.Timer] = true
				case Clear:
					delete(set, a.Timer)
				case Up:
					ups++
				case Down:
					ups--
				case Send:
					if !live[a.Conn] {
						t.Fatalf("sends on %d, which is not open", a.Conn)
					}
				}
			}
		}
		do(Start{})
		for range 50 {
			var any Conn
			for c := range live {
				any = max(any, c)
			}
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				for c := range dialled {
					live[c] = true
					delete(dialled, c)
					do(Opened{c, false})
					break
				}
			case 1:
				for c := range dialled {
					delete(dialled, c)
					do(Closed{c})
					break
				}
			case 2:
				called++
				live[called] = true
				do(Opened{called, true})
			case 3:
				if any > 0 {
					delete(live, any)
					do(Closed{any})
				}
			case 4, 5:
				if any > 0 {
					do(Came{any, []wire.Message{open(nil), &wire.Keepalive{}, &wire.Update{}, &wire.Notification{Code: 6},
						&wire.Refresh{Family: wire.IPv4}}[rapid.IntRange(0, 4).Draw(t, "message")]})
				}
			case 6:
				if any > 0 {
					do(Broken{any, &wire.Fault{Notification: wire.Notification{Code: 1}}})
				}
			case 7:
				timer := Timer(rapid.IntRange(0, int(timers)-1).Draw(t, "timer"))
				if set[timer] {
					delete(set, timer)
					do(Expired{timer})
				}
			case 8:
				if rapid.IntRange(0, 9).Draw(t, "stop") == 0 {
					do(Stop{"x"})
					do(Start{})
				}
			}
			if (s.State() == Established) != (ups == 1) || ups < 0 || ups > 1 {
				t.Fatalf("%s with %d up", s.State(), ups)
			}
			if s.State() == Established && len(live) != 1 {
				t.Fatalf("established with %d connections", len(live))
			}
			if len(set) == 0 && len(dialled) == 0 {
				t.Fatalf("%s, and nothing will move it on", s.State())
			}
		}
	})
}

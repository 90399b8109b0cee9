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

func peer() PeerConfig {
	return PeerConfig{OwnAS: 65001, PeerAS: 65002, ID: [4]byte{10, 0, 0, 5}, HoldTime: 90 * scheduler.Second, Families: both, RestartTime: 120 * scheduler.Second}
}

func open(change func(o *wire.Open)) *wire.Open {
	o := &wire.Open{AS: 65002, HoldTime: 30, ID: [4]byte{10, 0, 0, 9}, Families: both, FourOctetAS: true}
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
		case SendMessage:
			s := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a.Message), "*wire."))
			if n, ok := a.Message.(*wire.Notification); ok {
				s = fmt.Sprintf("%d/%d", n.Code, n.Subcode)
			}
			all = append(all, fmt.Sprintf("%s on %d", s, a.Conn))
		case CloseConn:
			all = append(all, fmt.Sprint("close ", a.Conn))
		case SessionUp:
			all = append(all, fmt.Sprint("up ", len(a.Families)))
		case SessionDown:
			all = append(all, "down")
		case ResendRoutes:
			all = append(all, fmt.Sprint("resend ", a.Family))
		case UpdateIgnored:
			all = append(all, "ignored")
		}
	}
	return strings.Join(all, ", ")
}

// Each history starts a session and plays events; the actions of the last and the state after it are compared.
func TestHistories(t *testing.T) {
	called := ConnID(1_000_000)
	up := []Event{ConnOpened{1, false}, MessageReceived{1, open(nil)}, MessageReceived{1, &wire.Keepalive{}}}
	after := func(e ...Event) []Event { return append(append([]Event(nil), up...), e...) }
	for _, tc := range []struct {
		name   string
		peer   func(p *PeerConfig)
		events []Event
		want   string
	}{
		{"calls", nil, nil, "dial 1; Connect"},
		{"passive waits", func(p *PeerConfig) { p.Passive = true }, nil, "; Active"},
		{"greets", nil, []Event{ConnOpened{1, false}}, "open on 1; OpenSent"},
		{"confirms", nil, up[:2], "keepalive on 1; OpenConfirm"},
		{"stands", nil, up, "up 2; Established"},
		{"the peer calls", func(p *PeerConfig) { p.Passive = true }, []Event{ConnOpened{called, true}}, "open on 1000000; OpenSent"},
		{"no connection", nil, []Event{ConnClosed{1}}, "; Idle"},
		{"tries again after a rest", nil, []Event{ConnClosed{1}, TimerExpired{IdleHoldTimer}}, "dial 2; Connect"},
		{"a try that takes too long", nil, []Event{TimerExpired{ConnectRetryTimer}}, "close 1, dial 2; Connect"},
		{"and opens all the same", nil, []Event{TimerExpired{ConnectRetryTimer}, ConnOpened{1, false}}, "close 1; Connect"},
		{"the wrong AS", nil, []Event{ConnOpened{1, false}, MessageReceived{1, open(func(o *wire.Open) { o.AS = 65003 })}}, "2/2 on 1, close 1; Idle"},
		{"our identifier", nil, []Event{ConnOpened{1, false}, MessageReceived{1, open(func(o *wire.Open) { o.ID = peer().ID })}}, "2/3 on 1, close 1; Idle"},
		{"no family shared", func(p *PeerConfig) { p.Families = both[1:] },
			[]Event{ConnOpened{1, false}, MessageReceived{1, open(func(o *wire.Open) { o.Families = nil })}}, "2/7 on 1, close 1; Idle"},
		{"a peer without capabilities", nil, append(append([]Event{}, ConnOpened{1, false}, MessageReceived{1, open(func(o *wire.Open) {
			o.Families, o.FourOctetAS = nil, false
		})}), up[2]), "up 1; Established"},
		{"four octets needed", func(p *PeerConfig) { p.OwnAS = 4200000001 },
			[]Event{ConnOpened{1, false}, MessageReceived{1, open(func(o *wire.Open) { o.FourOctetAS = false })}}, "2/7 on 1, close 1; Idle"},
		{"keepalive before open", nil, []Event{ConnOpened{1, false}, MessageReceived{1, &wire.Keepalive{}}}, "5/1 on 1, close 1; Idle"},
		{"update before keepalive", nil, []Event{ConnOpened{1, false}, MessageReceived{1, open(nil)}, MessageReceived{1, &wire.Update{}}}, "5/2 on 1, close 1; Idle"},
		{"open in an established session", nil, after(MessageReceived{1, open(nil)}), "5/3 on 1, close 1, down; Idle"},
		{"what the peer announces is not taken", nil, after(MessageReceived{1, &wire.Update{}}), "ignored; Established"},
		{"a refresh", nil, after(MessageReceived{1, &wire.RouteRefresh{Family: wire.IPv6}}), "resend 2; Established"},
		{"garbage", nil, after(MessageInvalid{1, &wire.MessageError{Notification: wire.Notification{Code: 1, Subcode: 1}}}), "1/1 on 1, close 1, down; Idle"},
		{"silent", nil, after(TimerExpired{HoldTimer}), "4/0 on 1, close 1, down; Idle"},
		{"no open in time", nil, []Event{ConnOpened{1, false}, TimerExpired{HoldTimer}}, "4/0 on 1, close 1; Idle"},
		{"keeps alive", nil, after(TimerExpired{KeepaliveTimer}), "keepalive on 1; Established"},
		{"the connection ends", nil, after(ConnClosed{1}), "down; Idle"},
		{"the peer ends it", nil, after(MessageReceived{1, wire.NewShutdown("maintenance")}), "close 1, down; Idle"},
		{"stopped", nil, after(Stop{"maintenance"}), "6/2 on 1, close 1, down; Idle"},
		{"stopped, and stays so", nil, after(Stop{"maintenance"}, TimerExpired{IdleHoldTimer}), "; Idle"},
		{"called while it stands", nil, after(ConnOpened{called, true}), "6/5 on 1000000, close 1000000; Established"},
		{"called while stopped", nil, after(Stop{""}, ConnOpened{called, true}), "6/5 on 1000000, close 1000000; Idle"},
		{"collision: the peer's identifier is higher, its call stays", nil, []Event{ConnOpened{1, false}, ConnOpened{called, true}, MessageReceived{1, open(nil)},
			MessageReceived{called, open(nil)}}, "6/7 on 1, close 1, keepalive on 1000000; OpenConfirm"},
		{"collision: ours is higher, our call stays", func(p *PeerConfig) { p.ID = [4]byte{10, 0, 0, 99} }, []Event{ConnOpened{1, false},
			ConnOpened{called, true}, MessageReceived{1, open(nil)}, MessageReceived{called, open(nil)}}, "6/7 on 1000000, close 1000000; OpenConfirm"},
		{"collision: the other had not greeted", nil, []Event{ConnOpened{1, false}, ConnOpened{called, true}, MessageReceived{1, open(nil)},
			MessageReceived{1, &wire.Keepalive{}}}, "6/7 on 1000000, close 1000000, up 2; Established"},
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
		s, set, called, ups := New(p), map[Timer]bool{}, ConnID(1_000_000), 0
		live, dialled := map[ConnID]bool{}, map[ConnID]bool{}
		do := func(e Event) {
			for _, a := range s.Handle(e) {
				switch a := a.(type) {
				case Dial:
					dialled[a.Conn] = true
				case CloseConn:
					delete(live, a.Conn)
					delete(dialled, a.Conn)
				case SetTimer:
					set[a.Timer] = true
				case ClearTimer:
					delete(set, a.Timer)
				case SessionUp:
					ups++
				case SessionDown:
					ups--
				case SendMessage:
					if !live[a.Conn] {
						t.Fatalf("sends on %d, which is not open", a.Conn)
					}
				}
			}
		}
		do(Start{})
		for range 50 {
			var any ConnID
			for c := range live {
				any = max(any, c)
			}
			switch rapid.IntRange(0, 8).Draw(t, "event") {
			case 0:
				for c := range dialled {
					live[c] = true
					delete(dialled, c)
					do(ConnOpened{c, false})
					break
				}
			case 1:
				for c := range dialled {
					delete(dialled, c)
					do(ConnClosed{c})
					break
				}
			case 2:
				called++
				live[called] = true
				do(ConnOpened{called, true})
			case 3:
				if any > 0 {
					delete(live, any)
					do(ConnClosed{any})
				}
			case 4, 5:
				if any > 0 {
					do(MessageReceived{any, []wire.Message{open(nil), &wire.Keepalive{}, &wire.Update{}, &wire.Notification{Code: 6},
						&wire.RouteRefresh{Family: wire.IPv4}}[rapid.IntRange(0, 4).Draw(t, "message")]})
				}
			case 6:
				if any > 0 {
					do(MessageInvalid{any, &wire.MessageError{Notification: wire.Notification{Code: 1}}})
				}
			case 7:
				timer := Timer(rapid.IntRange(0, int(timers)-1).Draw(t, "timer"))
				if set[timer] {
					delete(set, timer)
					do(TimerExpired{timer})
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

// Package audit judges the five rules from a record of what passed over the sockets, and from nothing else.
package audit

import (
	"fmt"
	"io"
	"reflect"
	"sort"

	"glenport/internal/protocol"
	"glenport/internal/testbed/faultproxy"
	"glenport/scheduler"
)

// Finding is one break of a rule.
type Finding struct {
	Rule   int
	At     int64 // tenths of a millisecond since the record's start
	Text   string
	Frames []string // those that show it
}

func (f Finding) String() string {
	s := fmt.Sprintf("rule %d at %.1f ms: %s", f.Rule, float64(f.At)/10, f.Text)
	for _, x := range f.Frames {
		s += "\n    " + x
	}
	return s
}

// Judgement is the outcome of an audit.
type Judgement struct {
	Findings  []Finding
	Frames    int
	Submitted int
	Answers   [5]int // by verdict
	Offers    int
	Unheard   int // submissions whose placer or link ended before an answer was due
	Running   int // yeses
	ColdMost  int // offers in a window that came nearest to a cold machine's budget
	ColdBound int
	DrainLate float64 // ms after hearing of a drain at which the last offer went out
}

// Kept tells whether no rule was broken.
func (j *Judgement) Kept() bool { return len(j.Findings) == 0 }

// mostFindings of one rule are kept.
const mostFindings = 20

type judge struct {
	Judgement
	h       faultproxy.Header
	found   map[int]int
	placers map[string]*life
	places  map[string]map[string]place // by placer, then machine
	links   map[uint32]*channel
	starts  map[string]*coldStart // by machine and incarnation
	ran     map[string]*offer     // at-most-once work that ran, by key
	pairs   []pair                // bids of one container that seem to be out together; emptied after the slack
	now     int64
}

// pair is a bid sent while the one before it seems to be out. A placer that resets a link sends the next bid in
// the same moment, over another link; which of the two the record shows first is chance. So a pair is judged when
// the slack is over, and of two bids that close to each other the lower number went first.
type pair struct{ first, second *offer }

func (j *judge) judgePairs(now int64) {
	for len(j.pairs) > 0 && now > max(j.pairs[0].first.at, j.pairs[0].second.at)+int64(j.h.Slack) {
		p := j.pairs[0]
		j.pairs = j.pairs[1:]
		if !p.first.ended {
			j.fail(2, p.second.at, []string{p.first.text, p.second.text}, "container %s has two bids out", p.second.work.ContainerID)
		}
	}
}

// place is where a machine lies, as the list last told one placer. It outlasts the placer's incarnations: a placer
// keeps its list over a restart, and goes by it until the list is heard again.
type place struct{ zone, cell int }

// life is one life of a placer, as seen from outside.
type life struct {
	name       string
	containers map[string]*container
	machines   map[string]*listed
	held       map[*offer]bool // out, or running
	adopted    map[string]*offer
	cancelled  map[string]bool // cancels and looks by key that an answer is due to
}

type listed struct {
	protocol.MachineEntry
	shutAt int64 // when the placer was told that it drains or is gone; 0: it serves
}

type container struct {
	name     string
	asked    int64
	due      int64
	link     uint32
	answers  int
	verdict  protocol.Verdict
	answerAt int64
	offers   []*offer
	dropped  bool // its link or placer ended: nothing is owed
	work     protocol.ContainerSpec
	cancel   bool
}

type offer struct {
	at      int64
	bid     uint64
	machine string
	link    uint32
	until   int64 // its wait
	work    protocol.ContainerSpec
	never   bool // it provably never ran
	ended   bool // an outcome came
	yes     bool
	c       *container
	text    string
}

type channel struct {
	far    protocol.Role
	name   string
	placer string
	offers map[uint64]*offer
}

type coldStart struct {
	machine string
	began   int64
	told    map[string]bool
	offers  []int64
}

func newJudge() *judge {
	return &judge{found: map[int]int{}, placers: map[string]*life{}, places: map[string]map[string]place{},
		links: map[uint32]*channel{}, starts: map[string]*coldStart{}, ran: map[string]*offer{}}
}

// Record judges a record in a file.
func Record(path string) (*Judgement, error) {
	j := newJudge()
	err := faultproxy.Read(path, &j.h, func(e *faultproxy.Entry) error {
		j.now = e.At
		j.judgePairs(e.At)
		return j.entry(e)
	})
	if err != nil {
		return nil, err
	}
	j.finish()
	return &j.Judgement, nil
}

func (j *judge) fail(rule int, at int64, frames []string, format string, a ...any) {
	if j.found[rule]++; j.found[rule] <= mostFindings {
		j.Findings = append(j.Findings, Finding{rule, at, fmt.Sprintf(format, a...), frames})
	}
}

func (j *judge) life(name string) *life {
	l := j.placers[name]
	if l == nil {
		l = &life{name: name, containers: map[string]*container{}, machines: map[string]*listed{},
			held: map[*offer]bool{}, adopted: map[string]*offer{}, cancelled: map[string]bool{}}
		j.placers[name] = l
	}
	return l
}

func (j *judge) entry(e *faultproxy.Entry) error {
	switch e.Kind {
	case faultproxy.Opened:
		j.links[e.ConnID] = &channel{far: e.Peer, name: e.PeerName, placer: e.Scheduler, offers: map[uint64]*offer{}}
		return nil
	case faultproxy.Closed:
		j.closed(e)
		return nil
	case faultproxy.Killed:
		if l := j.placers[e.Scheduler]; l != nil {
			for _, c := range l.containers {
				j.drop(c)
			}
		}
		delete(j.placers, e.Scheduler)
		return nil
	case faultproxy.Started, faultproxy.Lost:
		return nil
	}
	j.Frames++
	f, err := e.Decoded()
	if err != nil {
		return fmt.Errorf("at %d: %w", e.At, err)
	}
	ch := j.links[e.ConnID]
	if ch == nil {
		return fmt.Errorf("at %d: a frame on link %d, which was never opened", e.At, e.ConnID)
	}
	l := j.life(e.Scheduler)
	switch f := f.(type) {
	case *protocol.Submit:
		j.submitted(l, e, f)
	case *protocol.CancelContainer:
		if c := l.containers[f.ContainerID]; c != nil {
			c.cancel = true
		} else if f.IdempotencyKey != "" { // an answer to it tells what became of the key
			l.cancelled[f.ContainerID] = true
		}
	case *protocol.Lookup:
		l.cancelled[f.ContainerID] = true
	case *protocol.PlacementReply:
		j.answered(l, e, f)
	case *protocol.Offer:
		j.offered(l, e, ch, f)
	case *protocol.Probe:
		j.cold(l, e)
	case *protocol.Accept:
		if o := ch.offers[f.AttemptID]; o != nil && f.Running {
			j.Running++
			j.began(l, o)
		}
	case *protocol.Result:
		j.result(l, ch, f)
	case *protocol.MachineListUpdate:
		j.list(l, e, f)
	case *protocol.Inventory:
		j.holds(l, e, ch, f)
	}
	return nil
}

// closed ends what the link's offers wait for. What ran behind it may still run; it counts again when its
// machine says so on the next link.
func (j *judge) closed(e *faultproxy.Entry) {
	ch := j.links[e.ConnID]
	if ch == nil {
		return
	}
	delete(j.links, e.ConnID)
	l := j.life(e.Scheduler)
	for _, o := range ch.offers {
		o.ended = true
		delete(l.held, o)
	}
	if ch.far == protocol.RoleClient {
		for _, c := range l.containers {
			if c.link == e.ConnID {
				j.drop(c)
			}
		}
	}
}

func (j *judge) drop(c *container) {
	if c.answers == 0 && !c.dropped {
		if j.now > c.due+j.grace() {
			j.lost(c)
		} else {
			j.Unheard++
		}
	}
	c.dropped = true
}

func (j *judge) grace() int64 { return int64(j.h.Config.AnswerGrace + j.h.Slack) }

func (j *judge) lost(c *container) {
	frames := []string{fmt.Sprintf("%.1f ms submit %s, due in %.1f ms", float64(c.asked)/10, c.name, float64(c.due-c.asked)/10)}
	for _, o := range c.offers {
		frames = append(frames, o.text)
	}
	j.fail(1, c.due, frames, "container %s has no final answer", c.name)
}

func (j *judge) submitted(l *life, e *faultproxy.Entry, f *protocol.Submit) {
	j.Submitted++
	if c := l.containers[f.Spec.ContainerID]; c != nil && c.answers == 0 {
		return // asked twice under one id; the first is owed
	}
	l.containers[f.Spec.ContainerID] = &container{name: f.Spec.ContainerID, asked: e.At, due: e.At + int64(f.TimeToDeadline), link: e.ConnID,
		work: f.Spec}
}

// answered holds the answer against rules 1 and 2.
func (j *judge) answered(l *life, e *faultproxy.Entry, f *protocol.PlacementReply) {
	c := l.containers[f.ContainerID]
	if c == nil && l.cancelled[f.ContainerID] {
		delete(l.cancelled, f.ContainerID)
		return
	}
	if c == nil {
		j.fail(1, e.At, nil, "an answer for %s, which was not asked of %s", f.ContainerID, l.name)
		return
	}
	j.Answers[f.Verdict]++
	c.answers++
	said := fmt.Sprintf("%.1f ms answer %s: %s", float64(e.At)/10, c.name, f.Verdict)
	if c.answers > 1 {
		if f.Verdict == protocol.VerdictNotAdmitted { // the second of one id
			c.answers--
			return
		}
		j.fail(1, e.At, []string{said}, "container %s has %d answers", c.name, c.answers)
	}
	if e.At > c.due+j.grace() {
		j.fail(1, e.At, []string{said}, "container %s is answered %.1f ms after its hard stop", c.name, float64(e.At-c.due)/10)
	}
	c.verdict, c.answerAt = f.Verdict, e.At
	if f.Verdict != protocol.VerdictRejected {
		return
	}
	w, ok := j.workload(c.work.WorkloadClass)
	for _, o := range c.offers {
		if ok && !o.never && (w.Idempotency == scheduler.AtMostOnce || w.Idempotency == scheduler.IdempotentWithKey && w.DedupScope != scheduler.ScopeFleet) {
			j.fail(2, e.At, []string{o.text, said}, "container %s is pushed back though it may have run", c.name)
			return
		}
	}
}

func (j *judge) workload(i int) (scheduler.WorkloadClass, bool) {
	if i < len(j.h.Config.WorkloadClasses) {
		return j.h.Config.WorkloadClasses[i], true
	}
	return scheduler.WorkloadClass{}, false
}

func (j *judge) offered(l *life, e *faultproxy.Entry, ch *channel, f *protocol.Offer) {
	j.Offers++
	o := &offer{at: e.At, bid: f.AttemptID, machine: ch.name, link: e.ConnID, until: e.At + int64(f.Timeout), work: f.Spec,
		text: fmt.Sprintf("%.1f ms %s offers %s to %s, bid %d, wait %.1f ms", float64(e.At)/10, l.name, f.Spec.ContainerID,
			ch.name, f.AttemptID, float64(f.Timeout)/10)}
	c := l.containers[f.Spec.ContainerID]
	if c == nil {
		j.fail(1, e.At, []string{o.text}, "container %s was not asked of %s", f.Spec.ContainerID, l.name)
		c = &container{name: f.Spec.ContainerID, work: f.Spec, dropped: true}
		l.containers[c.name] = c
	}
	o.c = c
	slack := int64(j.h.Slack)
	if c.answers > 0 && e.At > c.answerAt+slack {
		j.fail(1, e.At, []string{o.text}, "container %s is sent after its answer, %s at %.1f ms", c.name, c.verdict, float64(c.answerAt)/10)
	}
	w, known := j.workload(f.Spec.WorkloadClass)
	if !known {
		j.fail(1, e.At, []string{o.text}, "workload %d is unknown", f.Spec.WorkloadClass)
		return
	}
	for _, p := range c.offers {
		if !p.ended && !p.never && e.At < p.until-slack {
			x := pair{p, o}
			if o.bid < p.bid && e.At < p.at+slack {
				x = pair{o, p}
			}
			j.pairs = append(j.pairs, x)
		}
		if p.never {
			continue
		}
		switch {
		case w.Idempotency == scheduler.AtMostOnce:
			j.fail(2, e.At, []string{p.text, o.text}, "at-most-once %s is sent again though it may have run", c.name)
		case w.Idempotency == scheduler.IdempotentWithKey && !j.shareGroup(l, p.machine, o.machine, w.DedupScope):
			j.fail(2, e.At, []string{p.text, o.text}, "numbered %s leaves the group that drops its repeats", c.name)
		case w.Idempotency == scheduler.IdempotentWithKey && e.At > p.at+int64(w.DedupWindow)+slack:
			j.fail(2, e.At, []string{p.text, o.text}, "numbered %s is sent after its window", c.name)
		}
	}
	if m := l.machines[o.machine]; m != nil && m.shutAt > 0 {
		j.DrainLate = max(j.DrainLate, float64(e.At-m.shutAt)/10)
		if e.At > m.shutAt+int64(j.h.DrainGrace)+slack {
			j.fail(3, e.At, []string{o.text}, "%s is told at %.1f ms that %s is %s", l.name, float64(m.shutAt)/10, o.machine, m.State)
		}
	}
	j.cold(l, e)
	c.offers = append(c.offers, o)
	ch.offers[f.AttemptID] = o
	l.held[o] = true
	j.spread(l, o, w)
}

// cold counts what a machine is offered after a start that the sender was told of.
func (j *judge) cold(l *life, e *faultproxy.Entry) {
	t := &j.h.Config
	m := l.machines[e.PeerName]
	if m == nil {
		return
	}
	s := j.starts[startName(m)]
	if s == nil || !s.told[l.name] || e.At >= s.began+int64(t.SlowStartPeriod) {
		return
	}
	s.offers = append(s.offers, e.At)
	for s.offers[0] <= e.At-int64(t.SlowStartWindow) {
		s.offers = s.offers[1:]
	}
	n := len(s.offers)
	j.ColdMost, j.ColdBound = max(j.ColdMost, n), t.SlowStartBudget
	if n > t.SlowStartBudget {
		var frames []string
		for _, at := range s.offers {
			frames = append(frames, fmt.Sprintf("%.1f ms an offer or a probe for %s", float64(at)/10, e.PeerName))
		}
		j.fail(4, e.At, frames, "cold machine %s, up since %.1f ms, is offered %d in %.1f ms, and bears %d; the last by %s",
			e.PeerName, float64(s.began)/10, n, float64(t.SlowStartWindow)/10, t.SlowStartBudget, l.name)
	}
}

func startName(m *listed) string { return fmt.Sprint(m.Machine, "/", m.Incarnation) }

// spread counts what the placer holds of the service in the place of this offer, this offer included.
func (j *judge) spread(l *life, o *offer, w scheduler.WorkloadClass) {
	if w.SpreadScope == scheduler.ScopeNone {
		return
	}
	n := 0
	var frames []string
	for p := range l.held {
		if p.work.Service != o.work.Service || !j.shareGroup(l, p.machine, o.machine, w.SpreadScope) {
			continue
		}
		if !p.yes && p != o && j.now >= p.until-int64(j.h.Slack) { // its wait is over
			continue
		}
		n++
		frames = append(frames, p.text)
	}
	if n > w.MaxPerScope {
		sort.Strings(frames)
		j.fail(5, o.at, frames, "%s has %d of service %s in one place, %d are allowed", l.name, n, o.work.Service, w.MaxPerScope)
	}
}

// shareGroup tells whether two machines lie in one group; a machine that no list told this placer of lies in none.
func (j *judge) shareGroup(l *life, a, b string, group scheduler.Scope) bool {
	if group == scheduler.ScopeFleet || a == b {
		return true
	}
	x, knownX := j.places[l.name][a]
	y, knownY := j.places[l.name][b]
	if !knownX || !knownY {
		return false
	}
	switch group {
	case scheduler.ScopeZone:
		return x.zone == y.zone
	case scheduler.ScopeRackGroup:
		return x.cell == y.cell
	}
	return false
}

// began notes that a container runs. At-most-once work must not run twice, whoever sent it.
func (j *judge) began(l *life, o *offer) {
	if o.yes {
		return
	}
	o.yes = true
	l.held[o] = true
	if w, ok := j.workload(o.work.WorkloadClass); ok && w.Idempotency == scheduler.AtMostOnce {
		if p := j.ran[o.work.IdempotencyKey]; p != nil && p != o {
			j.fail(2, j.now, []string{p.text, o.text}, "at-most-once key %s ran twice", o.work.IdempotencyKey)
		}
		j.ran[o.work.IdempotencyKey] = o
	}
}

func (j *judge) result(l *life, ch *channel, f *protocol.Result) {
	o := ch.offers[f.AttemptID]
	if o == nil {
		return
	}
	delete(ch.offers, f.AttemptID)
	delete(l.held, o)
	o.ended = true
	o.never = f.Outcome == protocol.OutcomeFull && !o.yes
	if f.Outcome == protocol.OutcomeFinished {
		j.began(l, o)
		delete(l.held, o)
	}
}

func (j *judge) list(l *life, e *faultproxy.Entry, f *protocol.MachineListUpdate) {
	if f.FullSnapshot {
		named := map[string]bool{}
		for _, x := range f.Entries {
			named[x.Machine] = true
		}
		for name, m := range l.machines {
			if !named[name] {
				m.State = protocol.MachineGone
				if m.shutAt == 0 {
					m.shutAt = e.At
				}
			}
		}
	}
	places := j.places[l.name]
	if places == nil {
		places = map[string]place{}
		j.places[l.name] = places
	}
	for _, x := range f.Entries {
		places[x.Machine] = place{x.Zone, x.RackGroup}
		m := l.machines[x.Machine]
		if m == nil {
			m = &listed{}
			l.machines[x.Machine] = m
		}
		shut := m.shutAt
		m.MachineEntry, m.shutAt = x, 0
		if x.State != protocol.MachineServing {
			if m.shutAt = shut; shut == 0 {
				m.shutAt = e.At
			}
		}
		if x.Age >= 0 {
			s := j.starts[startName(m)]
			if s == nil {
				s = &coldStart{machine: x.Machine, began: e.At - int64(x.Age), told: map[string]bool{}}
				j.starts[startName(m)] = s
			}
			s.told[l.name] = true
		}
	}
}

// holds counts what a machine says that it runs for the placer, of this life and earlier ones.
func (j *judge) holds(l *life, e *faultproxy.Entry, ch *channel, f *protocol.Inventory) {
	for _, k := range f.Containers {
		if !k.Running {
			continue
		}
		o := &offer{at: e.At, bid: k.AttemptID, machine: ch.name, link: e.ConnID, work: k.Spec, yes: true,
			text: fmt.Sprintf("%.1f ms %s says it holds %s of %s", float64(e.At)/10, ch.name, k.Spec.ContainerID, l.name)}
		ch.offers[k.AttemptID] = o
		l.held[o] = true
		if w, ok := j.workload(k.Spec.WorkloadClass); ok && w.Idempotency == scheduler.AtMostOnce {
			if p := j.ran[k.Spec.IdempotencyKey]; p != nil && p.bid != k.AttemptID {
				j.fail(2, j.now, []string{p.text, o.text}, "at-most-once key %s ran twice", k.Spec.IdempotencyKey)
			}
			j.ran[k.Spec.IdempotencyKey] = o
		}
	}
}

// finish looks for what was owed at the end.
func (j *judge) finish() {
	j.judgePairs(1 << 62)
	for _, l := range j.placers {
		for _, c := range l.containers {
			j.drop(c)
		}
	}
	sort.SliceStable(j.Findings, func(a, b int) bool { return j.Findings[a].At < j.Findings[b].At })
}

// Show writes out what a record has on one container: its frames and the ends of the links they went over.
func Show(path, container string, out io.Writer) error {
	var h faultproxy.Header
	bids, links := map[uint64]bool{}, map[uint32]bool{}
	return faultproxy.Read(path, &h, func(e *faultproxy.Entry) error {
		say := func(what string) {
			fmt.Fprintf(out, "%9.1f ms  link %d, %s and %s %s: %s\n", float64(e.At)/10, e.ConnID, e.Scheduler, e.Peer, e.PeerName, what)
		}
		if e.Kind == faultproxy.Closed && links[e.ConnID] {
			say("closed")
		}
		if e.Kind == faultproxy.Killed || e.Kind == faultproxy.Started {
			fmt.Fprintf(out, "%9.1f ms  %s %s\n", float64(e.At)/10, e.Scheduler, map[faultproxy.EntryKind]string{faultproxy.Killed: "killed", faultproxy.Started: "started"}[e.Kind])
		}
		if len(e.Frame) == 0 {
			return nil
		}
		f, err := e.Decoded()
		if err != nil {
			return err
		}
		lost := map[bool]string{true: " LOST"}[e.Kind == faultproxy.Lost]
		show := false
		switch f := f.(type) {
		case *protocol.Offer:
			if show = f.Spec.ContainerID == container; show {
				bids[f.AttemptID], links[e.ConnID] = true, true
			}
		case *protocol.Submit:
			show = f.Spec.ContainerID == container
		case *protocol.CancelContainer:
			show = f.ContainerID == container
		case *protocol.PlacementReply:
			show = f.ContainerID == container
		case *protocol.Termination:
			show = f.ContainerID == container
		case *protocol.Accept:
			show = bids[f.AttemptID]
		case *protocol.Result:
			show = bids[f.AttemptID]
		case *protocol.CancelAttempt:
			show = bids[f.AttemptID]
		}
		if show {
			say(fmt.Sprintf("%s %+v%s", protocol.Name(f), reflect.ValueOf(f).Elem(), lost))
		}
		return nil
	})
}

package scheduler

import (
	"bufio"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the expected values in testdata")

// terms has one workload, two kinds and three placers.
func terms(e Effect) Terms {
	return Terms{Seed: 7, Placers: 3, AcceptCores: 2, AcceptMemory: 2, MeanCores: 1, MeanMemory: 1,
		ListedAsks: true, MayProbe: true, MostBids: 4,
		Kinds:   []Kind{{10, 20}, {40, 60}},
		ColdFor: 17 * Second, ColdWindow: 2 * Second, ColdBids: 30,
		Workloads: []Workload{{Effect: e, Kind: -1, Agreed: Second, HardStop: 6 * Second, Gain: 1}}}
}

// fleet has four machines: a and b in zone 0, c and d in zone 1, each in a cell of its own; b is of the large kind.
func fleet(t Terms) *Placer {
	p := New(t)
	p.Handle(0, []Event{ListCame{Mode: OldList, Entries: []Entry{
		{Machine: "a", Zone: 0, Cell: 0}, {Machine: "b", Zone: 0, Cell: 1, Kind: 1, FreeCores: 40, FreeMemory: 60},
		{Machine: "c", Zone: 1, Cell: 2}, {Machine: "d", Zone: 1, Cell: 3}}}})
	return p
}

// ask brings a container and tells where its first bid went.
func ask(p *Placer, now Time, id ContainerID, service string) MachineID {
	acts := p.Handle(now, []Event{Asked{Ask{ID: id, Service: service, Cores: 1, Memory: 1, Due: now + 6*Second}}})
	if b, ok := last(acts).(Bid); ok {
		return b.Machine
	}
	return ""
}

func tookOver(p *Placer, id, service string, at MachineID) {
	p.Handle(p.now, []Event{TookOver{Ask{ID: ContainerID(id), Service: service, Cores: 1, Memory: 1}, at}})
}

// move pretends that a container's bid went elsewhere.
func (p *Placer) move(id ContainerID, to MachineID) {
	c := p.containers[id]
	sent := c.sentAt
	p.release(c)
	p.hold(c, p.machine(to))
	c.sentAt = sent
}

func last(a []Action) Action {
	if len(a) == 0 {
		return nil
	}
	return a[len(a)-1]
}

func sameType(a, b Action) bool { return reflect.TypeOf(a) == reflect.TypeOf(b) }

func writeLines(t *testing.T, name string, lines []string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readLines(t *testing.T, name string) []string {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var lines []string
	s := bufio.NewScanner(f)
	for s.Scan() {
		lines = append(lines, s.Text())
	}
	if err := s.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}

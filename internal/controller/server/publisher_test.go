package server

import (
	"slices"
	"testing"

	"glenport/internal/controller/pending"
	"glenport/internal/controller/watchcache"
	"glenport/internal/protocol"
	"glenport/internal/testutil"
)

func TestPublicationWaitsForEarlierPublications(t *testing.T) {
	s := openServer(t)
	first := &publication{object: watchcache.Object{Kind: KindJobs, ID: "first", Value: Job{}}}
	second := &publication{object: watchcache.Object{Kind: KindJobs, ID: "second", Value: Job{}}}
	s.publisher.add(first)
	s.publisher.add(second)
	s.publisher.put(KindMachines, "m", Machine{})
	s.publisher.release(second)
	if v := s.Cache.Version(); v != 0 || s.Cache.Get(KindMachines, "m") != nil {
		t.Errorf("version %d is published before the first change is stored", v)
	}
	s.publisher.discard(first)
	if s.Cache.Get(KindJobs, "first") != nil || s.Cache.Get(KindJobs, "second") == nil ||
		s.Cache.Get(KindMachines, "m") == nil {
		t.Error("the discarded change is published, or a later change is not")
	}
	if v := s.Cache.Version(); v != 3 {
		t.Errorf("version %d, want 3: a discarded change keeps its version", v)
	}
}

func listSnapshot(entries ...protocol.MachineEntry) *protocol.MachineListUpdate {
	return &protocol.MachineListUpdate{FullSnapshot: true, Entries: entries}
}

func TestMachinesFollowTheMachineList(t *testing.T) {
	s := openServer(t)
	entry := func(id string, state protocol.MachineState) protocol.MachineEntry {
		return protocol.MachineEntry{Machine: id, Zone: 1, MachineType: 1, State: state}
	}
	shown := func(id string) bool { return s.Cache.Get(KindMachines, id) != nil }
	serving := protocol.MachineServing
	s.machines.apply(listSnapshot(entry("a", serving), entry("b", serving), entry("c", serving)))
	m := s.Cache.Get(KindMachines, "a").Value.(Machine)
	testutil.Expect(t, m.MachineType == "large" && m.Zone == 1 && m.State == "serving", "published as %+v", m)
	s.machines.apply(&protocol.MachineListUpdate{Entries: []protocol.MachineEntry{
		entry("a", protocol.MachineDraining), entry("b", protocol.MachineGone), entry("x", protocol.MachineGone),
	}})
	testutil.Expect(t, shown("a") && !shown("b") && shown("c") && len(s.machines.byID) == 2,
		"after an update: %v", s.machines.byID)
	zones := s.machines.zones()
	want := []pending.Zone{{Name: "1", Machines: 2, Draining: 1}}
	testutil.Expect(t, slices.Equal(zones, want), "zones %+v, want %+v", zones, want)
	s.machines.apply(listSnapshot(entry("a", serving)))
	testutil.Expect(t, shown("a") && !shown("c") && len(s.machines.byID) == 1,
		"after a full snapshot: %v", s.machines.byID)
}

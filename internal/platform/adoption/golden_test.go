package adoption

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/golden"
)

// TestDecisionsAreUnchanged compares the decisions on random sequences of claims with the recorded ones.
func TestDecisionsAreUnchanged(t *testing.T) {
	var got strings.Builder
	for _, group := range []struct {
		name                  string
		seed                  uint64
		limit, machines, size int // size: upper bound of the container sizes, in tenths of the mean
	}{
		{"few machines", 1, 1000, 3, 20},
		{"small containers", 2, 1000, 3, 2},
		{"limit in sum", 3, 40, 12, 20},
	} {
		d := golden.NewDigest()
		for i := range 30 {
			s := &sequence{
				random:       rand.New(rand.NewPCG(group.seed, uint64(i))),
				claims:       New(group.limit),
				adoptedLoads: make([]Load, group.machines),
			}
			for range 500 {
				s.step(d, group.size)
			}
		}
		fmt.Fprintln(&got, d.Line(group.name))
	}
	golden.CheckText(t, "testdata/decisions.txt", got.String())
}

// sequence is a sequence of random events for one set of claims.
type sequence struct {
	random       *rand.Rand
	claims       *Claims
	adoptedLoads []Load // adopted load of each machine
	number       int
}

func (s *sequence) step(d *golden.Digest, size int) {
	s.number++
	switch s.random.IntN(10) {
	case 0:
		s.claims.ClientDisconnected(ClientID(1 + s.random.IntN(5)))
	case 1, 2:
		s.remove(strconv.Itoa(s.random.IntN(s.number)))
	default:
		s.decide(d, size)
	}
}

func (s *sequence) decide(d *golden.Digest, size int) {
	i := s.random.IntN(len(s.adoptedLoads))
	tenths := Load{float64(s.random.IntN(size)) / 10, float64(s.random.IntN(size)) / 10, 1}
	claim := Claim{ClientID(1 + s.random.IntN(5)), strconv.Itoa(s.number), strconv.Itoa(i), tenths}
	machine := machineWith(0)
	machine.Running, machine.Listed = s.adoptedLoads[i], i%3 > 0
	before := maps.Clone(s.claims.claims)
	decision := s.claims.Decide(claim, machine)
	d.Add(0, decision.Adopt, strings.Join(decision.DisplacedIDs, ","))
	for _, id := range decision.DisplacedIDs {
		s.containerEnded(before[id].Claim)
	}
	if decision.Adopt {
		s.adoptedLoads[i] = s.adoptedLoads[i].Add(tenths)
	}
}

func (s *sequence) remove(id string) {
	if adopted := s.claims.claims[id]; adopted != nil {
		s.containerEnded(adopted.Claim)
		s.claims.Remove(id)
	}
}

func (s *sequence) containerEnded(claim Claim) {
	i, _ := strconv.Atoi(claim.Machine) // decide names machines by their index
	s.adoptedLoads[i] = s.adoptedLoads[i].Sub(claim.Load)
}

package warmstart

import "glenport/scheduler"

// minClockJump is a difference between two clocks that slewing does not explain.
const minClockJump = scheduler.Second

// unknownAge is the age of what was taken when the clock went back over a restart of the system.
const unknownAge scheduler.Time = -1

// Timestamp is a moment by two clocks: the wall clock, which can be set, and the time since the system booted, which
// cannot.
type Timestamp struct {
	Clock  scheduler.Time `cbor:"Clock" json:"Clock"`
	Uptime scheduler.Time `cbor:"Up"    json:"Up"`
	BootID string         `cbor:"Boot"  json:"Boot"` // of this boot of the system; empty where it is not known
}

// Elapsed is what is known of the span between two timestamps, the earlier one of another incarnation.
type Elapsed struct {
	Age scheduler.Time // negative where it is unknown, as the clock went back while the system was down
	// by which the wall clock was set meanwhile; times of the earlier incarnation are off by it
	ClockJump scheduler.Time
	SameBoot  bool // the system has not restarted
}

// Since returns the span from an earlier timestamp. Within one boot, jumps of the wall clock are detected and left out
// of the age. Over a restart of the system only a wall clock that went back is detected.
func (t Timestamp) Since(earlier Timestamp) Elapsed {
	if earlier.BootID == t.BootID && earlier.BootID != "" && t.Uptime >= earlier.Uptime {
		elapsed := Elapsed{Age: t.Uptime - earlier.Uptime, SameBoot: true}
		jump := t.Clock - earlier.Clock - elapsed.Age
		if jump >= minClockJump || jump <= -minClockJump {
			elapsed.ClockJump = jump
		}
		return elapsed
	}
	if t.Clock < earlier.Clock {
		return Elapsed{Age: unknownAge}
	}
	return Elapsed{Age: t.Clock - earlier.Clock}
}

// ago returns the timestamp an age before t, within the same boot.
func (t Timestamp) ago(age scheduler.Time) Timestamp {
	return Timestamp{Clock: t.Clock - age, Uptime: t.Uptime - age, BootID: t.BootID}
}

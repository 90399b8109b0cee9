package warmstart

import "glenport/scheduler"

// minClockJump is the smallest difference between the clocks of a Timestamp that slewing cannot explain.
const minClockJump = scheduler.Second

// unknownAge is the age of a timestamp if the wall clock went back during a restart of the system.
const unknownAge scheduler.Time = -1

// Timestamp is a point in time on two clocks: the wall clock, which can be set, and the time since the system booted,
// which cannot.
type Timestamp struct {
	Clock  scheduler.Time `cbor:"Clock" json:"Clock"`
	Uptime scheduler.Time `cbor:"Up"    json:"Up"`
	BootID string         `cbor:"Boot"  json:"Boot"` // identifies the boot of the system; empty if unknown
}

// Elapsed describes the time between a timestamp of an earlier incarnation and a later timestamp.
type Elapsed struct {
	Age scheduler.Time // negative if unknown, because the wall clock went back while the system was down
	// amount by which the wall clock was set between the timestamps; added to times of the earlier incarnation
	ClockJump scheduler.Time
	SameBoot  bool // the system has not restarted between the timestamps
}

// Since returns the time elapsed since an earlier timestamp. Within one boot, jumps of the wall clock are detected and
// excluded from the age. Across a restart of the system, only a wall clock that went back is detected.
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

// ago returns the timestamp that is earlier than t by an age, within the same boot.
func (t Timestamp) ago(age scheduler.Time) Timestamp {
	return Timestamp{Clock: t.Clock - age, Uptime: t.Uptime - age, BootID: t.BootID}
}

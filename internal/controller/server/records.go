package server

import "glenport/internal/controller"

// The records below are stored under the names in their tags: a name that changes there makes stored state unreadable.

// Kinds of what a keeper's log holds.
const (
	JobKind       = "job"       // by id, with its version
	ContainerKind = "container" // by id, as the keeper last had it
	StrayKind     = "stray"     // by door and key: what may run at a placer that was lost
	CeilingKind   = "ceiling"   // a version that no life has given out, and the next begins with
)

// KeptJob is a job as the log has it.
type KeptJob struct {
	Job     Job    `cbor:"Job"`
	Made    string `cbor:"Made"` // the key with which it was made, and a digest of that request: a repeat gets the same answer
	Request []byte `cbor:"Request"`
}

// KeptContainer is a container as the log has it.
type KeptContainer struct {
	Container controller.Container `cbor:"Container"`
	Door      string               `cbor:"Door"` // the address of the placer that was asked
}

// KeptStray is a stray as the log has it.
type KeptStray struct {
	Door string `cbor:"Door"`
	Key  string `cbor:"Key"`
}

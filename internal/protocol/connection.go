package protocol

import "fmt"

// Role is the role of one side of a connection.
type Role uint8

// The roles.
const (
	RoleScheduler Role = 1 + iota
	RoleMachine
	RoleMachineList
	RoleClient
	roleCount
)

var roleNames = []string{"", "placer", "machine", "list", "owner"}

// String is the name of the role in docs/protocol.md.
func (r Role) String() string { return enumName(roleNames, int(r)) }

// Hello opens a connection. Each side sends it once, before anything else.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	Magic       string   `cbor:"Magic"`
	Version     uint     `cbor:"Version"`
	Role        Role     `cbor:"Role"`
	Name        string   `cbor:"Name"`
	Incarnation uint64   `cbor:"Life"` // increases with each start of the process of this name
}

// NewHello returns the Hello of one side, with the version of this package.
func NewHello(role Role, name string, incarnation uint64) *Hello {
	return &Hello{Magic: helloMagic, Version: Version, Role: role, Name: name, Incarnation: incarnation}
}

// Heartbeat shows that an idle connection is alive.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
}

// Goodbye announces that the sender is about to close the connection, with the reason.
type Goodbye struct {
	_       struct{} `cbor:",toarray"`
	Message string   `cbor:"Text"`
}

func (*Hello) kind() kind     { return kindHello }
func (*Heartbeat) kind() kind { return kindHeartbeat }
func (*Goodbye) kind() kind   { return kindGoodbye }

func (f *Hello) validate() error {
	var v validator
	v.name("name", f.Name)
	if f.Magic != helloMagic {
		v.fail("greeting", "is not glenport's")
	}
	if f.Version != Version {
		v.fail("version", fmt.Sprintf("%d is not %d", f.Version, Version))
	}
	v.enum("role", int(f.Role), int(RoleScheduler), int(roleCount))
	return v.err
}

func (*Heartbeat) validate() error { return nil }
func (*Goodbye) validate() error   { return nil }

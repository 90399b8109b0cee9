package wal

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Change sets a value, or removes it if Value is nil. It is stored as a CBOR array of its fields in order.
type Change struct {
	_     struct{} `cbor:",toarray"`
	Kind  string   `cbor:"Kind"`
	Key   string   `cbor:"Key"`
	Value []byte   `cbor:"Value"`
}

// Put returns the change that sets a value, encoded as CBOR. It panics if the value cannot be encoded.
func Put(kind, key string, value any) Change {
	encoded, err := cbor.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("wal: value of kind %s cannot be encoded: %v", kind, err))
	}
	return Change{Kind: kind, Key: key, Value: encoded}
}

func encodeChanges(changes []Change) ([]byte, error) { return cbor.Marshal(changes) }

func decodeChanges(body []byte) ([]Change, error) {
	var changes []Change
	err := cbor.Unmarshal(body, &changes)
	return changes, err
}

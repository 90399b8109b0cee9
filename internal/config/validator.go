package config

import (
	"net/netip"
	"strings"

	"glenport/internal/config/strictyaml"
	"glenport/scheduler"
)

// reservedASN is AS_TRANS, which replaces a four-byte AS number in fields of two bytes (RFC 6793).
const reservedASN = 23456

// validator checks the values of one file and records the first error. After an error its methods still return a value,
// such as the zero value, so that callers need not check for an error after each call.
type validator struct {
	file *strictyaml.File
	err  error // the first error, a *strictyaml.Error
}

func (v *validator) record(err error) {
	if v.err == nil {
		v.err = err
	}
}

func (v *validator) fail(at strictyaml.Position, format string, args ...any) {
	v.record(v.file.ErrorAt(at, format, args...))
}

// keyName returns the last part of the path of a key, in the spelling that the file uses.
func (v *validator) keyName(path string) string {
	name := v.file.KeyName(path)
	return name[strings.LastIndexByte(name, '.')+1:]
}

// required checks that a mapping has all its required keys.
func (v *validator) required(path string, mapping any) {
	v.record(strictyaml.CheckRequired(v.file, path, mapping))
}

// oneOf returns the index of a value among the allowed ones.
func (v *validator) oneOf(value strictyaml.String, allowed ...string) int {
	index, err := strictyaml.OneOf(v.file, value, allowed...)
	v.record(err)
	return index
}

// address checks an IP address with a port. A value that is not set passes the check.
func (v *validator) address(value strictyaml.String) string {
	if _, err := netip.ParseAddrPort(value.Value); err != nil && value.IsSet() {
		v.fail(value.Position, "%q is no address such as 127.0.0.1:7400", value.Value)
	}
	return value.Value
}

func (v *validator) ipAddress(value strictyaml.String) netip.Addr {
	address, err := netip.ParseAddr(value.Value)
	if err != nil {
		v.fail(value.Position, "%q is no address such as 192.0.2.1", value.Value)
	}
	return address
}

func (v *validator) prefix(value strictyaml.String) netip.Prefix {
	prefix, err := netip.ParsePrefix(value.Value)
	if err != nil {
		v.fail(value.Position, "%q is no prefix such as 192.0.2.0/24", value.Value)
	} else if prefix != prefix.Masked() {
		v.fail(value.Position, "%q has bits beyond its length; %s has not", value.Value, prefix.Masked())
	}
	return prefix
}

func (v *validator) asn(value strictyaml.Count) uint32 {
	if value.Value == 0 || value.Value == reservedASN {
		v.fail(value.Position, "%d is no AS number to use", value.Value)
	}
	return uint32(value.Value)
}

func (v *validator) positive(value strictyaml.Float) float64 {
	if value.Value <= 0 {
		v.fail(value.Position, "%g is not above 0", value.Value)
	}
	return value.Value
}

func (v *validator) positiveCount(value strictyaml.Count) int {
	if value.Value == 0 {
		v.fail(value.Position, "0 would let nothing pass")
	}
	return value.Value
}

func (v *validator) positiveDuration(value strictyaml.Duration) scheduler.Time {
	if value.Ticks == 0 {
		v.fail(value.Position, "a span above 0 is wanted")
	}
	return duration(value)
}

// duration converts a duration; both types count ticks of 100 microseconds.
func duration(value strictyaml.Duration) scheduler.Time { return scheduler.Time(value.Ticks) }

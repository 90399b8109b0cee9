package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"glenport/internal/eventloop"
	"glenport/internal/simprotocol"
	"glenport/scheduler"
)

// Config is what the platform tells a placer at its start.
type Config struct {
	Name               string
	ListenAddr         string
	DiscoveryAddr      string
	Scheduler          scheduler.Config
	KnownEvents        []watchEvent
	LastOffset         int64 // number of the last event known
	MemoryMB           int
	MaxDescriptors     int
	ConnectTimeout     eventloop.Tick // a connection that does not stand by then never will
	MachineIdleTimeout eventloop.Tick // machines close connections that are idle for so long

	zones, machineTypes, workloadClasses, tenants []string // by their numbers
}

// LoadConfig reads the file that the platform names.
func LoadConfig(path string) (*Config, error) {
	p, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := parseConfig(p)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

func parseConfig(p []byte) (*Config, error) {
	var file struct {
		Name, Listen, Seed, Bus string
		Limits                  struct {
			MemoryMB float64 `json:"memory_mb"`
			Sockets  int
		}
		Known struct {
			Offset int64
			Batch  []json.RawMessage
		}
		Settings json.RawMessage
	}
	if err := json.Unmarshal(p, &file); err != nil {
		return nil, withLineNumber(p, err)
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed: %q is no number of 16 hex digits", file.Seed)
	}
	for _, a := range []struct{ key, addr string }{{"listen", file.Listen}, {"bus", file.Bus}} {
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return nil, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if file.Limits.Sockets < 64 || file.Limits.MemoryMB < 16 {
		return nil, fmt.Errorf("limits: %d sockets and %g MB are too little to run on", file.Limits.Sockets, file.Limits.MemoryMB)
	}
	pairs, err := flattenSettings(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config := &Config{Name: file.Name, ListenAddr: file.Listen, DiscoveryAddr: file.Bus, LastOffset: file.Known.Offset,
		MemoryMB: int(file.Limits.MemoryMB), MaxDescriptors: file.Limits.Sockets}
	if config.Scheduler, err = simprotocol.ParseSettings(seed, pairs); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config.Scheduler.ListOnRequest = false // the event bus tells unasked
	var named struct {
		AZs, Kinds       []string
		Classes, Tenants []struct{ Name string }
		Permissions      struct {
			Connect float64 `json:"connect_timeout_ms"`
			Idle    float64 `json:"conn_idle_ms"`
		}
	}
	if err := json.Unmarshal(file.Settings, &named); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	config.zones, config.machineTypes = named.AZs, named.Kinds
	for _, c := range named.Classes {
		config.workloadClasses = append(config.workloadClasses, c.Name)
	}
	for _, c := range named.Tenants {
		config.tenants = append(config.tenants, c.Name)
	}
	config.ConnectTimeout, config.MachineIdleTimeout = millisecondsToTicks(named.Permissions.Connect), millisecondsToTicks(named.Permissions.Idle)
	if config.ConnectTimeout <= 0 || config.MachineIdleTimeout <= 0 {
		return nil, errors.New("settings: permissions.connect_timeout_ms and permissions.conn_idle_ms must be above 0")
	}
	for i, raw := range file.Known.Batch {
		e, err := config.decodeWatchEvent(raw)
		if err == nil && e.offsetOnly {
			err = errors.New("topology is missing")
		}
		if err == nil {
			err = errors.Join(e.invalidEntries...)
		}
		if err != nil {
			return nil, fmt.Errorf("known.batch[%d]: %w", i, err)
		}
		config.KnownEvents = append(config.KnownEvents, e)
	}
	return config, nil
}

func millisecondsToTicks(ms float64) eventloop.Tick {
	return eventloop.Tick(ms * float64(eventloop.Millisecond))
}

// withLineNumber names the line of a fault in a JSON file.
func withLineNumber(p []byte, err error) error {
	var s *json.SyntaxError
	var t *json.UnmarshalTypeError
	at := int64(-1)
	if errors.As(err, &s) {
		at = s.Offset
	} else if errors.As(err, &t) {
		at = t.Offset
	}
	if at < 0 || at > int64(len(p)) {
		return err
	}
	return fmt.Errorf("line %d: %w", 1+bytes.Count(p[:at], []byte("\n")), err)
}

// flattenSettings writes nested terms as the pairs that the reader of terms takes: lists of plain values joined by commas,
// lists of objects by their count and their items.
func flattenSettings(p []byte) ([]string, error) {
	d := json.NewDecoder(bytes.NewReader(p))
	d.UseNumber()
	var top map[string]any
	if err := d.Decode(&top); err != nil {
		return nil, err
	}
	var pairs []string
	var walk func(path string, v any) error
	walk = func(path string, v any) error {
		switch v := v.(type) {
		case map[string]any:
			if path != "" {
				path += "."
			}
			for k, x := range v {
				if err := walk(path+k, x); err != nil {
					return err
				}
			}
		case []any:
			if len(v) > 0 {
				if _, nested := v[0].(map[string]any); nested {
					pairs = append(pairs, fmt.Sprintf("%s.count=%d", path, len(v)))
					for i, x := range v {
						if err := walk(fmt.Sprintf("%s.%d", path, i), x); err != nil {
							return err
						}
					}
					return nil
				}
			}
			words := make([]string, len(v))
			for i, x := range v {
				w, err := scalarText(x)
				if err != nil {
					return fmt.Errorf("%s[%d]: %w", path, i, err)
				}
				words[i] = w
			}
			pairs = append(pairs, path+"="+strings.Join(words, ","))
		default:
			w, err := scalarText(v)
			if err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			pairs = append(pairs, path+"="+w)
		}
		return nil
	}
	err := walk("", top)
	slices.Sort(pairs)
	return pairs, err
}

func scalarText(v any) (string, error) {
	switch v := v.(type) {
	case json.Number:
		return v.String(), nil
	case bool:
		return strconv.FormatBool(v), nil
	case string:
		return strings.NewReplacer(" ", "_", ",", "_").Replace(v), nil
	case nil:
		return "-", nil
	}
	return "", fmt.Errorf("%T is no plain value", v)
}

// watchEvent is one numbered change of the list of machines.
type watchEvent struct {
	offset         int64
	offsetOnly     bool // the number of the last event alone
	fullSnapshot   bool
	version        int64
	machines       []machineUpdate
	invalidEntries []error // of entries that are left out
}

type machineUpdate struct {
	entry scheduler.MachineEntry
	addr  string
}

var machineStates = map[string]scheduler.MachineState{"ready": scheduler.MachineServing, "draining": scheduler.MachineDraining, "gone": scheduler.MachineGone}

// decodeWatchEvent reads an event of the bus. A machine that the terms cannot place is left out of it and named among its faults,
// so that one such entry does not keep the others from being heard.
func (config *Config) decodeWatchEvent(p []byte) (watchEvent, error) {
	var raw struct {
		Offset   int64
		Topology *struct {
			Seq   int64
			Whole bool
			Hosts []struct {
				Host, Dial, Site, Class, Health string
				Block                           int
				Share                           float64
				Born                            float64 `json:"born_ms"`
				Free                            []float64
			}
		}
	}
	if err := json.Unmarshal(p, &raw); err != nil {
		return watchEvent{}, err
	}
	if raw.Offset < 0 {
		return watchEvent{}, errors.New("offset is below 0")
	}
	if raw.Topology == nil {
		return watchEvent{offset: raw.Offset, offsetOnly: true}, nil
	}
	e := watchEvent{offset: raw.Offset, fullSnapshot: raw.Topology.Whole, version: raw.Topology.Seq}
	for i, h := range raw.Topology.Hosts {
		state, zone, kind, err := config.resolveMachine(h.Host, h.Dial, h.Site, h.Class, h.Health)
		if err != nil {
			e.invalidEntries = append(e.invalidEntries, fmt.Errorf("hosts[%d]: %w", i, err))
			continue
		}
		update := machineUpdate{addr: h.Dial, entry: scheduler.MachineEntry{Machine: scheduler.MachineID(h.Host), Zone: zone, MachineType: kind,
			RackGroup: h.Block, State: state, PowerHint: h.Share, StartedAt: scheduler.Time(math.Floor(h.Born * 10))}}
		if len(h.Free) == 2 {
			update.entry.FreeCores, update.entry.FreeMemory = h.Free[0], h.Free[1]
		}
		e.machines = append(e.machines, update)
	}
	return e, nil
}

// resolveMachine reads where a machine stands in the terms. Zone and kind of one that is gone do not matter, and without zones or
// kinds in the terms there is one of each.
func (config *Config) resolveMachine(id, addr, site, class, health string) (state scheduler.MachineState, zone, kind int, err error) {
	state, ok := machineStates[health]
	zone, kind = indexOrSingle(config.zones, site), indexOrSingle(config.machineTypes, class)
	_, fault := netip.ParseAddrPort(addr)
	switch {
	case !ok:
		err = fmt.Errorf("health %q is not known", health)
	case id == "":
		err = errors.New("host is missing")
	case state == scheduler.MachineGone:
		zone, kind = max(zone, 0), max(kind, 0)
	case fault != nil:
		err = fmt.Errorf("dial: %w", fault)
	case zone < 0 || kind < 0:
		err = fmt.Errorf("site %q or class %q is not known", site, class)
	}
	return state, zone, kind, err
}

func indexOrSingle(names []string, name string) int {
	if len(names) == 0 {
		return 0
	}
	return slices.Index(names, name)
}

package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"glenport/internal/eventloop"
	"glenport/internal/platform/adoption"
	"glenport/internal/simprotocol"
	"glenport/scheduler"
)

const (
	minDescriptors = 64
	minMemoryMB    = 16
)

// Config is the configuration that the platform gives a scheduler at its start.
type Config struct {
	Name               string
	ListenAddr         string
	DiscoveryAddr      string
	Scheduler          scheduler.Config
	KnownEvents        []watchEvent // events of the discovery service, the earliest first
	LastOffset         int64        // offset of the last known event
	MemoryMB           int
	MaxDescriptors     int
	ConnectTimeout     eventloop.Tick // for connections to machines
	MachineIdleTimeout eventloop.Tick // machines close connections that are idle for this time

	zones, machineTypes, workloadClasses, tenants []string // names by index
}

var (
	errBadTimeouts = errors.New("settings: permissions.connect_timeout_ms and permissions.conn_idle_ms must be above 0")
	errNoEventBody = errors.New("topology is missing")
)

// wireConfig is the encoding of the platform's configuration file. wireSettings is the encoding of the settings that
// this process uses itself.
type (
	wireConfig struct {
		Name          string `json:"name"`
		ListenAddr    string `json:"listen"`
		Seed          string `json:"seed"`
		DiscoveryAddr string `json:"bus"`
		Limits        struct {
			MemoryMB    float64 `json:"memory_mb"`
			Descriptors int     `json:"sockets"`
		} `json:"limits"`
		Known struct {
			LastOffset int64             `json:"offset"`
			Events     []json.RawMessage `json:"batch"`
		} `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	wireSettings struct {
		Zones           []string   `json:"azs"`
		MachineTypes    []string   `json:"kinds"`
		WorkloadClasses []wireName `json:"classes"`
		Tenants         []wireName `json:"tenants"`
		Permissions     struct {
			ConnectTimeoutMillis float64 `json:"connect_timeout_ms"`
			IdleTimeoutMillis    float64 `json:"conn_idle_ms"`
		} `json:"permissions"`
	}
	wireName struct {
		Name string `json:"name"`
	}
)

// LoadConfig reads the platform's configuration file. Errors name the invalid line or field.
func LoadConfig(path string) (*Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	config, err := parseConfig(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return config, nil
}

// DecodeConfig decodes the content of the platform's configuration file.
func DecodeConfig(data []byte) (*Config, error) { return parseConfig(data) }

func parseConfig(data []byte) (*Config, error) {
	var wire wireConfig
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, withLineNumber(data, err)
	}
	seed, err := strconv.ParseUint(wire.Seed, 16, 64)
	if err != nil {
		return nil, fieldError("seed", "%q is not a number of 16 hex digits", wire.Seed)
	}
	if err := wire.validate(); err != nil {
		return nil, err
	}
	config := &Config{
		Name:           wire.Name,
		ListenAddr:     wire.ListenAddr,
		DiscoveryAddr:  wire.DiscoveryAddr,
		LastOffset:     wire.Known.LastOffset,
		MemoryMB:       int(wire.Limits.MemoryMB),
		MaxDescriptors: wire.Limits.Descriptors,
	}
	if err := config.parseSettings(seed, wire.Settings); err != nil {
		return nil, err
	}
	if err := config.parseKnownEvents(wire.Known.Events); err != nil {
		return nil, err
	}
	return config, nil
}

// validate checks addresses and limits.
func (wire *wireConfig) validate() error {
	for _, address := range []struct{ field, addr string }{{"listen", wire.ListenAddr}, {"bus", wire.DiscoveryAddr}} {
		if _, err := netip.ParseAddrPort(address.addr); err != nil {
			return &invalidFieldError{address.field, err}
		}
	}
	limits := wire.Limits
	if limits.Descriptors < minDescriptors || limits.MemoryMB < minMemoryMB {
		return fieldError("limits",
			"%d sockets and %g MB are below the minimum", limits.Descriptors, limits.MemoryMB)
	}
	return nil
}

// parseSettings reads the settings of the scheduler, and the settings that this process uses itself.
func (config *Config) parseSettings(seed uint64, settings json.RawMessage) error {
	pairs, err := flattenSettings(settings)
	if err != nil {
		return &invalidFieldError{"settings", err}
	}
	if config.Scheduler, err = simprotocol.ParseSettings(seed, pairs); err != nil {
		return &invalidFieldError{"settings", err}
	}
	config.Scheduler.ListOnRequest = false // the discovery service pushes its events
	var wire wireSettings
	if err := json.Unmarshal(settings, &wire); err != nil {
		return &invalidFieldError{"settings", err}
	}
	config.zones, config.machineTypes = wire.Zones, wire.MachineTypes
	config.workloadClasses, config.tenants = namesOf(wire.WorkloadClasses), namesOf(wire.Tenants)
	config.ConnectTimeout = millisecondsToTicks(wire.Permissions.ConnectTimeoutMillis)
	config.MachineIdleTimeout = millisecondsToTicks(wire.Permissions.IdleTimeoutMillis)
	if config.ConnectTimeout <= 0 || config.MachineIdleTimeout <= 0 {
		return errBadTimeouts
	}
	return nil
}

// capacity returns the total load that the containers on a machine of a type may request.
func (config *Config) capacity(machineType int) adoption.Capacity {
	if machineType >= len(config.Scheduler.MachineTypes) {
		return config.largestCapacity()
	}
	size, settings := config.Scheduler.MachineTypes[machineType], &config.Scheduler
	return adoption.NewCapacity(
		adoption.Load{Cores: size.Cores * settings.CoresOvercommit, Memory: size.Memory * settings.MemoryOvercommit},
		adoption.Load{Cores: settings.MeanCores, Memory: settings.MeanMemory},
	)
}

// largestCapacity returns the largest capacity of all machine types. It applies to a machine of unknown type.
func (config *Config) largestCapacity() adoption.Capacity {
	var largest adoption.Capacity
	for i := range config.Scheduler.MachineTypes {
		largest = largest.Max(config.capacity(i))
	}
	return largest
}

func namesOf(named []wireName) []string {
	var names []string
	for _, n := range named {
		names = append(names, n.Name)
	}
	return names
}

// parseKnownEvents reads the events up to LastOffset. Invalid entries are an error, unlike in the events of a running
// watch, because the platform writes these events together with the settings.
func (config *Config) parseKnownEvents(events []json.RawMessage) error {
	for i, data := range events {
		event, err := config.decodeWatchEvent(data)
		if err == nil && event.offsetOnly {
			err = errNoEventBody
		}
		if err == nil {
			err = errors.Join(event.invalidEntries...)
		}
		if err != nil {
			return fmt.Errorf("known.batch[%d]: %w", i, err)
		}
		config.KnownEvents = append(config.KnownEvents, event)
	}
	return nil
}

func millisecondsToTicks(milliseconds float64) eventloop.Tick {
	return eventloop.Tick(milliseconds * float64(eventloop.Millisecond))
}

// withLineNumber adds the line number to an error in a JSON file.
func withLineNumber(data []byte, err error) error {
	offset := int64(-1)
	if syntaxError, ok := errors.AsType[*json.SyntaxError](err); ok {
		offset = syntaxError.Offset
	} else if typeError, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		offset = typeError.Offset
	}
	if offset < 0 || offset > int64(len(data)) {
		return err
	}
	return fmt.Errorf("line %d: %w", 1+bytes.Count(data[:offset], []byte("\n")), err)
}

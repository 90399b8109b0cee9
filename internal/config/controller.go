package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"glenport/internal/config/strictyaml"
)

// Controller holds the checked settings of a controller process.
type Controller struct {
	Name            string
	APIAddr         string
	SchedulerAddrs  []string // of all schedulers, in the order of their indices
	MachineListAddr string   // empty: the machine list is not watched
	Seed            uint64
	StateDir        string     // directory of the state kept across restarts; empty: no state is kept
	Scheduler       *Scheduler // settings of a scheduler, for workload classes, tenants and machine types

	Deprecations []strictyaml.Deprecation // old spellings in this file, followed by those in the scheduler's file
}

// LoadController reads and checks the settings file of a controller and the settings file of a scheduler that it names.
func LoadController(path string) (*Controller, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var content controllerFile
	file, err := strictyaml.ReadWithAliases(path, data, &content, ControllerAliases())
	if err != nil {
		return nil, err
	}
	v := &validator{file: file}
	settings := v.controller(&content)
	if v.err != nil {
		return nil, v.err
	}
	schedulerPath := content.SchedulerFile.Value
	if !filepath.IsAbs(schedulerPath) {
		schedulerPath = filepath.Join(filepath.Dir(path), schedulerPath)
	}
	settings.Scheduler, err = LoadScheduler(schedulerPath)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, file.ErrorAt(content.SchedulerFile.Position, "%w", err)
	}
	if err != nil {
		return nil, err
	}
	settings.Deprecations = slices.Concat(file.Deprecations(), settings.Scheduler.Deprecations)
	return settings, nil
}

// controller checks a controller's file and returns its settings, or nil if a required key is missing.
func (v *validator) controller(f *controllerFile) *Controller {
	v.required("", *f)
	if v.err != nil {
		return nil
	}
	s := &Controller{
		Name:            f.Name.Value,
		APIAddr:         v.address(f.APIAddr),
		MachineListAddr: v.address(f.MachineListAddr),
		Seed:            uint64(f.Seed.Value),
		StateDir:        f.StateDir.Value,
	}
	for _, address := range f.SchedulerAddrs {
		s.SchedulerAddrs = append(s.SchedulerAddrs, v.address(address))
	}
	if len(s.SchedulerAddrs) == 0 {
		v.record(v.file.MissingKey("", "schedulers"))
	}
	return s
}

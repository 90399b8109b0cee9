package config

import (
	"os"
	"path/filepath"

	"glenport/internal/config/strictyaml"
)

// Controller is a keeper's file, checked.
type Controller struct {
	Name  string
	APIAddr   string
	SchedulerAddrs []string
	MachineListAddr  string
	Seed  uint64
	StateDir string  // the folder of what is kept over restarts; nothing is where empty
	Scheduler *Scheduler // workloads, customers and kinds
}

type controllerFile struct {
	Name  strictyaml.String   `yaml:"name"`
	APIAddr   strictyaml.String   `yaml:"api"`
	SchedulerFile strictyaml.String   `yaml:"placer_file"`
	SchedulerAddrs []strictyaml.String `yaml:"doors"`
	MachineListAddr  strictyaml.String   `yaml:"list" settings:"may"`
	Seed  strictyaml.Count  `yaml:"seed" settings:"may"`
	StateDir strictyaml.String   `yaml:"state" settings:"may"`
}

// LoadController reads and checks a keeper's file and the placer's file that it names, beside it.
func LoadController(path string) (*Controller, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f controllerFile
	src, err := strictyaml.Read(path, data, &f)
	if err != nil {
		return nil, err
	}
	c := &validator{file: src}
	c.required("", f)
	if c.err != nil {
		return nil, c.err
	}
	k := &Controller{Name: f.Name.Value, APIAddr: c.address(f.APIAddr), Seed: uint64(f.Seed.Value), StateDir: f.StateDir.Value}
	if f.MachineListAddr.IsSet() {
		k.MachineListAddr = c.address(f.MachineListAddr)
	}
	for _, d := range f.SchedulerAddrs {
		k.SchedulerAddrs = append(k.SchedulerAddrs, c.address(d))
	}
	if len(k.SchedulerAddrs) == 0 {
		c.record(src.MissingKey("", "doors"))
	}
	if c.err != nil {
		return nil, c.err
	}
	terms := f.SchedulerFile.Value
	if !filepath.IsAbs(terms) {
		terms = filepath.Join(filepath.Dir(path), terms)
	}
	if k.Scheduler, err = LoadScheduler(terms); os.IsNotExist(err) {
		return nil, src.ErrorAt(f.SchedulerFile.Position, "%v", err)
	}
	return k, err
}

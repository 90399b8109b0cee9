package config

import (
	"os"
	"path/filepath"

	"glenport/internal/config/strictyaml"
)

// Keeper is a keeper's file, checked.
type Keeper struct {
	Name  string
	API   string
	Doors []string
	List  string
	Seed  uint64
	State string  // the folder of what is kept over restarts; nothing is where empty
	Terms *Placer // workloads, customers and kinds
}

type keeperFile struct {
	Name  strictyaml.Word   `yaml:"name"`
	API   strictyaml.Word   `yaml:"api"`
	Terms strictyaml.Word   `yaml:"placer_file"`
	Doors []strictyaml.Word `yaml:"doors"`
	List  strictyaml.Word   `yaml:"list" settings:"may"`
	Seed  strictyaml.Count  `yaml:"seed" settings:"may"`
	State strictyaml.Word   `yaml:"state" settings:"may"`
}

// LoadKeeper reads and checks a keeper's file and the placer's file that it names, beside it.
func LoadKeeper(path string) (*Keeper, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f keeperFile
	src, err := strictyaml.Read(path, data, &f)
	if err != nil {
		return nil, err
	}
	c := &check{src: src}
	c.needed("", f)
	if c.fault != nil {
		return nil, c.fault
	}
	k := &Keeper{Name: f.Name.Text, API: c.address(f.API), Seed: uint64(f.Seed.Value), State: f.State.Text}
	if f.List.Set() {
		k.List = c.address(f.List)
	}
	for _, d := range f.Doors {
		k.Doors = append(k.Doors, c.address(d))
	}
	if len(k.Doors) == 0 {
		c.keep(src.Missing("", "doors"))
	}
	if c.fault != nil {
		return nil, c.fault
	}
	terms := f.Terms.Text
	if !filepath.IsAbs(terms) {
		terms = filepath.Join(filepath.Dir(path), terms)
	}
	if k.Terms, err = Load(terms); os.IsNotExist(err) {
		return nil, src.At(f.Terms.Place, "%v", err)
	}
	return k, err
}

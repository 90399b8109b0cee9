package strictyaml

import (
	"slices"
	"strings"
)

// KeyAlias is an old spelling of a key that is still read.
type KeyAlias struct {
	// Section is the path of the mapping that holds the key, in the current spelling and without indices of lists, such
	// as "machines.machine_types"; empty for the top of the file.
	Section string
	// Old is the key as it was.
	Old string
	// New is the current key, relative to Section: "slow_start.period" is in a section of its own.
	New string
}

// path returns the path of the current key from the top of the file.
func (a KeyAlias) path() string { return joinPath(a.Section, a.New) }

// section returns the path, relative to Section, of the section into which the key has moved; empty if it has not.
func (a KeyAlias) section() string {
	section, _ := splitPath(a.New)
	return section
}

// ValueAlias is an old spelling of a value that is still read.
type ValueAlias struct {
	Key      string // path of the key, in the current spelling and without indices of lists
	Old, New string
}

// Aliases are the old spellings of the keys and values of one kind of file.
type Aliases struct {
	Keys   []KeyAlias
	Values []ValueAlias
}

// oldKey returns the alias of a key in the section with the given path.
func (a *Aliases) oldKey(section, key string) (KeyAlias, bool) {
	i := slices.IndexFunc(a.Keys, func(k KeyAlias) bool { return k.Section == section && k.Old == key })
	if i < 0 {
		return KeyAlias{}, false
	}
	return a.Keys[i], true
}

// newKey returns the alias whose current key has the given path.
func (a *Aliases) newKey(path string) (KeyAlias, bool) {
	i := slices.IndexFunc(a.Keys, func(k KeyAlias) bool { return k.path() == path })
	if i < 0 {
		return KeyAlias{}, false
	}
	return a.Keys[i], true
}

// hasValues reports whether values of a key have been renamed.
func (a *Aliases) hasValues(key string) bool {
	return slices.ContainsFunc(a.Values, func(v ValueAlias) bool { return v.Key == key })
}

// newValue returns the current spelling of a value of a key.
func (a *Aliases) newValue(key, old string) (string, bool) {
	i := slices.IndexFunc(a.Values, func(v ValueAlias) bool { return v.Key == key && v.Old == old })
	if i < 0 {
		return "", false
	}
	return a.Values[i].New, true
}

// oldValue returns the old spelling of a value of a key, or the value if it has none.
func (a *Aliases) oldValue(key, current string) string {
	i := slices.IndexFunc(a.Values, func(v ValueAlias) bool { return v.Key == key && v.New == current })
	if i < 0 {
		return current
	}
	return a.Values[i].Old
}

// Deprecation reports that a file has an old spelling. There is one for each old spelling in a file, however often it
// occurs.
type Deprecation struct {
	File string
	Line int    // the first with this spelling
	Old  string // path of the key as the file spells it, without indices of lists; for a value "key: value"
	New  string // the same in the current spelling
}

// spelling holds how one file spells its keys and values.
type spelling struct {
	aliases      Aliases
	deprecations []Deprecation       // in the order of the file
	keys         map[string]string   // path of a key in the current spelling to its path as spelled in the file
	values       map[Position]string // position of a value to its key, where the key has renamed values
	current      bool                // a key that has an alias is in the current spelling
}

// old reports whether the file is written in the old spelling throughout. Keys that are absent from it are then named
// in the old spelling as well.
func (s *spelling) old() bool { return len(s.deprecations) > 0 && !s.current }

// key returns the path of a key as the file spells it, or would spell it if it had the key.
func (s *spelling) key(path string) string {
	if path == "" {
		return ""
	}
	if spelled, ok := s.keys[path]; ok {
		return spelled
	}
	if open := strings.LastIndexByte(path, '['); strings.HasSuffix(path, "]") {
		return s.key(path[:open]) + path[open:]
	}
	parent, key := splitPath(path)
	if alias, ok := s.aliases.newKey(withoutIndices(path)); ok && s.old() {
		for range strings.Count(alias.New, ".") {
			parent, _ = splitPath(parent)
		}
		key = alias.Old
	}
	return joinPath(s.key(parent), key)
}

// allowed returns the values that a key may have, as the file spells them.
func (s *spelling) allowed(at Position, values []string) []string {
	key, ok := s.values[at]
	if !ok || !s.old() {
		return values
	}
	spelled := make([]string, len(values))
	for i, value := range values {
		spelled[i] = s.aliases.oldValue(key, value)
	}
	return spelled
}

func joinPath(parent, key string) string {
	if parent == "" {
		return key
	}
	return parent + "." + key
}

func splitPath(path string) (parent, key string) {
	if dot := strings.LastIndexByte(path, '.'); dot >= 0 {
		return path[:dot], path[dot+1:]
	}
	return "", path
}

// withoutIndices returns a path without the indices of lists: "work.kind" for "work[2].kind".
func withoutIndices(path string) string {
	for {
		open := strings.IndexByte(path, '[')
		if open < 0 {
			return path
		}
		length := strings.IndexByte(path[open:], ']')
		path = path[:open] + path[open+length+1:]
	}
}

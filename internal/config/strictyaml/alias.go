package strictyaml

import (
	"slices"
	"strings"
)

// KeyAlias is an old spelling of a key that is still read.
type KeyAlias struct {
	// Section is the path of the mapping that holds the old key, in the current spelling and without list indices, such
	// as "machines.machine_types"; empty for the root mapping.
	Section string
	// Old is the former key.
	Old string
	// New is the path of the current key relative to Section. A path such as "slow_start.period" means that the key has
	// moved to a section below Section.
	New string
}

// newPath returns the path of the current key from the root mapping.
func (a KeyAlias) newPath() string { return joinPath(a.Section, a.New) }

// newSection returns the path, relative to Section, of the section to which the key has moved. It is empty if the key
// is still in Section.
func (a KeyAlias) newSection() string {
	section, _ := splitPath(a.New)
	return section
}

// ValueAlias is an old spelling of a value that is still read.
type ValueAlias struct {
	Key      string // path of the key, in the current spelling and without list indices
	Old, New string
}

// Aliases lists the old spellings of the keys and values of one kind of file.
type Aliases struct {
	Keys   []KeyAlias
	Values []ValueAlias
}

// aliasOfOldKey returns the alias for an old key in the section with the given path.
func (a *Aliases) aliasOfOldKey(section, key string) (KeyAlias, bool) {
	i := slices.IndexFunc(a.Keys, func(k KeyAlias) bool { return k.Section == section && k.Old == key })
	if i < 0 {
		return KeyAlias{}, false
	}
	return a.Keys[i], true
}

// aliasOfNewKey returns the alias whose current key has the given path.
func (a *Aliases) aliasOfNewKey(path string) (KeyAlias, bool) {
	i := slices.IndexFunc(a.Keys, func(k KeyAlias) bool { return k.newPath() == path })
	if i < 0 {
		return KeyAlias{}, false
	}
	return a.Keys[i], true
}

// hasValues reports whether any value of a key has an old spelling.
func (a *Aliases) hasValues(key string) bool {
	return slices.ContainsFunc(a.Values, func(v ValueAlias) bool { return v.Key == key })
}

// currentValue returns the current spelling of an old value of a key.
func (a *Aliases) currentValue(key, old string) (string, bool) {
	i := slices.IndexFunc(a.Values, func(v ValueAlias) bool { return v.Key == key && v.Old == old })
	if i < 0 {
		return "", false
	}
	return a.Values[i].New, true
}

// oldValue returns the old spelling of a value of a key, or the value itself if it has no old spelling.
func (a *Aliases) oldValue(key, current string) string {
	i := slices.IndexFunc(a.Values, func(v ValueAlias) bool { return v.Key == key && v.New == current })
	if i < 0 {
		return current
	}
	return a.Values[i].Old
}

// Deprecation reports an old spelling in a file. There is one Deprecation for each old spelling, even if the file has
// it several times.
type Deprecation struct {
	File string
	Line int    // of the first occurrence
	Old  string // path of the key as written in the file, without list indices; "path: value" for a value
	New  string // Old in the current spelling
}

// spelling records which spellings of keys and values a file uses.
type spelling struct {
	aliases      Aliases
	deprecations []Deprecation       // ordered by line
	keys         map[string]string   // path of each key in the file, as written, by its path in the current spelling
	values       map[Position]string // path of the key of each value, by position; only for keys with value aliases
	hasCurrent   bool                // the file has a renamed key in its current spelling
}

// onlyOld reports whether the file uses old spellings and has no renamed key in its current spelling. Messages then use
// the old spelling also for keys that the file does not have.
func (s *spelling) onlyOld() bool { return len(s.deprecations) > 0 && !s.hasCurrent }

// keyName implements [File.KeyName].
func (s *spelling) keyName(path string) string {
	if path == "" {
		return ""
	}
	if written, ok := s.keys[path]; ok {
		return written
	}
	if open := strings.LastIndexByte(path, '['); strings.HasSuffix(path, "]") {
		return s.keyName(path[:open]) + path[open:]
	}
	parent, key := splitPath(path)
	if alias, ok := s.aliases.aliasOfNewKey(withoutIndices(path)); ok && s.onlyOld() {
		for range strings.Count(alias.New, ".") {
			parent, _ = splitPath(parent)
		}
		key = alias.Old
	}
	return joinPath(s.keyName(parent), key)
}

// valueNames returns the allowed values of the key whose value is at a position, in the spelling that the file uses.
func (s *spelling) valueNames(at Position, values []string) []string {
	key, ok := s.values[at]
	if !ok || !s.onlyOld() {
		return values
	}
	names := make([]string, len(values))
	for i, value := range values {
		names[i] = s.aliases.oldValue(key, value)
	}
	return names
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

// withoutIndices removes the list indices from a path: "work[2].kind" becomes "work.kind".
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

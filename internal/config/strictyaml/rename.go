package strictyaml

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// renamer replaces the old spellings in a syntax tree by the current ones and records the spellings that the file uses.
// Nodes keep their positions, so that errors report the position of the key or value in the file.
type renamer struct {
	file     *File
	spelling *spelling
	recorded map[Deprecation]bool // deprecations recorded so far, with Line 0
}

// location is the path of a node, in the current spelling and as written in the file.
type location struct{ current, written string }

func (l location) child(current, written string) location {
	return location{joinPath(l.current, current), joinPath(l.written, written)}
}

func (l location) element(i int) location {
	return location{fmt.Sprintf("%s[%d]", l.current, i), fmt.Sprintf("%s[%d]", l.written, i)}
}

// rename replaces the old spellings in the tree below root and returns the spellings that the file uses.
func rename(file *File, root ast.Node, aliases Aliases) (*spelling, error) {
	s := &spelling{aliases: aliases, keys: map[string]string{}, values: map[Position]string{}}
	r := &renamer{file: file, spelling: s, recorded: map[Deprecation]bool{}}
	err := r.renameNode(location{}, root)
	slices.SortStableFunc(s.deprecations, func(a, b Deprecation) int { return cmp.Compare(a.Line, b.Line) })
	return s, err
}

func (r *renamer) renameNode(at location, node ast.Node) error {
	switch n := node.(type) {
	case *ast.MappingNode:
		return r.renameMapping(at, n)
	case *ast.SequenceNode:
		for i, entry := range n.Values {
			if err := r.renameNode(at.element(i), entry); err != nil {
				return err
			}
		}
	case *ast.AnchorNode:
		return r.renameNode(at, n.Value)
	case ast.ScalarNode:
		r.renameValue(at, n)
	}
	return nil // a YAML alias is renamed at its anchor; the remaining kinds of nodes have no keys or values to rename
}

// renameValue replaces a value that is an old spelling.
func (r *renamer) renameValue(at location, node ast.ScalarNode) {
	key := withoutIndices(at.current)
	if !r.spelling.aliases.hasValues(key) {
		return
	}
	position := positionOf(node.GetToken())
	r.spelling.values[position] = key
	text, isText := node.(*ast.StringNode)
	if !isText {
		return
	}
	value, isOld := r.spelling.aliases.currentValue(key, text.Value)
	if !isOld {
		return
	}
	r.recordDeprecation(position, withoutIndices(at.written)+": "+text.Value, key+": "+value)
	text.Token, text.Value = renamedToken(text.Token, value), value
}

// renameMapping renames the keys of a mapping and everything below it. The keys that move to another section come last,
// after that section has been visited.
func (r *renamer) renameMapping(at location, m *ast.MappingNode) error {
	var moved []*ast.MappingValueNode
	remaining := make([]*ast.MappingValueNode, 0, len(m.Values))
	for _, entry := range m.Values {
		if alias, isOld := r.aliasOf(at, entry); isOld && alias.newSection() != "" {
			moved = append(moved, entry)
		} else {
			remaining = append(remaining, entry)
		}
	}
	m.Values = remaining
	for _, entry := range remaining {
		if err := r.renameEntry(at, m, entry); err != nil {
			return err
		}
	}
	for _, entry := range moved {
		if err := r.moveEntry(at, m, entry); err != nil {
			return err
		}
	}
	return nil
}

// aliasOf returns the alias for the key of an entry, and whether the key is an old spelling.
func (r *renamer) aliasOf(at location, entry *ast.MappingValueNode) (KeyAlias, bool) {
	return r.spelling.aliases.aliasOfOldKey(withoutIndices(at.current), entry.Key.GetToken().Value)
}

// renameEntry renames an entry that stays in its mapping, and everything below it.
func (r *renamer) renameEntry(at location, m *ast.MappingNode, entry *ast.MappingValueNode) error {
	if entry.Key.IsMergeKey() {
		return r.renameNode(at, entry.Value)
	}
	if alias, isOld := r.aliasOf(at, entry); isOld {
		return r.renameKey(at, entry, alias, m)
	}
	key := entry.Key.GetToken().Value
	return r.visitCurrentKey(at.child(key, key), entry)
}

// moveEntry renames an entry of a mapping and moves it to its current section.
func (r *renamer) moveEntry(at location, m *ast.MappingNode, entry *ast.MappingValueNode) error {
	alias, _ := r.aliasOf(at, entry)
	target, err := r.targetSection(m, alias.newSection(), entry)
	if err != nil {
		return err
	}
	if err := r.renameKey(at, entry, alias, target); err != nil {
		return err
	}
	target.Values = append(target.Values, entry)
	return nil
}

// visitCurrentKey records a key that has no alias or is in its current spelling, and renames everything below it.
func (r *renamer) visitCurrentKey(at location, entry *ast.MappingValueNode) error {
	if _, hasAlias := r.spelling.aliases.aliasOfNewKey(withoutIndices(at.current)); hasAlias {
		r.spelling.hasCurrent = true
	}
	r.spelling.keys[at.current] = at.written
	return r.renameNode(at, entry.Value)
}

// renameKey renames the key of an entry of the mapping at a location, and everything below it. The parameter target is
// the mapping that holds the entry afterwards; it is an error if target already has the new key.
func (r *renamer) renameKey(at location, entry *ast.MappingValueNode, alias KeyAlias, target *ast.MappingNode) error {
	_, name := splitPath(alias.New)
	key := entry.Key.GetToken()
	if other := findKey(target, name); other != nil {
		line := other.Key.GetToken().Position.Line
		const format = "%q is the old spelling of %q, which is set on line %d; remove one of them"
		return r.file.ErrorAt(positionOf(key), format, alias.Old, alias.New, line)
	}
	renamed := at.child(alias.New, alias.Old)
	r.recordDeprecation(positionOf(key), withoutIndices(renamed.written), withoutIndices(renamed.current))
	r.spelling.keys[renamed.current] = renamed.written
	entry.Key = ast.String(renamedToken(key, name))
	return r.renameNode(renamed, entry.Value)
}

// targetSection returns the section to which the key of an entry moves. It adds the section to its parent if the parent
// has none of this name.
func (r *renamer) targetSection(
	parent *ast.MappingNode, name string, entry *ast.MappingValueNode,
) (*ast.MappingNode, error) {
	key := entry.Key.GetToken()
	existing := findKey(parent, name)
	if existing == nil {
		section := ast.Mapping(key, false)
		parent.Values = append(parent.Values, ast.MappingValue(key, ast.String(renamedToken(key, name)), section))
		return section, nil
	}
	value := existing.Value
	if anchor, ok := value.(*ast.AnchorNode); ok {
		value = anchor.Value
	}
	if section, ok := value.(*ast.MappingNode); ok {
		return section, nil
	}
	return nil, r.file.ErrorAt(positionOf(key), "%q belongs in section %q, which is not a mapping", key.Value, name)
}

// recordDeprecation records an old spelling, unless it is recorded already.
func (r *renamer) recordDeprecation(at Position, old, current string) {
	deprecation := Deprecation{File: r.file.Name, Old: old, New: current}
	if r.recorded[deprecation] {
		return
	}
	r.recorded[deprecation] = true
	deprecation.Line = at.Line
	r.spelling.deprecations = append(r.spelling.deprecations, deprecation)
}

func findKey(m *ast.MappingNode, name string) *ast.MappingValueNode {
	i := slices.IndexFunc(m.Values, func(entry *ast.MappingValueNode) bool {
		return entry.Key.GetToken().Value == name
	})
	if i < 0 {
		return nil
	}
	return m.Values[i]
}

// renamedToken returns a copy of a token with another text and the same position.
func renamedToken(t *token.Token, text string) *token.Token {
	renamed := *t
	renamed.Value = text
	return &renamed
}

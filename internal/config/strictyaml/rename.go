package strictyaml

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// renamer changes a syntax tree from old spellings to the current ones and notes what the file has. Nodes keep their
// positions, so that errors are located where the file has the key or value.
type renamer struct {
	file     *File
	spelling *spelling
	noted    map[Deprecation]bool // with line 0
}

// location is the path of a node, in the current spelling and in that of the file.
type location struct{ current, spelled string }

func (l location) key(current, spelled string) location {
	return location{joinPath(l.current, current), joinPath(l.spelled, spelled)}
}

func (l location) index(i int) location {
	return location{fmt.Sprintf("%s[%d]", l.current, i), fmt.Sprintf("%s[%d]", l.spelled, i)}
}

// rename changes the tree below root and returns how the file spells its keys.
func rename(file *File, root ast.Node, aliases Aliases) (*spelling, error) {
	s := &spelling{aliases: aliases, keys: map[string]string{}, values: map[Position]string{}}
	r := &renamer{file: file, spelling: s, noted: map[Deprecation]bool{}}
	err := r.node(location{}, root)
	slices.SortStableFunc(s.deprecations, func(a, b Deprecation) int { return cmp.Compare(a.Line, b.Line) })
	return s, err
}

func (r *renamer) node(at location, node ast.Node) error {
	switch n := node.(type) {
	case *ast.MappingNode:
		return r.mapping(at, n)
	case *ast.SequenceNode:
		for i, entry := range n.Values {
			if err := r.node(at.index(i), entry); err != nil {
				return err
			}
		}
	case *ast.AnchorNode:
		return r.node(at, n.Value)
	case ast.ScalarNode:
		r.value(at, n)
	}
	return nil // aliases are renamed where their anchor is; other nodes have nothing that can be renamed
}

// value renames the value of a key.
func (r *renamer) value(at location, node ast.ScalarNode) {
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
	value, isOld := r.spelling.aliases.newValue(key, text.Value)
	if !isOld {
		return
	}
	r.note(position, withoutIndices(at.spelled)+": "+text.Value, key+": "+value)
	text.Token, text.Value = renamedToken(text.Token, value), value
}

// mapping renames the keys of a mapping and all below it. Keys that move into a section of their own follow last, when
// the section has been visited.
func (r *renamer) mapping(at location, m *ast.MappingNode) error {
	var moving []*ast.MappingValueNode
	staying := make([]*ast.MappingValueNode, 0, len(m.Values))
	for _, entry := range m.Values {
		if alias, isOld := r.alias(at, entry); isOld && alias.section() != "" {
			moving = append(moving, entry)
		} else {
			staying = append(staying, entry)
		}
	}
	m.Values = staying
	for _, entry := range staying {
		if err := r.entry(at, m, entry); err != nil {
			return err
		}
	}
	for _, entry := range moving {
		if err := r.move(at, m, entry); err != nil {
			return err
		}
	}
	return nil
}

// alias returns the alias of the key of an entry, if the key is an old spelling.
func (r *renamer) alias(at location, entry *ast.MappingValueNode) (KeyAlias, bool) {
	return r.spelling.aliases.oldKey(withoutIndices(at.current), entry.Key.GetToken().Value)
}

// entry visits an entry that stays in its mapping.
func (r *renamer) entry(at location, m *ast.MappingNode, entry *ast.MappingValueNode) error {
	if entry.Key.IsMergeKey() {
		return r.node(at, entry.Value)
	}
	if alias, isOld := r.alias(at, entry); isOld {
		return r.oldKey(at, entry, alias, m)
	}
	key := entry.Key.GetToken().Value
	return r.currentKey(at.key(key, key), entry)
}

// move renames an entry of a mapping and moves it into its current section.
func (r *renamer) move(at location, m *ast.MappingNode, entry *ast.MappingValueNode) error {
	alias, _ := r.alias(at, entry)
	target, err := r.section(m, alias.section(), entry)
	if err != nil {
		return err
	}
	if err := r.oldKey(at, entry, alias, target); err != nil {
		return err
	}
	target.Values = append(target.Values, entry)
	return nil
}

// currentKey visits a key that has no old spelling, or is in the current one.
func (r *renamer) currentKey(at location, entry *ast.MappingValueNode) error {
	if _, hasAlias := r.spelling.aliases.newKey(withoutIndices(at.current)); hasAlias {
		r.spelling.current = true
	}
	r.spelling.keys[at.current] = at.spelled
	return r.node(at, entry.Value)
}

// oldKey renames a key of the mapping at the given place; target is the mapping that is to have it.
func (r *renamer) oldKey(at location, entry *ast.MappingValueNode, alias KeyAlias, target *ast.MappingNode) error {
	_, name := splitPath(alias.New)
	key := entry.Key.GetToken()
	if other := findKey(target, name); other != nil {
		line := other.Key.GetToken().Position.Line
		const format = "%q is the old spelling of %q, which stands on line %d: give one of the two"
		return r.file.ErrorAt(positionOf(key), format, alias.Old, alias.New, line)
	}
	here := at.key(alias.New, alias.Old)
	r.note(positionOf(key), withoutIndices(here.spelled), withoutIndices(here.current))
	r.spelling.keys[here.current] = here.spelled
	entry.Key = ast.String(renamedToken(key, name))
	return r.node(here, entry.Value)
}

// section returns the mapping of a section into which a key moves, and adds it to its parent where there is none.
func (r *renamer) section(parent *ast.MappingNode, name string, entry *ast.MappingValueNode) (*ast.MappingNode, error) {
	key := entry.Key.GetToken()
	present := findKey(parent, name)
	if present == nil {
		section := ast.Mapping(key, false)
		parent.Values = append(parent.Values, ast.MappingValue(key, ast.String(renamedToken(key, name)), section))
		return section, nil
	}
	value := present.Value
	if anchor, ok := value.(*ast.AnchorNode); ok {
		value = anchor.Value
	}
	if section, ok := value.(*ast.MappingNode); ok {
		return section, nil
	}
	return nil, r.file.ErrorAt(positionOf(key), "%q belongs into section %q, which is no mapping", key.Value, name)
}

// note records an old spelling, once for each.
func (r *renamer) note(at Position, old, current string) {
	deprecation := Deprecation{File: r.file.Name, Old: old, New: current}
	if r.noted[deprecation] {
		return
	}
	r.noted[deprecation] = true
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

// renamedToken returns a token with another text at the same place.
func renamedToken(t *token.Token, text string) *token.Token {
	renamed := *t
	renamed.Value = text
	return &renamed
}

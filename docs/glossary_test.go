package docs

import (
	"go/ast"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// declared are all package-level names as package.Name, and fields and methods as package.Type.Name.
func declared(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range []string{"scheduler", "internal"} {
		for _, file := range sources(t, folder) {
			for _, d := range file.Decls {
				declare(names, file.Name.Name, d)
			}
		}
	}
	return names
}

func declare(names map[string]bool, pkg string, d ast.Decl) {
	switch d := d.(type) {
	case *ast.FuncDecl:
		names[pkg+"."+receiverPrefix(d)+d.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range d.Specs {
			declareSpec(names, pkg, spec)
		}
	}
}

// receiverPrefix is "Type." for a method of Type, and empty for a function.
func receiverPrefix(d *ast.FuncDecl) string {
	if d.Recv == nil {
		return ""
	}
	receiver := d.Recv.List[0].Type
	if star, ok := receiver.(*ast.StarExpr); ok {
		receiver = star.X
	}
	if id, ok := receiver.(*ast.Ident); ok {
		return id.Name + "."
	}
	return "(generic)."
}

func declareSpec(names map[string]bool, pkg string, spec ast.Spec) {
	switch s := spec.(type) {
	case *ast.ValueSpec:
		for _, id := range s.Names {
			names[pkg+"."+id.Name] = true
		}
	case *ast.TypeSpec:
		names[pkg+"."+s.Name.Name] = true
		structure, ok := s.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structure.Fields.List {
			for _, id := range field.Names {
				names[pkg+"."+s.Name.Name+"."+id.Name] = true
			}
		}
	}
}

// TestGlossaryNamesExist looks up each name of the glossary's tables.
func TestGlossaryNamesExist(t *testing.T) {
	names, checked := declared(t), 0
	isBorder := func(r rune) bool { return r == '|' || r == '\n' }
	for cell := range strings.FieldsFuncSeq(pages(t)["docs/glossary.md"], isBorder) {
		for _, name := range cellNames(cell) {
			if checked++; !names[name] {
				t.Errorf("docs/glossary.md names %s, which does not exist", name)
			}
		}
	}
	testutil.Expect(t, checked >= 100, "only %d names found", checked)
}

// cellNames are the names of the code in a cell of a table. A bare name that follows a type is a field or method of it.
func cellNames(cell string) (names []string) {
	typeName := ""
	for _, m := range codeSpan.FindAllStringSubmatch(cell, -1) {
		name := m[1]
		if q := qualified.FindStringSubmatch(name); q != nil {
			typeName = q[1] + "." + q[2]
		} else if bareName.MatchString(name) && typeName != "" {
			name = typeName + "." + name
		} else {
			continue
		}
		names = append(names, name)
	}
	return names
}

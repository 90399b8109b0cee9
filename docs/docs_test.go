// Package docs checks that the pages follow the code: paths, commands and names that they mention exist.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = ".."

// historical pages keep the paths and names of their time.
var historical = map[string]bool{"docs/results.md": true, "docs/review-of-parts.md": true, "CHANGELOG.md": true}

var (
	codeSpan = regexp.MustCompile("`([^`]+)`")
	repoPath = regexp.MustCompile(
		`(?:^|[\s(\x60"])((?:\.ci|cmd|deploy|docs|internal|measure|scenarios|scheduler|tools)/[\w./*-]*[\w*])`,
	)
	pageLink     = regexp.MustCompile(`\]\(([\w./-]+\.md)\)`)
	commandCall  = regexp.MustCompile(`(?:^|[\s/(])(glenport|glenport-testbed|adapter) ([^|;&]*)`)
	flagName     = regexp.MustCompile(`^--([a-z-]+)`)
	word         = regexp.MustCompile(`^[a-z][a-z-]*$`)
	qualified    = regexp.MustCompile(`^([a-z]\w*)\.([A-Z]\w*)(?:\.([A-Z]\w*))?$`)
	testFunction = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	testName     = regexp.MustCompile(`\bTest[A-Z]\w*`)
	bareName     = regexp.MustCompile(`^[A-Z][A-Za-z]*[a-z][A-Za-z]*$`)
)

// readAll returns the texts of the files that a pattern below the root matches, by their path from there.
func readAll(t *testing.T, pattern string) map[string]string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(root, pattern))
	if err != nil {
		t.Fatal(err)
	}
	texts := map[string]string{}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		texts[filepath.ToSlash(strings.TrimPrefix(name, root+string(filepath.Separator)))] = string(text)
	}
	return texts
}

// pages are the texts of all pages by their path from the root.
func pages(t *testing.T) map[string]string {
	t.Helper()
	all := map[string]string{}
	for _, pattern := range []string{"*.md", "docs/*.md", "docs/*/*.md"} {
		maps.Copy(all, readAll(t, pattern))
	}
	maps.DeleteFunc(all, func(page, _ string) bool { return historical[page] })
	if len(all) < 20 {
		t.Fatalf("only %d pages found", len(all))
	}
	return all
}

func exists(path string) bool {
	found, err := filepath.Glob(path)
	return err == nil && len(found) > 0
}

func TestPathsInPagesExist(t *testing.T) {
	for page, text := range pages(t) {
		for _, m := range repoPath.FindAllStringSubmatch(text, -1) {
			path := strings.TrimSuffix(strings.TrimSuffix(m[1], "/..."), "...")
			if !exists(filepath.Join(root, path)) {
				t.Errorf("%s names %s, which does not exist", page, m[1])
			}
		}
		for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
			if !exists(filepath.Join(root, filepath.Dir(page), m[1])) {
				t.Errorf("%s links to %s, which does not exist", page, m[1])
			}
		}
	}
}

func TestTestsInPagesExist(t *testing.T) {
	defined := map[string]bool{}
	for _, pattern := range []string{"*/*_test.go", "*/*/*_test.go", "*/*/*/*_test.go", "*/*/*/*/*_test.go"} {
		for _, text := range readAll(t, pattern) {
			for _, m := range testFunction.FindAllStringSubmatch(text, -1) {
				defined[m[1]] = true
			}
		}
	}
	for page, text := range pages(t) {
		for _, name := range testName.FindAllString(text, -1) {
			if !defined[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
}

// each visits the nodes of one type in files.
func each[T ast.Node](files map[string]*ast.File, visit func(node T)) {
	for _, file := range files {
		ast.Inspect(file, func(n ast.Node) bool {
			if node, ok := n.(T); ok {
				visit(node)
			}
			return true
		})
	}
}

// commandWords are the subcommands that the commands define, with whether one of that name takes arguments, and the
// flags.
func commandWords(t *testing.T) (subcommands, flags map[string]bool) {
	t.Helper()
	subcommands, flags = map[string]bool{}, map[string]bool{}
	commands := sources(t, "cmd")
	each(commands, func(field *ast.KeyValueExpr) {
		if key, ok := field.Key.(*ast.Ident); !ok || key.Name != "Use" && key.Name != "Aliases" {
			return
		}
		for _, text := range literals(field.Value) {
			if words := strings.Fields(text); len(words) > 0 {
				subcommands[words[0]] = subcommands[words[0]] || len(words) > 1
			}
		}
	})
	each(commands, func(call *ast.CallExpr) {
		for _, arg := range call.Args {
			for _, text := range literals(arg) {
				flags[text] = true
			}
		}
	})
	return subcommands, flags
}

// literals are the string literals of an expression, those of a slice included.
func literals(e ast.Expr) []string {
	switch e := e.(type) {
	case *ast.BasicLit:
		if s, err := strconv.Unquote(e.Value); err == nil && e.Kind == token.STRING {
			return []string{s}
		}
	case *ast.CompositeLit:
		var all []string
		for _, x := range e.Elts {
			all = append(all, literals(x)...)
		}
		return all
	}
	return nil
}

func TestCommandsInPagesExist(t *testing.T) {
	subcommands, flags := commandWords(t)
	for page, text := range pages(t) {
		for _, call := range commandCalls(text) {
			for _, unknown := range unknownWords(call, subcommands, flags) {
				t.Errorf("%s: there is no %s (%s)", page, unknown, call)
			}
		}
	}
}

// unknownWords are the subcommands and flags of a call that no command has. What follows a subcommand that takes
// arguments, or a flag, is not looked at, but for flags.
func unknownWords(call string, subcommands, flags map[string]bool) (unknown []string) {
	arguments := false
	for w := range strings.FieldsSeq(call) {
		w = strings.Trim(w, "`,.:()")
		takesArguments, known := subcommands[w]
		flag := flagName.FindStringSubmatch(w)
		switch {
		case flag != nil && !flags[flag[1]]:
			unknown, arguments = append(unknown, "--"+flag[1]), true
		case flag != nil || arguments || !word.MatchString(w):
			arguments = true
		case !known:
			unknown = append(unknown, "command "+w)
		default:
			arguments = takesArguments
		}
	}
	return unknown
}

// commandCalls are the calls of our programs in code spans and indented blocks, without the program's name. Of
// alternatives such as "peers|routes" the first counts.
func commandCalls(text string) []string {
	var spans []string
	for _, m := range codeSpan.FindAllStringSubmatch(text, -1) {
		spans = append(spans, m[1])
	}
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "    ") {
			spans = append(spans, strings.TrimSpace(line))
		}
	}
	var calls []string
	for _, s := range spans {
		if m := commandCall.FindStringSubmatch(s); m != nil {
			calls = append(calls, m[2])
		}
	}
	return calls
}

// sources are the parsed files below a folder, tests left out.
func sources(t *testing.T, folder string) map[string]*ast.File {
	t.Helper()
	files := map[string]*ast.File{}
	fset := token.NewFileSet()
	err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(fset, path, nil, 0)
		files[path] = f
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

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
	if checked < 100 {
		t.Errorf("only %d names found", checked)
	}
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

// TestOnCallPageHasEachLogLine compares the messages that the programs log with the rows of docs/on-call.md, both ways.
// The package of a row is one that logs its message.
func TestOnCallPageHasEachLogLine(t *testing.T) {
	logged, listed := logMessages(t), map[string]bool{}
	for line := range strings.Lines(pages(t)["docs/on-call.md"]) {
		cells := strings.Split(line, "|")
		if len(cells) != 7 { // message, package, attributes, meaning, what to do
			continue
		}
		message, owner := codeSpan.FindStringSubmatch(cells[1]), codeSpan.FindStringSubmatch(cells[2])
		if message == nil {
			continue
		}
		listed[message[1]] = true
		if owners := logged[message[1]]; owner == nil || !slices.Contains(owners, owner[1]) {
			t.Errorf("docs/on-call.md: %q is logged by %v, not by %s", message[1], owners, cells[2])
		}
	}
	for message := range logged {
		if !listed[message] {
			t.Errorf("docs/on-call.md has no row for %q", message)
		}
	}
	if len(logged) < 40 {
		t.Errorf("only %d messages found", len(logged))
	}
}

// logMessages are the constant messages of slog calls, of the decision packages' log methods, and of their log actions,
// with the packages that log them.
func logMessages(t *testing.T) map[string][]string {
	t.Helper()
	messages := map[string][]string{}
	for _, folder := range []string{"scheduler", "internal", "cmd/glenport"} {
		for path, file := range sources(t, folder) {
			if owner := filepath.ToSlash(filepath.Dir(path)); !strings.Contains(owner, "/testbed") {
				addLogMessages(messages, strings.TrimPrefix(owner, root+"/"), map[string]*ast.File{path: file})
			}
		}
	}
	return messages
}

func addLogMessages(messages map[string][]string, owner string, files map[string]*ast.File) {
	methods := map[string]bool{
		"Info": true, "Warn": true, "Error": true, "Debug": true, "log": true, "logMachine": true,
		"message": true, "OnModeChange": true,
	}
	add := func(e ast.Expr) {
		for _, text := range literals(e) {
			messages[text] = append(messages[text], owner)
		}
	}
	each(files, func(call *ast.CallExpr) {
		if s, ok := call.Fun.(*ast.SelectorExpr); ok && methods[s.Sel.Name] && len(call.Args) > 0 {
			add(call.Args[0])
		}
	})
	each(files, func(action *ast.CompositeLit) {
		if id, ok := action.Type.(*ast.Ident); !ok || id.Name != "Log" {
			return
		}
		for _, e := range action.Elts {
			if field, ok := e.(*ast.KeyValueExpr); ok {
				add(field.Value)
			}
		}
	})
}

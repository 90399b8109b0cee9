// Package docs checks that the pages follow the code: paths, commands and names that they mention exist.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

const root = ".."

// historical pages keep the paths and names of their time.
var historical = map[string]bool{"docs/results-history.md": true, "docs/review-of-parts.md": true, "CHANGELOG.md": true}

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
	testutil.NoError(t, err)
	texts := map[string]string{}
	for _, name := range names {
		text := testutil.ReadFile(t, name)
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
	testutil.Require(t, len(all) >= 20, "only %d pages found", len(all))
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
			testutil.Expect(t, exists(filepath.Join(root, path)), "%s names %s, which does not exist", page, m[1])
		}
		for _, m := range pageLink.FindAllStringSubmatch(text, -1) {
			testutil.Expect(t, exists(filepath.Join(root, filepath.Dir(page), m[1])),
				"%s links to %s, which does not exist", page, m[1])
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
			testutil.Expect(t, defined[name], "%s names %s, which does not exist", page, name)
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
	testutil.NoError(t, err)
	return files
}

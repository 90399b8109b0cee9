package docs

import (
	"go/ast"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

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
		testutil.Expect(t, listed[message], "docs/on-call.md has no row for %q", message)
	}
	testutil.Expect(t, len(logged) >= 40, "only %d messages found", len(logged))
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

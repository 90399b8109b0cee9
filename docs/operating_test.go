package docs

import (
	"go/ast"
	"strings"
	"testing"

	"glenport/internal/config"
	"glenport/internal/config/strictyaml"
)

// formerPath is the path of a section as it was before any key was renamed.
func formerPath(keys []strictyaml.KeyAlias, section string) string {
	for _, alias := range keys {
		if strings.TrimPrefix(alias.Section+"."+alias.New, ".") == section {
			return strings.TrimPrefix(formerPath(keys, alias.Section)+"."+alias.Old, ".")
		}
	}
	return section
}

// TestOperatingPageHasEachOldSpelling compares the rows of docs/operating.md that have an old key or value with the
// aliases of the settings files, both ways.
func TestOperatingPageHasEachOldSpelling(t *testing.T) {
	page := pages(t)["docs/operating.md"]
	_, settings, _ := strings.Cut(page, "\n### Scheduler\n")
	settings, _, _ = strings.Cut(settings, "\n## ")
	schedulerTable, controllerTable, _ := strings.Cut(settings, "\n### Controller\n")
	for _, tc := range []struct {
		name, table string
		aliases     strictyaml.Aliases
	}{
		{"scheduler", schedulerTable, config.SchedulerAliases()},
		{"controller", controllerTable, config.ControllerAliases()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rows := 0
			for line := range strings.Lines(tc.table) {
				if strings.Count(line, "`") >= 4 && strings.HasPrefix(strings.Split(line, "|")[2], " `") {
					rows++
				}
			}
			for _, alias := range tc.aliases.Keys {
				key := strings.TrimPrefix(alias.Section+"."+alias.New, ".")
				row := "\n| `" + key + "` | `" + formerPath(tc.aliases.Keys, key) + "` |"
				if !strings.Contains(tc.table, row) {
					t.Errorf("no row%s", row)
				}
			}
			for _, alias := range tc.aliases.Values {
				row := "\n| `" + alias.Key + "` | `" + alias.Old + "` | `" + alias.New + "` |"
				if !strings.Contains(tc.table, row) {
					t.Errorf("no row%s", row)
				}
			}
			if want := len(tc.aliases.Keys) + len(tc.aliases.Values); rows != want {
				t.Errorf("%d rows with an old spelling, want %d", rows, want)
			}
		})
	}
}

// TestOperatingPageHasEachFlag looks for every flag of glenport, former ones included.
func TestOperatingPageHasEachFlag(t *testing.T) {
	page, flags := pages(t)["docs/operating.md"], 0
	for _, file := range sources(t, "cmd/glenport") {
		ast.Inspect(file, func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			if !ok || len(call.Args) < 3 {
				return true
			}
			function := ""
			switch f := call.Fun.(type) {
			case *ast.SelectorExpr:
				function = f.Sel.Name
			case *ast.Ident:
				function = f.Name
			}
			if !strings.HasSuffix(function, "Var") && !strings.HasSuffix(function, "VarP") && function != "addFormerFlag" {
				return true
			}
			for _, name := range literals(call.Args[1]) {
				if flags++; !strings.Contains(page, "`--"+name+"`") {
					t.Errorf("docs/operating.md has no --%s", name)
				}
			}
			return true
		})
	}
	if flags < 25 {
		t.Errorf("only %d flags found", flags)
	}
}

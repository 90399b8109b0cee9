package docs

import (
	"go/ast"
	"strings"
	"testing"

	"glenport/internal/config"
	"glenport/internal/config/strictyaml"
	"glenport/internal/testutil"
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

// spellingRows are the beginnings of the rows that a file's aliases need in docs/operating.md.
func spellingRows(aliases strictyaml.Aliases) (rows []string) {
	for _, alias := range aliases.Keys {
		key := strings.TrimPrefix(alias.Section+"."+alias.New, ".")
		rows = append(rows, "| `"+key+"` | `"+formerPath(aliases.Keys, key)+"` |")
	}
	for _, alias := range aliases.Values {
		rows = append(rows, "| `"+alias.Key+"` | `"+alias.Old+"` | `"+alias.New+"` |")
	}
	return rows
}

// TestOperatingPageHasEachOldSpelling compares the rows of docs/operating.md that have an old key or value with the
// aliases of the settings files, both ways.
func TestOperatingPageHasEachOldSpelling(t *testing.T) {
	_, settings, _ := strings.Cut(pages(t)["docs/operating.md"], "\n### Scheduler\n")
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
			want := spellingRows(tc.aliases)
			for _, row := range want {
				testutil.Expect(t, strings.Contains(tc.table, "\n"+row), "no row %s", row)
			}
			pairs := len(want) + len(tc.aliases.Values) // a row of a value has its key as well
			if got := strings.Count(tc.table, "` | `"); got != pairs {
				t.Errorf("%d old keys and values stand beside new ones, want %d", got, pairs)
			}
		})
	}
}

// TestOperatingPageHasEachFlag looks for every flag of glenport, former ones included.
func TestOperatingPageHasEachFlag(t *testing.T) {
	page, flags := pages(t)["docs/operating.md"], 0
	each(sources(t, "cmd/glenport"), func(call *ast.CallExpr) {
		if len(call.Args) < 3 || !definesFlag(call.Fun) {
			return
		}
		for _, name := range literals(call.Args[1]) {
			if flags++; !strings.Contains(page, "`--"+name+"`") {
				t.Errorf("docs/operating.md has no --%s", name)
			}
		}
	})
	testutil.Expect(t, flags >= 25, "only %d flags found", flags)
}

// definesFlag reports whether a function's second argument is the name of a flag.
func definesFlag(function ast.Expr) bool {
	switch f := function.(type) {
	case *ast.SelectorExpr:
		return strings.HasSuffix(f.Sel.Name, "Var") || strings.HasSuffix(f.Sel.Name, "VarP")
	case *ast.Ident:
		return f.Name == "addFormerFlag"
	}
	return false
}

package strictyaml

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/testutil"
)

// renamedFile is a schema with renamed keys and values.
type renamedFile struct {
	Entries []renamedEntry `yaml:"entries"`
	Limits  renamedLimits  `yaml:"limits"`
}

type renamedEntry struct {
	Name String   `yaml:"name"`
	Mode String   `yaml:"mode"  settings:"optional"`
	Tags []String `yaml:"tags"`
}

type renamedLimits struct {
	Rate renamedRate `yaml:"rate"`
}

type renamedRate struct {
	Count  Count    `yaml:"count"  settings:"optional"`
	Period Duration `yaml:"period" settings:"optional"`
}

var renamedAliases = Aliases{
	Keys: []KeyAlias{
		{Section: "", Old: "items", New: "entries"},
		{Section: "entries", Old: "kind", New: "mode"},
		{Section: "entries", Old: "labels", New: "tags"},
		{Section: "limits", Old: "most", New: "rate.count"},
		{Section: "limits", Old: "per", New: "rate.period"},
	},
	Values: []ValueAlias{
		{Key: "entries.mode", Old: "quick", New: "fast"},
		{Key: "entries.tags", Old: "hot", New: "warm"},
	},
}

// readRenamed returns the values in a text followed by its old spellings, or the error.
func readRenamed(text string) string {
	var f renamedFile
	file, err := ReadWithAliases("f.yaml", []byte(text), &f, renamedAliases)
	if err != nil {
		return err.Error()
	}
	for i, entry := range f.Entries {
		if err := CheckRequired(file, fmt.Sprintf("entries[%d]", i), entry); err != nil {
			return err.Error()
		}
		if entry.Mode.IsSet() {
			if _, err := OneOf(file, entry.Mode, "fast", "slow"); err != nil {
				return err.Error()
			}
		}
	}
	var old []string
	for _, d := range file.Deprecations() {
		old = append(old, fmt.Sprintf("%d %s > %s", d.Line, d.Old, d.New))
	}
	return fmt.Sprint(f.Entries, f.Limits.Rate.Count.Value, f.Limits.Rate.Period.Ticks, " ", strings.Join(old, ", "))
}

func TestOldSpellingsAreReadEverywhere(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"current spellings", "entries: [{name: a, mode: fast, tags: [warm]}]\n", "[{a fast [warm]}] 0 0 "},
		{
			"old keys of a list and its entries", "items: [{name: a, kind: quick}, {name: b, kind: slow}]\n",
			"[{a fast []} {b slow []}] 0 0 1 items > entries, 1 items.kind > entries.mode, " +
				"1 items.kind: quick > entries.mode: fast",
		},
		{
			"old value in a list", "entries:\n  - name: a\n    labels: [hot, cold]\n",
			"[{a  [warm cold]}] 0 0 3 entries.labels > entries.tags, 3 entries.labels: hot > entries.tags: warm",
		},
		{
			"quoted old value", "entries: [{name: a, mode: \"quick\"}]\n",
			"[{a fast []}] 0 0 1 entries.mode: quick > entries.mode: fast",
		},
		{
			"merged anchor", "entries:\n  - &a {name: a, kind: quick}\n  - {<<: *a}\n",
			"[{a fast []} {a fast []}] 0 0 2 entries.kind > entries.mode, 2 entries.kind: quick > entries.mode: fast",
		},
		{
			"keys moved to a new section", "limits: {per: 1s, most: 3}\n",
			"[] 3 10000 1 limits.per > limits.rate.period, 1 limits.most > limits.rate.count",
		},
		{
			"key moved to an existing section", "limits:\n  most: 3\n  rate: {period: 1s}\n",
			"[] 3 10000 2 limits.most > limits.rate.count",
		},
		{
			"both spellings of a moved key", "limits:\n  rate: {count: 3}\n  most: 4\n",
			`f.yaml:3:3: "most" is the old spelling of "rate.count", which is set on line 2; remove one of them`,
		},
		{
			"both spellings in an entry", "entries:\n  - {name: a, kind: slow, mode: slow}\n",
			`f.yaml:2:15: "kind" is the old spelling of "mode", which is set on line 2; remove one of them`,
		},
		{"old key in another section", "limits: {kind: slow}\n", `f.yaml:1:10: unknown field "kind"`},
		{"missing key beside old keys only", "items: [{kind: slow}]\n", "f.yaml:1:10: items[0].name is missing"},
		{"missing key beside old and current keys", "items: [{mode: slow}]\n", "f.yaml:1:10: items[0].name is missing"},
		{
			"value not allowed beside old keys only", "items: [{name: a, kind: no}]\n",
			`f.yaml:1:25: "no" is none of quick, slow`,
		},
		{
			"value not allowed beside old and current keys", "items: [{name: a, mode: no}]\n",
			`f.yaml:1:25: "no" is none of fast, slow`,
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := readRenamed(tc.text)
			testutil.Expect(t, got == tc.want, "got  %s\nwant %s", got, tc.want)
		})
	}
}

package strictyaml

import (
	"fmt"
	"strings"
	"testing"

	"glenport/internal/golden"
)

type goldenFile struct {
	Word   String   `yaml:"word"`
	Number Float    `yaml:"number" settings:"optional"`
	Count  Count    `yaml:"count"  settings:"optional"`
	Flag   Bool     `yaml:"flag"   settings:"optional"`
	Span   Duration `yaml:"span"   settings:"optional"`
	Memory Memory   `yaml:"memory" settings:"optional"`
	Inner  inner    `yaml:"inner"`
	List   []inner  `yaml:"list"`
	Words  []String `yaml:"words"`
	Plain  []string `yaml:"plain"`
}

type inner struct {
	Choice String `yaml:"choice,omitempty"`
}

// readAll reads a text and checks its required keys and its choice, as packages with settings do.
func readAll(text string) error {
	_, _, err := readGoldenFile(text)
	return err
}

// readGoldenFile returns the values read and the index of the choice, -1 where there is none.
func readGoldenFile(text string) (f goldenFile, chosen int, err error) {
	chosen = -1
	src, err := Read("f.yaml", []byte(text), &f)
	if err == nil {
		err = CheckRequired(src, "", f)
	}
	if err == nil {
		err = CheckRequired(src, "inner", f.Inner)
	}
	for i := range f.List {
		if err == nil {
			err = CheckRequired(src, fmt.Sprintf("list[%d]", i), f.List[i])
		}
	}
	if err == nil && f.Inner.Choice.IsSet() {
		chosen, err = OneOf(src, f.Inner.Choice, "one", "two")
	}
	return f, chosen, err
}

// readGolden lists what reading a text gives: each value with its place, or the fault.
func readGolden(text string) string {
	f, chosen, err := readGoldenFile(text)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(f.Word, f.Word.Position, f.Number.Value, f.Number.Position, f.Count.Value, f.Count.Position,
		f.Flag.Value, f.Flag.Position, f.Span.Ticks, f.Span.Position, f.Memory.GiB, f.Memory.Position,
		f.Inner.Choice, chosen, f.List, len(f.Words), f.Plain)
}

// goldenScalars stand in turn in place of the value of each key.
var goldenScalars = []string{
	"bogus", "[1]", "{a: 1}", "0", "1", "-1", "1.5", "1e3", "1e400", "nan", "inf", "true", "True", "yes",
	"~", "\"\"", "'12'", "2s", "250ms", "0.05ms", "3min", "1h", "9000h", "-2s", "2 s", "2GiB", "512MiB",
	"64KiB", "1TiB", "2GB", "s", "1.2.3s", "99999999999", "1000000000", "0x10", "|\n  text", "&a 5", "*a",
	"!!str 5",
}

// goldenTexts are files beyond those with one scalar.
var goldenTexts = []string{
	"",
	"\n",
	"# nothing\n",
	"word: w\n",
	"word: w\ninner:\n  choice: three\n",
	"word: w\ninner: {}\n",
	"inner: {choice: one}\n",
	"word: w\ninner: {choice: one}\nlist:\n  - {choice: x}\n  - {}\n",
	"word: w\ninner: {choice: one}\nlist: [{choice: x}]\nwords: [a, b]\nplain: [c]\n",
	"word: w\ninner: {choice: one}\nwords: [a, [b]]\n",
	"word: w\ninner: {choice: one}\nwords: a\n",
	"word: w\ninner: 5\n",
	"word: w\ninner: {choice: one, other: 2}\n",
	"word: w\nword: v\n",
	"unknown: 1\n",
	"word: w\ninner: {choice: one}\n---\nword: v\n",
	"word: [\n",
	"word: w\n\tinner: x\n",
	"- 1\n",
	"5\n",
	"word: \"w\n",
	"word: w\n  inner: {choice: one}\n",
}

func TestValuesAndFaultsAreAsRecorded(t *testing.T) {
	var texts []string
	for _, scalar := range goldenScalars {
		texts = append(texts, "word: "+scalar+"\ninner: {choice: one}\n")
	}
	for _, key := range []string{"number", "count", "flag", "span", "memory"} {
		for _, scalar := range goldenScalars {
			texts = append(texts, "word: w\n"+key+": "+scalar+"\ninner: {choice: two}\n")
		}
	}
	var got strings.Builder
	for _, text := range append(texts, goldenTexts...) {
		fmt.Fprintf(&got, "%q\n  %q\n", text, readGolden(text))
	}
	golden.CheckText(t, "testdata/values-and-faults.txt", got.String())
}

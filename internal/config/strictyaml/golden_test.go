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

// readAndCheck reads a text and checks its required keys and its choice, as the callers of this package do.
func readAndCheck(text string) error {
	_, _, err := readGoldenFile(text)
	return err
}

// readGoldenFile returns the values read and the index of the choice, or -1 if there is no choice.
func readGoldenFile(text string) (f goldenFile, choice int, err error) {
	choice = -1
	file, err := Read("f.yaml", []byte(text), &f)
	if err == nil {
		err = CheckRequired(file, "", f)
	}
	if err == nil {
		err = CheckRequired(file, "inner", f.Inner)
	}
	for i := range f.List {
		if err == nil {
			err = CheckRequired(file, fmt.Sprintf("list[%d]", i), f.List[i])
		}
	}
	if err == nil && f.Inner.Choice.IsSet() {
		choice, err = OneOf(file, f.Inner.Choice, "one", "two")
	}
	return f, choice, err
}

// readGolden returns each value in a text with its position, or the error.
func readGolden(text string) string {
	f, choice, err := readGoldenFile(text)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprint(f.Word, f.Word.Position, f.Number.Value, f.Number.Position, f.Count.Value, f.Count.Position,
		f.Flag.Value, f.Flag.Position, f.Span.Ticks, f.Span.Position, f.Memory.GiB, f.Memory.Position,
		f.Inner.Choice, choice, f.List, len(f.Words), f.Plain)
}

// goldenScalars are the values that each key is tested with.
var goldenScalars = []string{
	"bogus", "[1]", "{a: 1}", "0", "1", "-1", "1.5", "1e3", "1e400", "nan", "inf", "true", "True", "yes",
	"~", "\"\"", "'12'", "2s", "250ms", "0.05ms", "3min", "1h", "9000h", "-2s", "2 s", "2GiB", "512MiB",
	"64KiB", "1TiB", "2GB", "s", "1.2.3s", "99999999999", "1000000000", "0x10", "|\n  text", "&a 5", "*a",
	"!!str 5",
}

// goldenTexts are further files, beside those made from goldenScalars.
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

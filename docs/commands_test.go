package docs

import (
	"go/ast"
	"strings"
	"testing"
)

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

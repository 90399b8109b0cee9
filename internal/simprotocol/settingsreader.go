package simprotocol

import (
	"fmt"
	"strconv"
	"strings"

	"glenport/scheduler"
)

// maxCount bounds the counts in settings.
const maxCount = 10_000_000

// settingsReader reads settings by path. It keeps the first error, so that callers check for errors only once after
// reading several settings.
type settingsReader struct {
	values map[string]string
	total  int // number of pairs, including repeated paths
	err    error
}

func newSettingsReader(pairs []string) (*settingsReader, error) {
	s := &settingsReader{values: make(map[string]string, len(pairs)), total: len(pairs)}
	for _, pair := range pairs {
		path, value, found := strings.Cut(pair, "=")
		if !found {
			return nil, &PairError{Pair: pair}
		}
		s.values[path] = value
	}
	return s, nil
}

func (s *settingsReader) fail(err error) {
	if s.err == nil {
		s.err = err
	}
}

// failf records an error of a setting. In the error text, the problem is appended to the path.
func (s *settingsReader) failf(path, problem string, args ...any) {
	s.fail(&SettingError{Setting: path, Problem: fmt.Sprintf(problem, args...)})
}

func (s *settingsReader) has(path string) bool {
	_, found := s.values[path]
	return found
}

func (s *settingsReader) text(path string) string {
	if !s.has(path) {
		s.failf(path, " is missing")
	}
	return s.values[path]
}

func (s *settingsReader) number(path string) float64 { return s.parseNumber(path, s.text(path)) }

func (s *settingsReader) parseNumber(path, text string) float64 {
	number, err := parseNumber(text)
	if err != nil {
		s.fail(&SettingError{Setting: path, Err: err})
	}
	return number
}

func (s *settingsReader) positiveNumber(path string) float64 {
	number := s.number(path)
	if number <= 0 {
		s.failf(path, "=%q is not above 0", s.values[path])
	}
	return number
}

func (s *settingsReader) count(path string) int {
	count, err := strconv.Atoi(s.text(path))
	if err != nil || count < 0 || count > maxCount {
		s.failf(path, "=%q is no count", s.values[path])
	}
	return count
}

// itemCount returns the count of a list of objects. Each object has at least one setting, so the count cannot exceed
// the number of settings.
func (s *settingsReader) itemCount(path string) int {
	count := s.count(path)
	if count > s.total {
		s.failf(path, "=%d, with %d settings in all", count, s.total)
	}
	return count
}

func (s *settingsReader) duration(path string) scheduler.Time { return timeFromMillis(s.number(path)) }

func (s *settingsReader) boolean(path string) bool { return settingValue(s, path, booleans) }

// list returns the values of a list. It returns nil if the list is absent or empty.
func (s *settingsReader) list(path string) []string {
	text := s.text(path)
	if text == "" || text == absentField {
		return nil
	}
	return strings.Split(text, ",")
}

// listOfLength returns a list that must have count values. After an error the length may differ.
func (s *settingsReader) listOfLength(path string, count int) []string {
	values := s.list(path)
	if len(values) != count {
		s.failf(path, " has %d values, not %d", len(values), count)
	}
	return values
}

// numbers returns a list of count numbers. The length is the same after an error.
func (s *settingsReader) numbers(path string, count int) []float64 {
	values := s.listOfLength(path, count)
	numbers := make([]float64, count)
	for i := range min(count, len(values)) {
		numbers[i] = s.parseNumber(path, values[i])
	}
	return numbers
}

// keyword is a text in settings and the value that it stands for.
type keyword[T any] struct {
	text  string
	value T
}

var booleans = []keyword[bool]{{"false", false}, {"true", true}}

// settingValue returns the value that the keyword of a setting stands for.
func settingValue[T any](s *settingsReader, path string, keywords []keyword[T]) T {
	text := s.text(path)
	texts := make([]string, len(keywords))
	for i, k := range keywords {
		if k.text == text {
			return k.value
		}
		texts[i] = k.text
	}
	s.failf(path, "=%q is none of %s", text, strings.Join(texts, ", "))
	return keywords[0].value
}

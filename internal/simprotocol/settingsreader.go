package simprotocol

import (
	"fmt"
	"strconv"
	"strings"

	"glenport/scheduler"
)

// maxCount bounds the counts in settings.
const maxCount = 10_000_000

// settingsReader reads settings by their paths. It keeps the first error, so that it is checked once for many settings.
type settingsReader struct {
	values map[string]string
	total  int // pairs, repeated ones included
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

// failf fails for a setting; the problem continues its path.
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

// itemCount is the count of a list of objects. As each has settings of its own, there are never more than settings in
// all.
func (s *settingsReader) itemCount(path string) int {
	count := s.count(path)
	if count > s.total {
		s.failf(path, "=%d, with %d settings in all", count, s.total)
	}
	return count
}

func (s *settingsReader) duration(path string) scheduler.Time { return timeFromMillis(s.number(path)) }

func (s *settingsReader) boolean(path string) bool { return settingValue(s, path, booleans) }

// list returns the values of a list; an absent or empty one has none.
func (s *settingsReader) list(path string) []string {
	text := s.text(path)
	if text == "" || text == absentField {
		return nil
	}
	return strings.Split(text, ",")
}

// listOfLength returns a list that must have so many values; it is shorter or longer only after an error.
func (s *settingsReader) listOfLength(path string, count int) []string {
	values := s.list(path)
	if len(values) != count {
		s.failf(path, " has %d values, not %d", len(values), count)
	}
	return values
}

// numbers returns a list of so many numbers, also after an error.
func (s *settingsReader) numbers(path string, count int) []float64 {
	values := s.listOfLength(path, count)
	numbers := make([]float64, count)
	for i := range min(count, len(values)) {
		numbers[i] = s.parseNumber(path, values[i])
	}
	return numbers
}

// keyword is a value in settings and what it stands for.
type keyword[T any] struct {
	text  string
	value T
}

var booleans = []keyword[bool]{{"false", false}, {"true", true}}

// settingValue returns what the value of a setting stands for.
func settingValue[T any](s *settingsReader, path string, words []keyword[T]) T {
	text := s.text(path)
	texts := make([]string, len(words))
	for i, w := range words {
		if w.text == text {
			return w.value
		}
		texts[i] = w.text
	}
	s.failf(path, "=%q is none of %s", text, strings.Join(texts, ", "))
	return words[0].value
}

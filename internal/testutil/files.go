package testutil

import (
	"os"
	"testing"
)

const fileMode = 0o644

// ReadFile returns what a file holds.
func ReadFile(tb testing.TB, path string) []byte {
	tb.Helper()
	content, err := os.ReadFile(path)
	NoError(tb, err)
	return content
}

// WriteFile replaces what a file holds.
func WriteFile(tb testing.TB, path string, content []byte) {
	tb.Helper()
	NoError(tb, os.WriteFile(path, content, fileMode))
}

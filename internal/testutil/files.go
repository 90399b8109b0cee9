package testutil

import (
	"os"
	"testing"
)

const fileMode = 0o644

// ReadFile returns the contents of a file.
func ReadFile(tb testing.TB, path string) []byte {
	tb.Helper()
	content, err := os.ReadFile(path)
	NoError(tb, err)
	return content
}

// WriteFile replaces the contents of a file, or creates it.
func WriteFile(tb testing.TB, path string, content []byte) {
	tb.Helper()
	NoError(tb, os.WriteFile(path, content, fileMode))
}

package terminal

import (
	"os"
	"testing"
)

// writeFile creates a file or fails the test.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

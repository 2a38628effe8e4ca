package btevent

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
)

// Guards against a documented catalogue that differs from the code, and against
// numbers that are used twice.
func TestCatalogue(t *testing.T) {
	page, err := os.ReadFile("../docs/EVENTS.md")
	assert.NilError(t, err)
	rows := strings.Count(string(page), "\n| BT")
	assert.Equal(t, rows, len(All()), "rows in docs/EVENTS.md")
	last := 0
	for _, e := range All() {
		row := fmt.Sprintf("| BT%03d | %s | %s |", e.Number, e.Level, e.Text)
		assert.Assert(t, strings.Contains(string(page), row), "docs/EVENTS.md has no row %q", row)
		assert.Assert(t, e.Number > last, "number %d is out of order", e.Number)
		last = e.Number
	}
}

// Guards against catalogued events that no code logs.
func TestEventsAreUsed(t *testing.T) {
	source, err := os.ReadFile("event.go")
	assert.NilError(t, err)
	var logged strings.Builder
	files, err := filepath.Glob("../btdaemon/*.go")
	assert.NilError(t, err)
	more, err := filepath.Glob("../internal/*/*/*.go")
	assert.NilError(t, err)
	files = append(files, more...)
	for _, f := range files {
		text, err := os.ReadFile(f)
		assert.NilError(t, err)
		logged.Write(text)
	}
	for _, m := range regexp.MustCompile(`(?m)^\t(\w+) += Event\{`).FindAllSubmatch(source, -1) {
		assert.Assert(t, strings.Contains(logged.String(), "btevent."+string(m[1])), "%s is never logged", m[1])
	}
}

// Guards against an event that is written below the logger's level.
func TestLevel(t *testing.T) {
	var b bytes.Buffer
	l := New(&b, zerolog.InfoLevel, "h")
	l.Event(RequestNotRun).Send()
	assert.Equal(t, b.Len(), 0)
	l.Event(ProcessStarted).Str("x", "y").Send()
	assert.Assert(t, strings.Contains(b.String(), `"event":"BT100"`), b.String())
}

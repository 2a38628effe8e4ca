package btrecord

import (
	"fmt"
	"strings"
)

// maxNameBytes bounds names, which become parts of paths, metrics and logs.
const maxNameBytes = 63

const (
	nameRule  = "1 to 63 of a-z, 0-9, '-', '_' and '.', with a letter or digit at both ends"
	labelRule = "1 to 63 of letters, digits, '-', '_', '.' and '+'"
	hashRule  = "a SHA-256 hash as 64 lower-case hexadecimal digits"
	hashChars = 64
)

// ValidName says whether s can name a record. The alphabet needs no escaping
// in paths, YAML, log lines and metric labels.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		if isLowerOrDigit(s[i]) {
			continue
		}
		inner := i > 0 && i < len(s)-1
		if !inner || strings.IndexByte("-_.", s[i]) < 0 {
			return false
		}
	}
	return true
}

// ValidHash says whether s is a SHA-256 hash in lower-case hexadecimal.
func ValidHash(s string) bool {
	if len(s) != hashChars {
		return false
	}
	return strings.Trim(s, "0123456789abcdef") == ""
}

// validLabel says whether s can be a version, an adapter or a region.
func validLabel(s string) bool {
	if s == "" || len(s) > maxNameBytes {
		return false
	}
	for i := range len(s) {
		c := s[i]
		upper := c >= 'A' && c <= 'Z'
		if !isLowerOrDigit(c) && !upper && strings.IndexByte("-_.+", c) < 0 {
			return false
		}
	}
	return true
}

func isLowerOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
}

func quoted(s string) string { return fmt.Sprintf("%.80q", s) }

func oneOf(allowed ...string) string { return strings.Join(allowed, ", ") }

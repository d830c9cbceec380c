// Package settings reads the settings of the daemons from INI files and reports all invalid
// settings of a file at once. Every error names the file, section, key, the value found and
// what is allowed. Unknown keys are errors.
package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// ErrInvalid is matched by all errors of this package.
var ErrInvalid = errors.New("settings: invalid")

// FieldError describes one invalid setting.
type FieldError struct {
	File    string
	Section string
	Key     string
	// Value is the value found; empty if there is none.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// Unwrap makes the error match ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// Loader reads typed values from a file and collects all errors. Its methods return the default, or the invalid value
// itself, after an error, so that the other values can still be checked.
type Loader struct {
	path string
	file *ini.File
	// known holds the section and key, separated by a NUL byte, of all values read.
	known map[string]bool
	errs  []error
}

// Open reads and parses a file. The caller reads the values with the typed methods, then Err returns all errors.
func Open(path string) (*Loader, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(ErrInvalid, err.Error())
	}
	return Parse(path, data)
}

// Parse is Open for content that has already been read. path is used only in errors.
func Parse(path string, data []byte) (*Loader, error) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", AllowShadows: true}, data)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "%s: %s", path, err)
	}
	return &Loader{path: path, file: file, known: make(map[string]bool)}, nil
}

func (l *Loader) fail(section, key, value, allowed string) {
	l.errs = append(l.errs, &FieldError{File: l.path, Section: section, Key: key, Value: value, Allowed: allowed})
}

// lookup returns the value without surrounding spaces and whether the key is present. It records that the key is known, and
// an error if the file gives it more than once.
func (l *Loader) lookup(section, key string) (string, bool) {
	l.known[section+"\x00"+key] = true
	s, err := l.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	values := s.Key(key).ValueWithShadows()
	if len(values) > 1 {
		l.fail(section, key, strings.Join(values, ", "), "a single value, but the key is given more than once")
	}
	return strings.TrimSpace(s.Key(key).Value()), true
}

// String reads a string. If it is absent or empty, String returns def; that is an error if def is empty.
func (l *Loader) String(section, key, def string) string {
	value, ok := l.lookup(section, key)
	if !ok || value == "" {
		if def == "" {
			l.fail(section, key, value, "a value that is not empty")
		}
		return def
	}
	return value
}

// Optional reads a string that may be absent or empty.
func (l *Loader) Optional(section, key string) string {
	value, _ := l.lookup(section, key)
	return value
}

// OneOf reads one of a set of allowed values.
func (l *Loader) OneOf(section, key, def string, allowed ...string) string {
	value, ok := l.lookup(section, key)
	if !ok {
		return def
	}
	for _, a := range allowed {
		if value == a {
			return value
		}
	}
	l.fail(section, key, value, strings.Join(allowed, ", "))
	return def
}

// Bool reads true or false.
func (l *Loader) Bool(section, key string, def bool) bool {
	return l.OneOf(section, key, strconv.FormatBool(def), "true", "false") == "true"
}

// Int reads an integer from low to high.
func (l *Loader) Int(section, key string, def, low, high int) int {
	value, ok := l.lookup(section, key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(value)
	if err != nil || n < low || n > high {
		l.fail(section, key, value, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return n
}

// Float reads a number from low to high.
func (l *Loader) Float(section, key string, def, low, high float64) float64 {
	value, ok := l.lookup(section, key)
	if !ok {
		return def
	}
	f, err := strconv.ParseFloat(value, 64)
	// The negated comparison also rejects NaN.
	if err != nil || !(f >= low && f <= high) {
		l.fail(section, key, value, fmt.Sprintf("a number from %g to %g", low, high))
		return def
	}
	return f
}

// Duration reads a duration with a unit, such as 500ms, from low to high.
func (l *Loader) Duration(section, key string, def, low, high time.Duration) time.Duration {
	value, ok := l.lookup(section, key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < low || d > high {
		l.fail(section, key, value, fmt.Sprintf("a duration with a unit from %s to %s", low, high))
		return def
	}
	return d
}

// Address reads an IP address with a port. Host names are not allowed, because processes connect by IP address.
func (l *Loader) Address(section, key, def string) string {
	value, ok := l.lookup(section, key)
	if !ok {
		value = def
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		l.fail(section, key, value, "an IP address and port, such as 127.0.0.1:7100")
	}
	return value
}

// URL reads a required http or https URL and removes a trailing slash.
func (l *Loader) URL(section, key string) string {
	value, _ := l.lookup(section, key)
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		l.fail(section, key, value, "an http or https URL, such as http://127.0.0.1:7000")
	}
	return strings.TrimSuffix(value, "/")
}

// Name reads a required identifier; see ValidName.
func (l *Loader) Name(section, key string) string {
	value, _ := l.lookup(section, key)
	if !ValidName(value) {
		l.fail(section, key, value, "1 to 63 of a-z, 0-9, dot and dash, starting with a letter or digit")
	}
	return value
}

// List reads a comma-separated list and drops empty items.
func (l *Loader) List(section, key string) []string {
	value, _ := l.lookup(section, key)
	var items []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// Fail records an error that the caller found in a value it has read.
func (l *Loader) Fail(section, key, value, allowed string) { l.fail(section, key, value, allowed) }

// maxNameLength is the limit of a DNS label, so that names fit into one.
const maxNameLength = 63

// ValidName reports whether s is a valid identifier: 1 to maxNameLength lower-case letters, digits, dots and dashes,
// starting with a letter or digit.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	for i, c := range s {
		alnum := (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9')
		if !alnum && (i == 0 || (c != '.' && c != '-')) {
			return false
		}
	}
	return true
}

// Err returns all errors joined, or nil. Keys that the caller has not read are errors, so it must read all values before.
func (l *Loader) Err() error {
	errs := l.errs
	for _, s := range l.file.Sections() {
		for _, key := range s.KeyStrings() {
			if !l.known[s.Name()+"\x00"+key] {
				errs = append(errs, &FieldError{
					File: l.path, Section: s.Name(), Key: key, Value: s.Key(key).Value(),
					Allowed: "one of the known keys: " + l.knownKeys(s.Name()),
				})
			}
		}
	}
	return errors.Join(errs...)
}

// knownKeys lists the keys of a section that the caller has read.
func (l *Loader) knownKeys(section string) string {
	var keys []string
	for k := range l.known {
		if name, ok := strings.CutPrefix(k, section+"\x00"); ok {
			keys = append(keys, name)
		}
	}
	if len(keys) == 0 {
		return "none, the section is unknown"
	}
	sort.Strings(keys)
	return strings.Join(keys, ", ")
}

// Package testenv reads parameters of tests, such as the length of a soak test, from environment variables. A variable
// that is unset or empty has a default value. A malformed value panics, so that a run never uses the default unnoticed.
package testenv

import (
	"fmt"
	"os"
	"strconv"
	"time"
)

// parseVariable returns the parsed value of an environment variable, or the default value if it is unset or empty.
func parseVariable[T any](name string, defaultValue T, parse func(string) (T, error)) T {
	text := os.Getenv(name)
	if text == "" {
		return defaultValue
	}
	value, err := parse(text)
	if err != nil {
		panic(fmt.Sprintf("environment variable %s: %v", name, err))
	}
	return value
}

// Duration reads a duration in Go's form, such as "90s".
func Duration(name string, defaultValue time.Duration) time.Duration {
	return parseVariable(name, defaultValue, time.ParseDuration)
}

// Uint64 reads an unsigned decimal number.
func Uint64(name string, defaultValue uint64) uint64 {
	return parseVariable(name, defaultValue, func(s string) (uint64, error) { return strconv.ParseUint(s, 10, 64) })
}

// Float64 reads a floating-point number.
func Float64(name string, defaultValue float64) float64 {
	return parseVariable(name, defaultValue, func(s string) (float64, error) { return strconv.ParseFloat(s, 64) })
}

// Package script provides random choices to property tests that run in a synctest bubble. The choices are drawn from
// rapid before the bubble starts, because rapid ends a run with a panic, which must not happen inside the bubble.
package script

import "pgregory.net/rapid"

// maxChoice is the largest number drawn. It is larger than any number of options that a test chooses from.
const maxChoice = 1 << 20

// Script is a sequence of random choices, which a test uses up one by one.
type Script struct{ choices []int }

// Draw draws a script of length/2 to length choices.
func Draw(rt *rapid.T, length int) *Script {
	return &Script{choices: rapid.SliceOfN(rapid.IntRange(0, maxChoice), length/2, length).Draw(rt, "script")}
}

// Empty reports whether all choices are used up.
func (s *Script) Empty() bool { return len(s.choices) == 0 }

// Next uses up one choice and returns it as a number from 0 to n-1. It returns 0 if the script is empty.
func (s *Script) Next(n int) int {
	if s.Empty() {
		return 0
	}
	v := s.choices[0] % n
	s.choices = s.choices[1:]
	return v
}

// Pick uses up one choice and returns an element of from.
func Pick[T any](s *Script, from []T) T { return from[s.Next(len(from))] }

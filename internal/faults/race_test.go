//go:build race

package faults

const underRace = true

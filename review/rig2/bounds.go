package main

import "time"

// Bounds of the site.
const (
	contact       = 3 * time.Second // contact_ms
	configuration = 2 * time.Second // configuration_ms
	evacuation    = 5 * time.Second // evacuation_ms
	drain         = 2 * time.Second // drain_ms
)

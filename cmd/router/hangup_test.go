package main_test

import (
	"testing"

	"redwinghall/rwhtest/startup"
)

// The runtime's own handler of SIGHUP ends a process that has not reached its main function.
func TestHangUpBeforeMainEndsNothing(t *testing.T) { startup.RequireOutlivesHangUp(t) }

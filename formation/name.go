// Package formation decides which VMs form the groups of an availability
// zone, and gives the orders that bring this about. What it knows comes from
// what endpoints say of themselves, so that a new holder of a zone's lease
// goes on where the last one stopped.
package formation

import (
	"strconv"
	"strings"
)

// A group's name says what it is for, so that any node can tell: the model,
// and whether it is a replica or a standby. A standby is a group of one that
// never opens: its VM has the model loaded and can replace a lost member at once.
const (
	replicaPrefix = "replica"
	standbyPrefix = "standby"
	nameSeparator = "|"
)

// groupName returns the name of a group that is formed under an epoch.
func groupName(prefix, model string, epoch int64) string {
	return prefix + nameSeparator + model + nameSeparator + strconv.FormatInt(epoch, 10)
}

// parseName returns what a group's name says. Names of another writer are a
// replica's of an unknown model.
func parseName(name string) (model string, standby bool) {
	parts := strings.Split(name, nameSeparator)
	if len(parts) != 3 {
		return "", false
	}
	return parts[1], parts[0] == standbyPrefix
}

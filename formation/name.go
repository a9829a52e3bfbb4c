// Package formation decides which VMs form the groups of an availability zone, and
// sends the orders that form them. Its state is derived from what endpoints report
// about themselves, so that a new holder of a zone's lease continues where the last one
// stopped.
package formation

import (
	"strconv"
	"strings"
)

// A group's name encodes its purpose, so that any node can read it: the model, whether
// the group is a replica or a standby, and of how many VMs it was formed. A standby is a
// group of one that never opens: its VM has the model loaded and can replace a lost
// member at once.
const (
	replicaPrefix = "replica"
	standbyPrefix = "standby"
	nameSeparator = "|"
	sizeSeparator = "x"
)

// groupName returns the name of a group of size VMs formed under an epoch.
func groupName(prefix, model string, epoch int64, size int) string {
	return prefix + nameSeparator + model + nameSeparator + strconv.FormatInt(epoch, 10) + sizeSeparator + strconv.Itoa(size)
}

// parseName returns the model encoded in a group's name, and whether the group is a
// standby. A name of any other format counts as a replica of an unknown model.
func parseName(name string) (model string, standby bool) {
	parts := strings.Split(name, nameSeparator)
	if len(parts) != 3 {
		return "", false
	}
	return parts[1], parts[0] == standbyPrefix
}

// formedSize returns the number of VMs encoded in a group's name, 0 if there is none.
func formedSize(name string) int {
	_, text, found := strings.Cut(name[strings.LastIndex(name, nameSeparator)+1:], sizeSeparator)
	size, err := strconv.Atoi(text)
	if !found || err != nil {
		return 0
	}
	return max(0, size)
}

package directory

import "k8s.io/klog/v2"

// logInForce logs that a new view has put another version of the configuration in force.
func logInForce(before, after *View) {
	if after.Config() == nil {
		return
	}
	var replaced int64
	if before.Config() != nil {
		replaced = before.Config().Version
	}
	if next := after.Config().Version; next != replaced || before.Config() == nil {
		klog.InfoS("configuration_in_force", "configuration", next, "before", replaced)
	}
}

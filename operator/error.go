// Package operator speaks to operators and their build pipelines: it accepts
// manifests and decisions on availability zones, and reports the state.
package operator

import "redwinghall"

// Error is a refused or failed decision; its kind is the code that the
// operator reads.
type Error = redwinghall.OpError[redwinghall.Code]

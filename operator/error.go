// Package operator implements the API for operators and their build pipelines: it
// accepts manifests and changes of availability zones, and reports the status.
package operator

import "redwinghall"

// Error is a refused or failed operator request; its kind is the code that is
// returned to the operator.
type Error = redwinghall.OpError[redwinghall.Code]

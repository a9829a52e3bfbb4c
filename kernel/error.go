package kernel

import "redwinghall"

// Kind is the kind of an Error.
type Kind string

// Panicked means that a function panicked.
const Panicked Kind = "panicked"

// Error is the error type of this package.
type Error = redwinghall.OpError[Kind]

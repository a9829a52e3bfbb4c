package node

import "context"

// FailPart makes a part of a running node fail.
func (n *Node) FailPart(err error) {
	n.group.Go("failing", func(context.Context) error { return err })
}

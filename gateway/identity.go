package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"slices"

	"redwinghall/quarantine"
)

// identityBytes is the length of an identity's hash: no caller can find another request with the same one.
const identityBytes = 16

// identity returns the same text for each attempt of a caller with the same request: each attempt has an id of
// its own. It leaves out what an attempt changes: the id, the time limit, the last event received.
func (r *Request) identity() string {
	r.computeIdentity.Do(func() {
		h := sha256.New()
		for _, field := range []string{r.account(), r.Route.Host, r.Route.Prefix, r.Method, r.Target, r.Info.Model} {
			hashField(h, []byte(field))
		}
		for _, part := range r.Info.PromptParts {
			hashField(h, []byte(part))
		}
		hashField(h, []byte(r.Info.LastPart))
		hashField(h, r.Body)
		r.ownIdentity = hex.EncodeToString(h.Sum(nil)[:identityBytes])
	})
	return r.ownIdentity
}

// parts returns what the quarantine knows a request by: the parts of its prompt, and the request as a whole.
func (r *Request) parts() []string {
	identity := r.identity()
	r.computeParts.Do(func() {
		r.allParts = slices.Clone(r.Info.PromptParts)
		if r.Info.LastPart != "" {
			r.allParts = append(r.allParts, quarantine.LastPart(r.Info.LastPart))
		}
		r.allParts = append(r.allParts, quarantine.WholeRequest(identity))
	})
	return r.allParts
}

// hashField adds a field with its length, so that no two lists of fields give the same bytes.
func hashField(w io.Writer, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = w.Write(length[:]) // a hash takes all that it is given
	_, _ = w.Write(field)
}

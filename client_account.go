package redwinghall

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// Class orders work by who waits for it.
type Class string

// The classes of work.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Limits of a client account, for one router.
const (
	maxAccountWeight = 1000
	maxAccountQueue  = 10000
)

// ClientAccount is a customer of the deployment that may send requests.
type ClientAccount struct {
	ID string `json:"id"`
	// KeySHA256 holds the API keys as SHA-256 in hex; the keys themselves are
	// never written down.
	KeySHA256 []string `json:"key_sha256"`
	Class     Class    `json:"class"`
	Weight    int      `json:"weight"`     // share when work must wait
	MaxQueued int      `json:"max_queued"` // waiting requests for each router
}

// WithDefaults returns the account with its empty fields filled.
func (a ClientAccount) WithDefaults() ClientAccount {
	if a.Class == "" {
		a.Class = ClassInteractive
	}
	if a.Weight == 0 {
		a.Weight = 1
	}
	if a.MaxQueued == 0 {
		a.MaxQueued = 64
	}
	return a
}

// Validate returns everything wrong with the account at path.
func (a ClientAccount) Validate(path string) Faults {
	var f Faults
	f = f.Identifier(path+".id", a.ID)
	if len(a.KeySHA256) == 0 {
		f = f.With(path+".key_sha256", "want at least one key")
	}
	for i, key := range a.KeySHA256 {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != sha256.Size {
			f = f.With(fmt.Sprintf("%s.key_sha256[%d]", path, i), "want 64 hex digits of a SHA-256")
		}
	}
	if a.Class != ClassInteractive && a.Class != ClassBatch {
		f = f.With(path+".class", "want \"interactive\" or \"batch\", got %q", a.Class)
	}
	f = f.Between(path+".weight", a.Weight, 1, maxAccountWeight)
	return f.Between(path+".max_queued", a.MaxQueued, 1, maxAccountQueue)
}

// HasKey reports whether the API key is one of the account's. The comparison
// takes the same time wherever the digests differ.
func (a ClientAccount) HasKey(key string) bool {
	sum := sha256.Sum256([]byte(key))
	found := 0
	for _, want := range a.KeySHA256 {
		raw, err := hex.DecodeString(want)
		if err != nil {
			continue
		}
		found |= subtle.ConstantTimeCompare(raw, sum[:])
	}
	return found == 1
}

// ClientAccounts is a list of client accounts.
type ClientAccounts []ClientAccount

// ByKey returns the account that an API key belongs to. Every account is
// compared, so that the time taken does not tell which one matched.
func (a ClientAccounts) ByKey(key string) (ClientAccount, bool) {
	var found ClientAccount
	ok := false
	for _, one := range a {
		if one.HasKey(key) {
			found, ok = one, true
		}
	}
	return found, ok
}

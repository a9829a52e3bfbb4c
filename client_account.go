package redwinghall

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
)

// Class is the priority class of a client account's requests.
type Class string

// The priority classes.
const (
	ClassInteractive Class = "interactive"
	ClassBatch       Class = "batch"
)

// Upper limits of a client account's settings, which apply in each router
// separately.
const (
	maxAccountWeight = 1000
	maxAccountQueue  = 10000
)

// ClientAccount is a customer of the deployment that may send requests.
type ClientAccount struct {
	ID string `json:"id"`
	// KeySHA256 holds the SHA-256 digests of the API keys in hex; the keys
	// themselves are never stored.
	KeySHA256 []string `json:"key_sha256"`
	Class     Class    `json:"class"`
	Weight    int      `json:"weight"`     // relative share of capacity when requests are queued
	MaxQueued int      `json:"max_queued"` // queued requests for each router
}

// WithDefaults returns the account with empty fields set to their defaults.
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

// Validate returns all errors of the account; path is its position in the
// manifest.
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

// HasKey reports whether the API key belongs to the account. The digests are
// compared in constant time.
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

// ByKey returns the account that an API key belongs to. All accounts are
// compared, so that the time taken does not reveal which one matched.
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

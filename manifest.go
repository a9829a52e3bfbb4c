package redwinghall

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"redwinghall/strictjson"
)

// Manifest is the configuration of the deployment, which operators generate in
// their build pipeline and submit. It is accepted or refused as a whole.
type Manifest struct {
	Name           string         `json:"name"`
	ClientAccounts ClientAccounts `json:"client_accounts"`
	Models         []Model        `json:"models"`
	Services       []Service      `json:"services"`
}

// ParseManifest decodes a manifest with strictjson and returns it with defaults
// set, or all validation errors.
func ParseManifest(data []byte) (Manifest, Faults) {
	var m Manifest
	var f Faults
	for _, problem := range strictjson.Decode(data, &m) {
		f = f.With(problem.Path, "%s", problem.Message)
	}
	if len(f) > 0 {
		return Manifest{}, f.Sorted()
	}
	m = m.WithDefaults()
	if f = m.Validate(); len(f) > 0 {
		return Manifest{}, f
	}
	return m, nil
}

// WithDefaults returns the manifest with empty fields set to their defaults.
func (m Manifest) WithDefaults() Manifest {
	accounts := make(ClientAccounts, len(m.ClientAccounts))
	for i, a := range m.ClientAccounts {
		accounts[i] = a.WithDefaults()
	}
	models := make([]Model, len(m.Models))
	for i, one := range m.Models {
		models[i] = one.WithDefaults()
	}
	services := make([]Service, len(m.Services))
	for i, s := range m.Services {
		services[i] = s.WithDefaults()
	}
	m.ClientAccounts, m.Models, m.Services = accounts, models, services
	return m
}

// Validate returns all validation errors of the manifest, ordered by path.
func (m Manifest) Validate() Faults {
	var f Faults
	f = f.Identifier("name", m.Name)
	if len(m.ClientAccounts) == 0 {
		f = f.With("client_accounts", "want at least one client account")
	}
	accounts := map[string]bool{}
	keys := map[string]bool{}
	for i, a := range m.ClientAccounts {
		path := fmt.Sprintf("client_accounts[%d]", i)
		f = append(f, a.Validate(path)...)
		if accounts[a.ID] {
			f = f.With(path+".id", "client account %q is defined twice", a.ID)
		}
		accounts[a.ID] = true
		for j, key := range a.KeySHA256 {
			if keys[key] {
				f = f.With(fmt.Sprintf("%s.key_sha256[%d]", path, j), "this key is defined twice")
			}
			keys[key] = true
		}
	}
	seen := map[string]bool{}
	for i, one := range m.Models {
		path := fmt.Sprintf("models[%d]", i)
		f = append(f, one.Validate(path, accounts)...)
		if seen[one.ID] {
			f = f.With(path+".id", "model %q is defined twice", one.ID)
		}
		seen[one.ID] = true
	}
	seen = map[string]bool{}
	for i, s := range m.Services {
		path := fmt.Sprintf("services[%d]", i)
		f = append(f, s.Validate(path, accounts)...)
		if seen[s.ID] {
			f = f.With(path+".id", "service %q is defined twice", s.ID)
		}
		seen[s.ID] = true
	}
	return f.Sorted()
}

// Canonical returns the canonical encoding of the manifest and its SHA-256 in
// hex, under which the manifest is stored.
func (m Manifest) Canonical() (data []byte, hash string, err error) {
	data, err = json.Marshal(m)
	if err != nil {
		return nil, "", err
	}
	sum := sha256.Sum256(data)
	return data, hex.EncodeToString(sum[:]), nil
}

// Accepted is an accepted manifest. Its generation is higher than that of the
// manifest accepted before it.
type Accepted struct {
	Generation uint64   `json:"generation"`
	Hash       string   `json:"hash"`
	SubmitID   string   `json:"submit_id"`
	Manifest   Manifest `json:"manifest"`
}

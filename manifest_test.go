package redwinghall_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall"
)

const goodManifest = `{"name":"pohjatee",
 "client_accounts":[{"id":"drivers","key_sha256":["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"]}],
 "models":[{"id":"chain-advice","version":"v1","vms_per_replica":4,"replicas":{"tartu":2},"client_accounts":["drivers"]}],
 "services":[{"id":"rental-desk","client_accounts":["drivers"],"timeout":"5s"}]}`

func TestParseManifest(t *testing.T) {
	tests := []struct {
		name string
		in   string
		want []string // paths of the faults
	}{
		{"good", goodManifest, nil},
		{"not JSON", `{"name"`, []string{"$"}},
		{"text behind", goodManifest + `{}`, []string{"$"}},
		{"a list", `[]`, []string{"$"}},
		{"unknown fields and wrong types, all at once",
			`{"nam":"x","client_accounts":{},"models":[{"version":1,"replicas":{"tartu":"two"}}],"services":[{"timeout":5}]}`,
			[]string{"client_accounts", "models[0].replicas.tartu", "models[0].version", "nam", "services[0].timeout"}},
		{"missing and out of range, all at once",
			`{"name":"X","client_accounts":[],"models":[{"id":"m","version":"v","vms_per_replica":99,"replicas":{},"client_accounts":["no"]}]}`,
			[]string{"client_accounts", "models[0].client_accounts[0]", "models[0].replicas", "models[0].vms_per_replica", "name"}},
		{"null", `{"name":null}`, []string{"name"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, faults := redwinghall.ParseManifest([]byte(tt.in))
			var paths []string
			for _, f := range faults {
				paths = append(paths, f.Path)
				require.NotEmpty(t, f.Message)
			}
			require.Equal(t, tt.want, paths)
		})
	}
}

func TestManifestDuplicates(t *testing.T) {
	m, faults := redwinghall.ParseManifest([]byte(goodManifest))
	require.Empty(t, faults)
	m.Models = append(m.Models, m.Models[0])
	m.ClientAccounts = append(m.ClientAccounts, m.ClientAccounts[0])
	m.Services = append(m.Services, m.Services[0])
	require.Len(t, m.Validate(), 4) // the ids of the model, the account and the service, and the key
}

func TestCanonicalIsStable(t *testing.T) {
	m, _ := redwinghall.ParseManifest([]byte(goodManifest))
	data, hash, err := m.Canonical()
	require.NoError(t, err)
	again, faults := redwinghall.ParseManifest(data)
	require.Empty(t, faults)
	_, hash2, err := again.Canonical()
	require.NoError(t, err)
	require.Equal(t, hash, hash2)
}

func TestClientAccountKey(t *testing.T) {
	m, _ := redwinghall.ParseManifest([]byte(goodManifest))
	require.True(t, m.ClientAccounts[0].HasKey(""))
	require.False(t, m.ClientAccounts[0].HasKey("x"))
}

func TestDurationJSON(t *testing.T) {
	var d redwinghall.Duration
	require.NoError(t, json.Unmarshal([]byte(`"1.5s"`), &d))
	require.Equal(t, 1500*time.Millisecond, d.Std())
	require.Error(t, json.Unmarshal([]byte(`1.5`), &d))
	require.Error(t, json.Unmarshal([]byte(`"1.5"`), &d))
}

func FuzzParseManifest(f *testing.F) {
	f.Add([]byte(goodManifest))
	f.Add([]byte(`{"models":[{"replicas":{"":-1}}]}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		m, faults := redwinghall.ParseManifest(in)
		if len(faults) > 0 {
			return
		}
		data, hash, err := m.Canonical()
		if err != nil {
			t.Fatal(err)
		}
		again, faults := redwinghall.ParseManifest(data)
		if len(faults) > 0 {
			t.Fatalf("the canonical form of a valid manifest is refused: %v", faults)
		}
		if _, hash2, _ := again.Canonical(); hash != hash2 {
			t.Fatal("the canonical form is not stable")
		}
	})
}

package neighbor_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"redwinghall/neighbor"
	"redwinghall/quarantine"
)

// fullTable returns a table with as many suspects as it holds, which have a part in common, and answers on other parts.
func fullTable(now time.Time) *quarantine.Table {
	const suspects, answered = 512, 500
	table := quarantine.NewTable()
	for i := range suspects + answered {
		request := fmt.Sprintf("%016x", i)
		one := quarantine.Suspect{
			Process: quarantine.Process{Endpoint: "i-" + request[6:], StartedMillis: now.UnixMilli()}, Request: request, Service: "llm", At: now,
			Parts: []string{"5c1e07a2", "91bd3f06", "e4402b7d", quarantine.LastPart(request[8:]), quarantine.WholeRequest(request + request)},
		}
		if i < answered {
			one.Parts = one.Parts[3:]
		}
		table.RecordEnd(one)
		if i < answered {
			table.RecordProven(now, "llm", one.Parts)
		}
	}
	return table
}

// Guards against nodes whose evidence never agrees again after a crash of many endpoints, and that take each other for silent,
// as a whole table is larger than an answer or a request may be.
func TestFullTablesOfTheQuarantineAreExchanged(t *testing.T) {
	now := time.Now()
	full := fullTable(now)
	o, client, address := serve(t)
	o.quarantine.Merge(now, full.All(now))
	parts := []string{"5c1e07a2", "91bd3f06"}
	own := quarantine.NewTable()

	answer, known, err := client.Trial(t.Context(), address, neighbor.TrialRequest{Request: "r", Service: "llm", Parts: parts, Known: full.About(now, "llm", parts)})
	require.NoError(t, err)
	require.NotEmpty(t, answer)
	own.Merge(now, known)
	require.Equal(t, full.Check(now, "llm", parts).Verdict, own.Check(now, "llm", parts).Verdict)

	theirs, err := client.Quarantine(t.Context(), address, "n1", full.All(now), true)
	require.NoError(t, err)
	own.Merge(now, theirs)
	require.Equal(t, full.Digest(), own.Digest())
}

// Guards against nodes that take the one that grants trials for silent, as its answer on a few parts is larger than an answer may be.
func TestTrialIsGrantedByTheNodeWithALongHistory(t *testing.T) {
	for name, prompts := range map[string]struct{ parts, digits int }{"20 parts of 16 digits": {20, 16}, "most parts of most digits": {64, 64}} {
		for _, suspects := range []int{16, 64, 512} {
			t.Run(fmt.Sprintf("%s/%d", name, suspects), func(t *testing.T) {
				now := time.Now()
				o, client, address := serve(t)
				for i := range suspects {
					request := fmt.Sprintf("%016x", i)
					one := quarantine.Suspect{Process: quarantine.Process{Endpoint: "i-" + request[6:], StartedMillis: now.UnixMilli()}, Request: request, Service: "llm", At: now, Trial: i < 3}
					for part := range prompts.parts {
						one.Parts = append(one.Parts, fmt.Sprintf("%0*x", prompts.digits, part))
					}
					o.quarantine.RecordEnd(one)
				}
				own := quarantine.NewTable()
				var parts []string
				for part := range prompts.parts {
					parts = append(parts, fmt.Sprintf("%0*x", prompts.digits, part))
				}
				_, known, err := client.Trial(t.Context(), address, neighbor.TrialRequest{Request: "r", Service: "llm", Parts: parts, Known: own.About(now, "llm", parts)})
				require.NoError(t, err)
				own.Merge(now, known)
				require.Equal(t, o.quarantine.Check(now, "llm", parts).Verdict, own.Check(now, "llm", parts).Verdict)
			})
		}
	}
}

// Guards against the same as TestFullTablesOfTheQuarantineAreExchanged, with prompts of many parts.
func TestFullTablesOfLongPromptsAreExchanged(t *testing.T) {
	for name, prompts := range map[string]struct{ parts, digits int }{"20 parts of 16 digits": {20, 16}, "most parts of most digits": {64, 64}} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			full := quarantine.NewTable()
			for i := range 512 {
				request := fmt.Sprintf("%016x", i)
				one := quarantine.Suspect{Process: quarantine.Process{Endpoint: "i-" + request[6:], StartedMillis: now.UnixMilli()}, Request: request, Service: "llm", At: now}
				for part := range prompts.parts {
					one.Parts = append(one.Parts, fmt.Sprintf("%0*x", prompts.digits, part))
				}
				full.RecordEnd(one)
			}
			_, client, address := serve(t)
			own := quarantine.NewTable()
			theirs, err := client.Quarantine(t.Context(), address, "n1", full.All(now), true)
			require.NoError(t, err)
			own.Merge(now, theirs)
			require.Equal(t, full.Digest(), own.Digest())
		})
	}
}
